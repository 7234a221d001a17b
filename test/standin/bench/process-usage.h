// Memory and processor time of a process, as the system accounts for it.
#pragma once

#include <cstdint>

namespace heathercross::bench {

/// What one process uses.
struct ProcessUsage {
  std::int64_t ResidentKb_ = 0;
  std::int64_t AnonymousKb_ = 0;
  /// Processor time since its start.
  double CpuSeconds_ = 0;
};

/// Zeros when the process is gone.
ProcessUsage usageOf(std::int64_t Pid);

} // namespace heathercross::bench
