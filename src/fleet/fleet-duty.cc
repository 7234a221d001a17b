// The duty that keeps pools at their target sizes and runs their maintenance
// waves within their availability budgets.
#include "fleet/fleet-duty.h"

#include <algorithm>
#include <utility>

namespace heathercross::fleet::detail {

namespace {

/// The drain limit in pools without a current wave.
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

void addAssignedInstances(const Snapshot &S,
                          const std::vector<Assignment> &Placement,
                          PoolPlan &Plan) {
  for (const auto &A : Placement) {
    if (A.Pool_ != Plan.pool())
      continue;
    Plan.insert(newMember(S.Listed_->at(A.Instance_), A.Pool_));
  }
}

std::vector<PoolId> writablePools(const Snapshot &S) {
  std::vector<PoolId> Pools;
  for (const auto &[Pool, Lease] : S.Leases_) {
    const auto Permit = S.Permits_.find(Pool);
    const bool Superseded =
        Permit != S.Permits_.end() && Permit->second.Epoch_ > Lease.Epoch_;
    if (!Superseded)
      Pools.push_back(Pool);
  }
  return Pools;
}

Micros drainLimitOf(const View &V, const PoolSnapshot &Pool) {
  const Wave *Current = currentWave(V, Pool);
  return Current ? Micros(Current->DrainLimit_) : Micros(DefaultDrainLimit);
}

} // namespace heathercross::fleet::detail
