// Tables of benchmark results, printed as aligned text.
#include "table.h"

#include <algorithm>
#include <cstdio>

namespace heathercross::bench {
namespace {

std::vector<std::size_t> columnWidths(const Table &T) {
  std::vector<std::size_t> Widths;
  for (const auto &Row : T.Rows_) {
    Widths.resize(std::max(Widths.size(), Row.size()));
    for (std::size_t I = 0; I < Row.size(); ++I)
      Widths[I] = std::max(Widths[I], Row[I].size());
  }
  return Widths;
}

} // namespace

std::string formatFixed(double Value, int Digits) {
  char Text[64];
  std::snprintf(Text, sizeof Text, "%.*f", Digits, Value);
  return Text;
}

std::string format(const Table &T) {
  const auto Widths = columnWidths(T);
  std::string Out = T.Title_ + '\n';
  for (const auto &Row : T.Rows_) {
    for (std::size_t I = 0; I < Row.size(); ++I) {
      const std::string Pad(Widths[I] - Row[I].size(), ' ');
      Out += I == 0 ? Row[I] + Pad : "  " + Pad + Row[I];
    }
    Out += '\n';
  }
  return Out;
}

} // namespace heathercross::bench
