// Constants and helpers shared by the source files of FleetController.
#pragma once

#include "heathercross/units.h"
#include "schedule/machine-orders.h"

#include <QString>

#include <string>

namespace heathercross::entry::detail {

inline constexpr Millis CallTimeout{900};
/// Delay before an order of uncertain outcome is repeated.
inline constexpr Millis OrderRetryDelay{300};
/// Delay before an order is repeated for a machine that isn't up.
inline constexpr Millis BusyRetryDelay{1000};

inline Millis retryDelay(schedule::MachineOutcome O) {
  return O == schedule::MachineOutcome::Busy ? BusyRetryDelay : OrderRetryDelay;
}

inline QString toQString(const std::string &T) {
  return QString::fromStdString(T);
}

} // namespace heathercross::entry::detail
