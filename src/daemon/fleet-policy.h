// Selects the policies of the fleet duty according to the settings.
#pragma once

#include "fleet/fleet-duty.h"
#include "settings/settings.h"

#include <variant>

namespace heathercross::daemon {

template <class Waves>
using DutyWithWaves =
    std::variant<fleet::BasicFleetDuty<Waves, fleet::NoMoves>,
                 fleet::BasicFleetDuty<Waves, fleet::ThresholdMoves>,
                 fleet::BasicFleetDuty<Waves, fleet::HysteresisMoves>>;

/// A fleet duty with any combination of policies.
using AnyFleetDuty = std::variant<DutyWithWaves<fleet::LargestStep>,
                                  DutyWithWaves<fleet::OneAtATime>>;

/// Creates a fleet duty with the given policies.
AnyFleetDuty makeFleetDuty(settings::WaveStep Waves, settings::Moves Moves);

/// Calls F with the duty as its concrete type.
template <class Function> auto withDuty(AnyFleetDuty &Duty, Function F) {
  return std::visit(
      [&](auto &Waves) {
        return std::visit([&](auto &D) { return F(D); }, Waves);
      },
      Duty);
}

} // namespace heathercross::daemon
