// Memory use of the test process.
#pragma once

#include "heathercross/error.h"

#include <cstddef>
#include <fstream>
#include <unistd.h>

namespace heathercross::test {

/// Returns the resident memory of this process in bytes.
inline std::size_t residentBytes() {
  std::ifstream Statm("/proc/self/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  if (!(Statm >> TotalPages >> ResidentPages))
    raise(FormatError("/proc/self/statm", "no resident pages"));
  return ResidentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
}

} // namespace heathercross::test
