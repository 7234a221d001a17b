// Avoids workers on which requests keep failing: failure counts and probes.
#include "request/worker-health.h"

#include "request/slot-share.h"

#include <algorithm>
#include <cmath>

namespace heathercross::request {

namespace {
/// Maximum number of teams and bodies whose failures are tracked.
constexpr std::size_t MaxTrackedCallers = 4096;

template <class T> void addOnce(std::vector<T> &Values, T Value) {
  if (std::ranges::find(Values, Value) == Values.end())
    Values.push_back(Value);
}
} // namespace

HealthGate HealthTracker::gate(const WorkerState &W, Instant Now) {
  const WorkerHealth &H = W.Health_;
  if (H.AvoidedFor_.count() == 0 && H.UnreachableFor_.count() == 0)
    return HealthGate::Open;
  const bool Blocked = Now < H.AvoidUntil_ || Now < H.UnreachableUntil_;
  return Blocked ? HealthGate::Blocked : HealthGate::Probe;
}

void HealthTracker::succeeded(WorkerState &W, const Cause &C) {
  W.Health_ = WorkerHealth{};
  FailedOn_.erase(C.Team_);
  FailedOn_.erase(C.Body_);
}

void HealthTracker::unreachable(WorkerState &W, Instant Now) const {
  WorkerHealth &H = W.Health_;
  if (Now < H.UnreachableUntil_)
    return;
  H.UnreachableFor_ =
      std::clamp(2 * H.UnreachableFor_, Limits_.UnreachableInitial_,
                 Limits_.UnreachableMax_);
  H.UnreachableUntil_ = Now + H.UnreachableFor_;
}

void HealthTracker::recordCallerFailure(std::uint64_t Key,
                                        std::uint64_t Worker) {
  if (FailedOn_.size() >= MaxTrackedCallers && !FailedOn_.contains(Key))
    FailedOn_.erase(FailedOn_.begin());
  WorkerHashes &Workers = FailedOn_[Key];
  if (Workers.size() < Limits_.PoisonThreshold_)
    addOnce(Workers, Worker);
}

bool HealthTracker::reachedPoisonThreshold(std::uint64_t Key) const {
  const auto I = FailedOn_.find(Key);
  return I != FailedOn_.end() && I->second.size() >= Limits_.PoisonThreshold_;
}

bool HealthTracker::isPoison(const Cause &C) const {
  return reachedPoisonThreshold(C.Team_) || reachedPoisonThreshold(C.Body_);
}

bool HealthTracker::canAvoidMore(std::size_t PoolSize,
                                 std::size_t Avoided) const {
  const auto MaxAvoided = static_cast<std::size_t>(
      std::floor(static_cast<double>(PoolSize) * Limits_.MaxAvoidedShare_));
  return Avoided < MaxAvoided;
}

bool HealthTracker::failed(WorkerState &W, const Cause &C, Instant Now,
                           std::size_t PoolSize, std::size_t Avoided) {
  const std::uint64_t Worker = stableHash(W.Name_.str());
  recordCallerFailure(C.Team_, Worker);
  recordCallerFailure(C.Body_, Worker);
  if (isPoison(C))
    return false;
  const bool WasAvoided = W.Health_.AvoidedFor_.count() != 0;
  if (WasAvoided && Now < W.Health_.AvoidUntil_)
    return false;
  addOnce(W.Health_.FailedBodies_, C.Body_);
  W.Health_.FailedAt_ = Now;
  if (!WasAvoided && (W.Health_.FailedBodies_.size() < Limits_.FailuresInRow_ ||
                      !canAvoidMore(PoolSize, Avoided)))
    return false;
  const Micros Duration =
      WasAvoided ? std::min(2 * W.Health_.AvoidedFor_, Limits_.AvoidMax_)
                 : Limits_.AvoidInitial_;
  W.Health_.AvoidedFor_ = Duration;
  W.Health_.AvoidUntil_ = Now + Duration;
  W.Health_.FailedBodies_.clear();
  return !WasAvoided;
}

} // namespace heathercross::request
