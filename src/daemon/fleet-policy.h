// The fleet duty with the policies that the settings name.
#pragma once

#include "fleet/fleet-duty.h"
#include "settings/settings.h"

#include <variant>

namespace heathercross::daemon {

template <class Waves>
using DutyWith =
    std::variant<fleet::BasicFleetDuty<Waves, fleet::NoMoves>,
                 fleet::BasicFleetDuty<Waves, fleet::ThresholdMoves>,
                 fleet::BasicFleetDuty<Waves, fleet::HysteresisMoves>>;

/// The duty under any policies.
using AnyFleetDuty =
    std::variant<DutyWith<fleet::LargestStep>, DutyWith<fleet::OneAtATime>>;

/// The duty under these policies.
AnyFleetDuty makeFleetDuty(settings::WaveStep Waves, settings::Moves Moves);

/// Applies F to the duty as its own type.
template <class Function> auto withDuty(AnyFleetDuty &Duty, Function F) {
  return std::visit(
      [&](auto &Waves) {
        return std::visit([&](auto &D) { return F(D); }, Waves);
      },
      Duty);
}

} // namespace heathercross::daemon
