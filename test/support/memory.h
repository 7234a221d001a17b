// Memory use of the test process.
#pragma once

#include "heathercross/error.h"

#include <cstddef>
#include <fstream>
#include <unistd.h>

#ifdef __SANITIZE_ADDRESS__
// Part of the sanitizer's runtime; GCC 12 ships no header for it.
extern "C" std::size_t __sanitizer_get_current_allocated_bytes();
#endif

namespace heathercross::test {

/// Returns the memory that this process uses, in bytes: its resident memory, or
/// under AddressSanitizer, which keeps freed memory for a while, what is
/// allocated.
inline std::size_t usedBytes() {
#ifdef __SANITIZE_ADDRESS__
  return ::__sanitizer_get_current_allocated_bytes();
#else
  std::ifstream Statm("/proc/self/statm");
  std::size_t TotalPages = 0;
  std::size_t ResidentPages = 0;
  if (!(Statm >> TotalPages >> ResidentPages))
    raise(FormatError("/proc/self/statm", "no resident pages"));
  return ResidentPages * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
#endif
}

} // namespace heathercross::test
