// The only place where the programs read clocks.
#pragma once

#include "heathercross/units.h"

#include <chrono>
#include <ctime>

namespace heathercross::process {

/// The process's local time line, and the time of day.
class Clock {
public:
  /// Counts the time for which the machine is suspended, so that a lease that
  /// expired meanwhile is seen to have expired.
  Instant now() const {
    timespec Time = {};
    clock_gettime(CLOCK_BOOTTIME, &Time);
    return Instant(std::chrono::duration_cast<Micros>(
        std::chrono::seconds(Time.tv_sec) +
        std::chrono::nanoseconds(Time.tv_nsec)));
  }
  std::chrono::sys_time<Millis> wall() const {
    return std::chrono::time_point_cast<Millis>(
        std::chrono::system_clock::now());
  }
};

} // namespace heathercross::process
