// Avoids workers on which requests keep failing: counting and probing.
#include "request/worker-health.h"

#include "request/slot-share.h"

#include <algorithm>
#include <cmath>

namespace heathercross::request {

namespace {
/// Callers and bodies remembered at a time.
constexpr std::size_t MostCallers = 4096;

template <class T> void addOnce(std::vector<T> &Values, T Value) {
  if (std::ranges::find(Values, Value) == Values.end())
    Values.push_back(Value);
}
} // namespace

HealthGate HealthWatch::gate(const WorkerState &W, Instant Now) {
  const WorkerHealth &H = W.Health_;
  if (H.AvoidedFor_.count() == 0 && H.UnreachableFor_.count() == 0)
    return HealthGate::Open;
  const bool Shut = Now < H.AvoidUntil_ || Now < H.UnreachableUntil_;
  return Shut ? HealthGate::Shut : HealthGate::Probe;
}

void HealthWatch::succeeded(WorkerState &W, const Cause &C) {
  W.Health_ = WorkerHealth{};
  Callers_.erase(C.Team_);
  Callers_.erase(C.Body_);
}

void HealthWatch::unreachable(WorkerState &W, Instant Now) const {
  WorkerHealth &H = W.Health_;
  if (Now < H.UnreachableUntil_)
    return;
  H.UnreachableFor_ =
      std::clamp(2 * H.UnreachableFor_, Limits_.UnreachableFirst_,
                 Limits_.UnreachableMost_);
  H.UnreachableUntil_ = Now + H.UnreachableFor_;
}

void HealthWatch::noteCaller(std::uint64_t Key, std::uint64_t Worker) {
  if (Callers_.size() >= MostCallers && !Callers_.contains(Key))
    Callers_.erase(Callers_.begin());
  FailedOn &Workers = Callers_[Key];
  if (Workers.size() < Limits_.WorkersOfPoison_)
    addOnce(Workers, Worker);
}

bool HealthWatch::suspect(std::uint64_t Key) const {
  const auto I = Callers_.find(Key);
  return I != Callers_.end() && I->second.size() >= Limits_.WorkersOfPoison_;
}

bool HealthWatch::poison(const Cause &C) const {
  return suspect(C.Team_) || suspect(C.Body_);
}

bool HealthWatch::mayAvoid(std::size_t PoolSize, std::size_t Avoided) const {
  const auto Most = static_cast<std::size_t>(
      std::floor(static_cast<double>(PoolSize) * Limits_.MostOfPool_));
  return Avoided < Most;
}

bool HealthWatch::failed(WorkerState &W, const Cause &C, Instant Now,
                         std::size_t PoolSize, std::size_t Avoided) {
  const std::uint64_t Worker = stableHash(W.Name_.str());
  noteCaller(C.Team_, Worker);
  noteCaller(C.Body_, Worker);
  if (poison(C))
    return false;
  const bool WasAvoided = W.Health_.AvoidedFor_.count() != 0;
  if (WasAvoided && Now < W.Health_.AvoidUntil_)
    return false;
  addOnce(W.Health_.Causes_, C.Body_);
  W.Health_.FailedAt_ = Now;
  if (!WasAvoided && (W.Health_.Causes_.size() < Limits_.FailuresInRow_ ||
                      !mayAvoid(PoolSize, Avoided)))
    return false;
  const Micros For =
      WasAvoided ? std::min(2 * W.Health_.AvoidedFor_, Limits_.AvoidMost_)
                 : Limits_.AvoidFirst_;
  W.Health_.AvoidedFor_ = For;
  W.Health_.AvoidUntil_ = Now + For;
  W.Health_.Causes_.clear();
  return !WasAvoided;
}

} // namespace heathercross::request
