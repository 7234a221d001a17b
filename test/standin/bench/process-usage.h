// Memory and processor time of a process, read from /proc.
#pragma once

#include <cstdint>

namespace heathercross::bench {

/// Resource usage of a process.
struct ProcessUsage {
  std::int64_t ResidentKb_ = 0;
  std::int64_t AnonymousKb_ = 0;
  /// Processor time since the start of the process.
  double CpuSeconds_ = 0;
};

/// Returns the usage of a process; all zeros if it doesn't exist.
ProcessUsage readUsage(std::int64_t Pid);

} // namespace heathercross::bench
