// The duty that keeps pools at their size and maintained, within their budgets.
#include "fleet/fleet-duty.h"

#include <algorithm>
#include <utility>

namespace heathercross::fleet::detail {

namespace {

/// How long a move or a return may drain when no wave gives a limit.
constexpr Millis DefaultDrainLimit{30'000};

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

void adopt(const Snapshot &S, const std::vector<Assignment> &Placement,
           PoolPlan &Plan) {
  for (const auto &A : Placement) {
    if (A.Pool_ != Plan.pool())
      continue;
    Plan.insert(newMember(S.Listed_->at(A.Instance_), A.Pool_));
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
