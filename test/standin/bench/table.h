// A printed table of a bench: aligned columns under a title.
#pragma once

#include <string>
#include <vector>

namespace heathercross::bench {

/// Columns of text; the first row holds the heads.
struct Table {
  std::string Title_;
  std::vector<std::vector<std::string>> Rows_;
};

/// A number with so many digits after the point.
std::string fixed(double Value, int Digits);

/// The table as aligned text, the first column to the left.
std::string format(const Table &T);

} // namespace heathercross::bench
