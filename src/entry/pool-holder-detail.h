// Constants and helpers shared by the source files of PoolHolder.
#pragma once

#include "heathercross/units.h"

#include <QString>

#include <string>

namespace heathercross::entry::detail {

/// Time for a renewal to reach the worker.
inline constexpr Millis LeaseMargin{300};
/// Pause before a failed call is repeated.
inline constexpr Millis RetryPause{250};

inline QString toQString(const std::string &T) {
  return QString::fromStdString(T);
}

} // namespace heathercross::entry::detail
