// Formats JSON objects as text tables.
#pragma once

#include <QJsonArray>

#include <string>
#include <string_view>
#include <vector>

namespace heathercross::cli {

using Columns = std::vector<std::string_view>;

/// Formats an array of JSON objects as a table with aligned columns. The
/// columns in First are always shown and come first; other fields with scalar
/// values follow in alphabetical order. An empty array gives "(none)".
std::string formatTable(const QJsonArray &Rows, const Columns &First);

} // namespace heathercross::cli
