// The duty that keeps pools at their size and maintained, within their budgets.
#include "fleet/fleet-duty.h"

#include <algorithm>
#include <utility>

namespace heathercross::fleet::detail {

namespace {

/// How long a move or a return may drain when no wave gives a limit.
constexpr Millis DefaultDrainLimit{30'000};

PoolNeed needOf(const Snapshot &S, const PoolPicture &Picture,
                const SilenceWatch &Silence) {
  PoolNeed Need{Picture.Name_, Picture.Size_, Picture.MinAvailable_, {}};
  for (const Member &M : Picture.Members_)
    if (stays(M, Silence, S.Now_))
      ++Need.Members_[{M.row().Zone_, M.row().Rack_}];
  return Need;
}

InstanceRow newMember(const ListedInstance &I, const PoolId &Pool) {
  InstanceRow Row;
  Row.Name_ = I.Name_;
  Row.Pool_ = Pool;
  Row.Zone_ = I.Zone_;
  Row.Rack_ = I.Rack_;
  Row.Address_ = I.Address_;
  return Row;
}

} // namespace

std::vector<PoolNeed> poolNeeds(const Snapshot &S,
                                const SilenceWatch &Silence) {
  std::vector<PoolNeed> Needs;
  for (const auto &[Name, P] : S.View_.Pools_)
    if (!P.Removed_)
      Needs.push_back(needOf(S, pictureOf(S, Name), Silence));
  return Needs;
}

std::vector<ListedInstance> unassigned(const Snapshot &S) {
  std::vector<ListedInstance> Free;
  std::ranges::copy_if(
      *S.Listed_, std::back_inserter(Free), [&](const ListedInstance &I) {
        return !S.Instances_.contains(I.Name_) && !saidLeaving(S, I.Name_);
      });
  return Free;
}

void adopt(const Snapshot &S, const std::vector<Assignment> &Placement,
           const PoolId &Pool, PoolPlan &Plan) {
  for (const auto &A : Placement) {
    if (A.Pool_ != Pool)
      continue;
    const auto I =
        std::ranges::find(*S.Listed_, A.Instance_, &ListedInstance::Name_);
    Plan.insert(newMember(*I, Pool));
  }
}

std::vector<PoolId> workablePools(const Snapshot &S) {
  std::vector<PoolId> Pools;
  for (const auto &[Pool, Lease] : S.Leases_) {
    const auto Permit = S.Permits_.find(Pool);
    const bool Overtaken =
        Permit != S.Permits_.end() && Permit->second.Epoch_ > Lease.Epoch_;
    if (!Overtaken)
      Pools.push_back(Pool);
  }
  return Pools;
}

Micros drainLimitOf(const View &V, const PoolPicture &Picture) {
  const Wave *Current = currentWave(V, Picture);
  return Current ? Micros(Current->DrainLimit_) : Micros(DefaultDrainLimit);
}

} // namespace heathercross::fleet::detail
