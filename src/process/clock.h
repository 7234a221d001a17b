// The clocks of a process.
#pragma once

#include "heathercross/units.h"

#include <chrono>
#include <ctime>

namespace heathercross::process {

/// Reads the process's monotonic clock and the time of day. Code that takes its
/// time from here doesn't read the system's clocks itself.
class Clock {
public:
  /// The monotonic time. It includes time for which the host is suspended, so
  /// that a lease which expired meanwhile counts as expired.
  Instant now() const {
    timespec Time = {};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return Instant(std::chrono::duration_cast<Micros>(
        std::chrono::seconds(Time.tv_sec) +
        std::chrono::nanoseconds(Time.tv_nsec)));
  }
  /// The time of day.
  std::chrono::sys_time<Millis> wall() const {
    return std::chrono::time_point_cast<Millis>(
        std::chrono::system_clock::now());
  }
};

} // namespace heathercross::process
