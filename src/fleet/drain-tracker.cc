// Tracks how long instances have been draining and whether they are idle.
#include "fleet/drain-tracker.h"

namespace heathercross::fleet {

void DrainTracker::observe(const PoolSnapshot &Pool, Instant Now) {
  for (const Member &M : Pool.Members_)
    if (M.row().State_ == InstanceState::Draining)
      observe(M, Now);
}

void DrainTracker::observe(const Member &M, Instant Now) {
  auto &D = Drains_.try_emplace(M.id(), Drain{Now, {}, Now}).first->second;
  const bool IdleAndDraining =
      M.responds() && M.Status_->Draining_ && idle(*M.Status_);
  if (!IdleAndDraining) {
    D.FirstIdle_.reset();
    return;
  }
  D.LastIdle_ = M.Status_->ReceivedAt_;
  if (!D.FirstIdle_)
    D.FirstIdle_ = D.LastIdle_;
}

bool DrainTracker::confirmedIdle(const InstanceId &Name) const {
  const auto Found = Drains_.find(Name);
  if (Found == Drains_.end() || !Found->second.FirstIdle_)
    return false;
  return *Found->second.FirstIdle_ < Found->second.LastIdle_;
}

Micros DrainTracker::drainingFor(const InstanceId &Name, Instant Now) const {
  const auto Found = Drains_.find(Name);
  return Found == Drains_.end() ? Micros(0) : Now - Found->second.StartedAt_;
}

void DrainTracker::keepDraining(
    const std::map<InstanceId, InstanceRecord> &Instances) {
  std::erase_if(Drains_, [&](const auto &Entry) {
    const auto Found = Instances.find(Entry.first);
    return Found == Instances.end() ||
           Found->second.Row_.State_ != InstanceState::Draining;
  });
}

} // namespace heathercross::fleet
