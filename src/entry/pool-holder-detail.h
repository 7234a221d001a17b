// Constants and helpers shared by the source files of PoolHolder.
#pragma once

#include "heathercross/units.h"

#include <QString>

#include <string>

namespace heathercross::entry::detail {

/// A holder whose row wasn't renewed for this long grants no leases and starts
/// nothing, since another entry may have taken the duty. Together with the run
/// lease it bridges a store outage of 10 s.
inline constexpr Millis MaxRenewalAge{4000};
/// Time for a renewal to reach the worker.
inline constexpr Millis LeaseMargin{300};
/// Pause before a failed call is repeated.
inline constexpr Millis RetryPause{250};

inline QString toQString(const std::string &T) {
  return QString::fromStdString(T);
}

} // namespace heathercross::entry::detail
