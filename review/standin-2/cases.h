// The scripted cases.
#pragma once

#include "deployment.h"

namespace heathercross::review {

enum class Verdict : std::uint8_t { Held = 0, Broken = 1, CannotTell = 2 };

/// Disrupted is false for the same case without its disruption.
Verdict playRouteRemoved(Deployment &D, bool Disrupted);
Verdict playLastRouteRemoved(Deployment &D, bool Disrupted);
Verdict playManyAttempts(Deployment &D, bool Disrupted);
Verdict playLongSchedules(Deployment &D, bool Disrupted);
Verdict playLabel(Deployment &D, bool Disrupted);
Verdict playOtherKind(Deployment &D, bool Disrupted);
Verdict playRollingRestart(Deployment &D, bool Disrupted);
Verdict playCutHolder(Deployment &D, bool Disrupted);

} // namespace heathercross::review
