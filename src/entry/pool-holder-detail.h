// What the parts of a pool's holder share.
#pragma once

#include "heathercross/units.h"

#include <QString>

#include <string>

namespace heathercross::entry::detail {

/// A holder whose row wasn't renewed for this long grants no more leases and
/// starts nothing: another one may have taken the duty. With the lease it
/// bridges an outage of the store of 10 s.
inline constexpr Millis MaxRenewalAge{4000};
/// Until a call that failed is made again.
inline constexpr Millis RetryPause{250};

inline QString text(const std::string &T) { return QString::fromStdString(T); }

} // namespace heathercross::entry::detail
