// Formats JSON objects as text tables.
#include "cli/table.h"

#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <set>

namespace heathercross::cli {

namespace {

using Line = std::vector<std::string>;

constexpr std::size_t ColumnGap = 2;

std::string cellText(const QJsonValue &V) {
  if (V.isBool())
    return V.toBool() ? "yes" : "no";
  if (V.isDouble())
    return std::to_string(V.toInteger());
  if (V.isString())
    return V.toString().toStdString();
  if (V.isObject())
    return QJsonDocument(V.toObject())
        .toJson(QJsonDocument::Compact)
        .toStdString();
  return "-";
}

bool isScalar(const QJsonValue &V) {
  return V.isBool() || V.isDouble() || V.isString();
}

Line headerLine(const QJsonArray &Rows, const Columns &First) {
  Line Header(First.begin(), First.end());
  std::set<std::string> OtherNames;
  for (const auto &Row : Rows) {
    const QJsonObject Object = Row.toObject();
    for (auto I = Object.begin(); I != Object.end(); ++I)
      if (isScalar(I.value()))
        OtherNames.insert(I.key().toStdString());
  }
  for (const std::string &Name : OtherNames)
    if (std::ranges::find(Header, Name) == Header.end())
      Header.push_back(Name);
  return Header;
}

Line rowLine(const QJsonObject &Row, const Line &Header) {
  Line Cells;
  for (const std::string &Name : Header)
    Cells.push_back(cellText(Row[QString::fromStdString(Name)]));
  return Cells;
}

std::vector<std::size_t> columnWidths(const std::vector<Line> &Lines) {
  std::vector<std::size_t> Widths(Lines.front().size());
  for (const Line &L : Lines)
    for (std::size_t I = 0; I != L.size(); ++I)
      Widths[I] = std::max(Widths[I], L[I].size());
  return Widths;
}

std::string formatLine(const Line &Cells,
                       const std::vector<std::size_t> &Widths) {
  std::string Text;
  for (std::size_t I = 0; I != Cells.size(); ++I)
    Text +=
        Cells[I] + std::string(Widths[I] - Cells[I].size() + ColumnGap, ' ');
  Text.erase(Text.find_last_not_of(' ') + 1);
  return Text + "\n";
}

} // namespace

std::string formatTable(const QJsonArray &Rows, const Columns &First) {
  if (Rows.isEmpty())
    return "(none)\n";
  std::vector<Line> Lines{headerLine(Rows, First)};
  for (const auto &Row : Rows)
    Lines.push_back(rowLine(Row.toObject(), Lines.front()));
  for (std::string &Name : Lines.front())
    std::ranges::transform(Name, Name.begin(), [](char C) {
      return C >= 'a' && C <= 'z' ? static_cast<char>(C - 'a' + 'A') : C;
    });
  const auto Widths = columnWidths(Lines);
  std::string Text;
  for (const Line &L : Lines)
    Text += formatLine(L, Widths);
  return Text;
}

} // namespace heathercross::cli
