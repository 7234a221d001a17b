// The fleet duty with the policies that the settings name.
#include "daemon/fleet-policy.h"

namespace heathercross::daemon {

namespace {

template <class Waves> DutyWith<Waves> withMoves(settings::Moves Moves) {
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
    return withMoves<fleet::OneAtATime>(Moves);
  return withMoves<fleet::LargestStep>(Moves);
}

} // namespace heathercross::daemon
