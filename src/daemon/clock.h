// The only place where the daemon reads a clock.
#pragma once

#include "heathercross/units.h"

#include <chrono>

namespace heathercross::daemon {

/// The process's local time line.
class Clock {
public:
  Instant now() const {
    const auto Since = std::chrono::steady_clock::now().time_since_epoch();
    return Instant(std::chrono::duration_cast<Micros>(Since));
  }
};

} // namespace heathercross::daemon
