// The scripted cases.
#pragma once

#include "deployment.h"

namespace heathercross::review {

enum class Verdict : std::uint8_t { Held = 0, Broken = 1, CannotTell = 2 };

/// config_ms, contact_ms and finish_s of the site files.
inline constexpr int ConfigMs = 2000;
inline constexpr int ContactMs = 3000;
inline constexpr int FinishMs = 14'000;
inline constexpr int StepTimeoutMs = 10'000;

/// A job with one step, which takes 100 MB for each task and has these fields.
QByteArray stepJob(const QByteArray &Fields);
/// The state of a job as an entry shows it; empty without one.
QByteArray stateAt(Deployment &D, std::size_t Entry, const QString &Route,
                   const QString &Job);

// Disrupted is false for the same case without its disruption.
Verdict playCutHolder(Deployment &D, bool Disrupted);
Verdict playRollingRestart(Deployment &D, bool Disrupted);
Verdict playLastRouteRemoved(Deployment &D, bool Disrupted);
Verdict playRouteRemoved(Deployment &D, bool Disrupted);
Verdict playLongSchedules(Deployment &D, bool Disrupted);
Verdict playOtherKind(Deployment &D, bool Disrupted);
Verdict playTakeover(Deployment &D, bool Disrupted);
Verdict playGang(Deployment &D, bool Disrupted);
Verdict playLateUpkeep(Deployment &D, bool Disrupted);

} // namespace heathercross::review
