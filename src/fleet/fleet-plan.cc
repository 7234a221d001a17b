// Plans across all pools: what each pool lacks and which instances it gets.
#include "fleet/fleet-plan.h"

#include <algorithm>
#include <numeric>

namespace heathercross::fleet {

namespace {

/// The slots assumed for an instance if no member of its pool responds.
constexpr std::uint32_t DefaultSlots = 8;

std::uint32_t slotsOf(const PoolSnapshot &Pool) {
  const auto Responding = std::ranges::find_if(
      Pool.Members_, [](const Member &M) { return M.responds(); });
  return Responding == Pool.Members_.end() ? DefaultSlots
                                           : Responding->Status_->Slots_;
}

PoolLoad loadOf(const Snapshot &S, const PoolSnapshot &Pool) {
  PoolLoad Load{Pool.Name_,         Pool.Size_,    0,
                Pool.MinAvailable_, slotsOf(Pool), {}};
  Load.Members_ = static_cast<std::uint32_t>(Pool.Members_.size());
  const auto Demand = S.Demand_.find(Pool.Name_);
  if (Demand != S.Demand_.end())
    Load.Demand_ = Demand->second.Busy_ + Demand->second.Queued_;
  return Load;
}

std::uint32_t targetOf(const Snapshot &S, const PoolSnapshot &Pool,
                       const SizeChanges &Changes) {
  const auto Change = Changes.find(Pool.Name_);
  auto Target = static_cast<std::int32_t>(Pool.Size_);
  Target += Change == Changes.end() ? 0 : Change->second;
  Target += needsExtraInstance(S.View_, Pool) ? 1 : 0;
  return static_cast<std::uint32_t>(std::max(Target, 0));
}

PoolNeed needOf(const Snapshot &S, const PoolSnapshot &Pool,
                const SizeChanges &Changes, const ResponseTracker &Responses) {
  PoolNeed Need{Pool.Name_, targetOf(S, Pool, Changes), Pool.MinAvailable_, {}};
  for (const Member &M : Pool.Members_)
    if (willRemain(M, Responses, S.Now_))
      ++Need.Members_[{M.row().Zone_, M.row().Rack_}];
  return Need;
}

/// Returns the listed instances that have no row and aren't leaving.
std::vector<ListedInstance> unassigned(const Snapshot &S) {
  std::vector<ListedInstance> Free;
  for (const auto &[Name, I] : *S.Listed_)
    if (!S.Instances_.contains(Name) && !isLeaving(S, Name))
      Free.push_back(I);
  return Free;
}

PoolBalance balanceOf(const PoolNeed &Need, const Pool &P,
                      const std::vector<Assignment> &Placement) {
  const auto Placed =
      std::ranges::count(Placement, Need.Pool_, &Assignment::Pool_);
  return {Need.Pool_,
          P.Spare_ && !P.Removed_,
          Need.memberCount() + static_cast<std::uint32_t>(Placed),
          Need.Size_,
          Need.MinAvailable_,
          P.Removed_};
}

/// Raises the target of the first spare pool so that it lacks as many members
/// as the removed pools still have.
void absorbRemovedPools(const View &V, std::vector<PoolBalance> &Balances) {
  const auto Spare = std::ranges::find_if(Balances, &PoolBalance::Spare_);
  if (Spare == Balances.end())
    return;
  std::uint32_t InRemovedPools = 0;
  for (const auto &B : Balances)
    InRemovedPools += V.Pools_.at(B.Pool_).Removed_ ? B.Members_ : 0;
  if (InRemovedPools > 0)
    Spare->Target_ = std::max(Spare->Target_, Spare->Members_ + InRemovedPools);
}

} // namespace

std::vector<PoolLoad> loadsOf(const Snapshot &S) {
  std::vector<PoolLoad> Loads;
  for (const auto &[Name, P] : S.View_.Pools_)
    if (!P.Removed_)
      Loads.push_back(loadOf(S, makePoolSnapshot(S, Name)));
  return Loads;
}

FleetPlan planFleet(const Snapshot &S, const SizeChanges &Changes,
                    const ResponseTracker &Responses,
                    SurplusTracker &Surpluses) {
  FleetPlan Result;
  for (const auto &[Name, P] : S.View_.Pools_)
    Result.Needs_.push_back(
        needOf(S, makePoolSnapshot(S, Name), Changes, Responses));
  if (const auto Free = unassigned(S); !Free.empty())
    Result.Placement_ = place(Result.Needs_, Free);
  std::vector<PoolBalance> Balances;
  for (const auto &Need : Result.Needs_) {
    const auto &P = S.View_.Pools_.at(Need.Pool_);
    Balances.push_back(balanceOf(Need, P, Result.Placement_));
    Surpluses.observe(Balances.back(), S.Now_);
  }
  absorbRemovedPools(S.View_, Balances);
  Result.Transfers_ = matchTransfers(std::move(Balances));
  return Result;
}

} // namespace heathercross::fleet
