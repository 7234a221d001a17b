// Selects the policies of the fleet duty according to the settings.
#include "daemon/fleet-policy.h"

namespace heathercross::daemon {

namespace {

template <class Waves>
DutyWithWaves<Waves> makeDutyWithMoves(settings::Moves Moves) {
  switch (Moves) {
  case settings::Moves::None:
    return fleet::BasicFleetDuty<Waves, fleet::NoMoves>();
  case settings::Moves::Threshold:
    return fleet::BasicFleetDuty<Waves, fleet::ThresholdMoves>();
  case settings::Moves::Hysteresis:
    break;
  }
  return fleet::BasicFleetDuty<Waves, fleet::HysteresisMoves>();
}

} // namespace

AnyFleetDuty makeFleetDuty(settings::WaveStep Waves, settings::Moves Moves) {
  if (Waves == settings::WaveStep::OneAtATime)
    return makeDutyWithMoves<fleet::OneAtATime>(Moves);
  return makeDutyWithMoves<fleet::LargestStep>(Moves);
}

} // namespace heathercross::daemon
