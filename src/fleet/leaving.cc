// Takes leaving and lost instances out of a pool.
#include "fleet/leaving.h"

namespace heathercross::fleet {

void SilenceWatch::observe(const Snapshot &S) {
  std::erase_if(Since_, [&](const auto &Entry) {
    return !S.Instances_.contains(Entry.first);
  });
  for (const auto &[Name, Record] : S.Instances_) {
    const auto Status = S.Workers_.find(Name);
    const bool Watched = Status != S.Workers_.end();
    if (!Watched || recentlyHeard(S, &Status->second))
      Since_.erase(Name);
    else
      Since_.try_emplace(Name, S.Now_);
  }
}

Micros SilenceWatch::silentFor(const InstanceId &Name, Instant Now) const {
  const auto Found = Since_.find(Name);
  return Found == Since_.end() ? Micros(0) : Now - Found->second;
}

void retire(const Snapshot &S, const PoolPicture &Picture,
            const SilenceWatch &Silence, PoolPlan &Plan) {
  for (const Member &M : Picture.Members_) {
    if (!M.Listed_ && Silence.silentFor(M.id(), S.Now_) >= LostAfter) {
      Plan.erase(M);
      continue;
    }
    const bool Marked = M.row().State_ == InstanceState::Leaving;
    if (Marked || !saidLeaving(S, M.id()))
      continue;
    Plan.settle(M, withState(M, InstanceState::Leaving));
  }
}

bool stays(const Member &M, const SilenceWatch &Silence, Instant Now) {
  return M.Standing_ != Standing::Leaving &&
         M.row().State_ != InstanceState::Leaving &&
         Silence.silentFor(M.id(), Now) <
             (M.Listed_ ? Micros(ReplaceAfter) : Micros(LostAfter));
}

} // namespace heathercross::fleet
