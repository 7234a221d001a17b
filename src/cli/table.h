// Tables for people.
#pragma once

#include <QJsonArray>

#include <string>
#include <string_view>
#include <vector>

namespace heathercross::cli {

using Columns = std::vector<std::string_view>;

/// An array of JSON objects as a table with aligned columns. Columns named in
/// First come first and always; other fields that hold plain values follow in
/// order of their names. An empty array says "(none)".
std::string formatTable(const QJsonArray &Rows, const Columns &First);

} // namespace heathercross::cli
