// Removes leaving and lost instances from a pool.
#include "fleet/leaving.h"

namespace heathercross::fleet {

void ResponseTracker::observe(const Snapshot &S) {
  std::erase_if(UnresponsiveSince_, [&](const auto &Entry) {
    return !S.Instances_.contains(Entry.first);
  });
  for (const auto &[Name, Record] : S.Instances_) {
    const auto Status = S.Workers_.find(Name);
    const bool Monitored = Status != S.Workers_.end();
    if (!Monitored || hasRecentStatus(S, &Status->second))
      UnresponsiveSince_.erase(Name);
    else
      UnresponsiveSince_.try_emplace(Name, S.Now_);
  }
}

Micros ResponseTracker::unresponsiveFor(const InstanceId &Name,
                                        Instant Now) const {
  const auto Found = UnresponsiveSince_.find(Name);
  return Found == UnresponsiveSince_.end() ? Micros(0) : Now - Found->second;
}

void markLeavingAndEraseLost(const Snapshot &S, const PoolSnapshot &Pool,
                             const ResponseTracker &Responses, PoolPlan &Plan) {
  for (const Member &M : Pool.Members_) {
    if (!M.Listed_ &&
        Responses.unresponsiveFor(M.id(), S.Now_) >= LostTimeout) {
      Plan.erase(M);
      continue;
    }
    const bool Marked = M.row().State_ == InstanceState::Leaving;
    if (Marked || !isLeaving(S, M.id()))
      continue;
    Plan.updateAndRelease(M, withState(M, InstanceState::Leaving));
  }
}

bool willRemain(const Member &M, const ResponseTracker &Responses,
                Instant Now) {
  return M.Availability_ != Availability::Leaving &&
         M.row().State_ != InstanceState::Leaving &&
         Responses.unresponsiveFor(M.id(), Now) <
             (M.Listed_ ? Micros(ReplaceTimeout) : Micros(LostTimeout));
}

} // namespace heathercross::fleet
