// Tables of benchmark results, printed as aligned text.
#pragma once

#include <string>
#include <vector>

namespace heathercross::bench {

/// A title and rows of text cells; the first row holds the column headings.
struct Table {
  std::string Title_;
  std::vector<std::vector<std::string>> Rows_;
};

/// Formats a number with the given number of decimal places.
std::string formatFixed(double Value, int Digits);

/// Formats a table as aligned text; the first column is left-aligned, the
/// others are right-aligned.
std::string format(const Table &T);

} // namespace heathercross::bench
