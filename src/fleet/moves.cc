// Decides the target size of each pool and which instances are transferred
// between pools.
#include "fleet/moves.h"

#include <algorithm>
#include <cmath>

namespace heathercross::fleet {

namespace {

/// Returns how many instances serve the demand at the given utilization of
/// their slots.
std::int32_t instancesFor(const PoolLoad &L, double Utilization) {
  const double PerInstance = std::max(1U, L.SlotsPerInstance_) * Utilization;
  return static_cast<std::int32_t>(std::ceil(*L.Demand_ / PerInstance));
}

/// Returns the size change that leads to the wanted number of instances, or to
/// the budget's minimum if that is larger.
std::int32_t changeFor(const PoolLoad &L, std::int32_t Wanted) {
  const auto MinAvailable = static_cast<std::int32_t>(L.MinAvailable_);
  return std::max(Wanted, MinAvailable) - static_cast<std::int32_t>(L.Size_);
}

std::uint32_t deficit(const PoolBalance &B) {
  return B.Target_ > B.Members_ ? B.Target_ - B.Members_ : 0;
}

std::uint32_t surplus(const PoolBalance &B) {
  return B.Members_ > B.Target_ ? B.Members_ - B.Target_ : 0;
}

/// Returns how many instances a donor can give to that receiver.
std::uint32_t transferable(const PoolBalance &Donor, const PoolBalance &To) {
  if (Donor.Pool_ == To.Pool_)
    return 0;
  if (To.Spare_)
    return Donor.SurplusReturnable_ ? surplus(Donor) : 0;
  if (!Donor.Spare_)
    return surplus(Donor);
  const auto MinRemaining = std::min(Donor.MinAvailable_, Donor.Target_);
  return Donor.Members_ > MinRemaining ? Donor.Members_ - MinRemaining : 0;
}

double deficitShare(const PoolBalance &B) {
  return double(deficit(B)) / std::max(1U, B.Target_);
}

/// Covers a receiver's deficit from the spare pools or from the other pools.
void fillDeficit(PoolBalance &To, std::vector<PoolBalance> &Pools,
                 bool FromSpare, std::vector<Transfer> &Transfers) {
  for (auto &Donor : Pools) {
    if (Donor.Spare_ != FromSpare)
      continue;
    const auto Count = std::min(deficit(To), transferable(Donor, To));
    if (Count == 0)
      continue;
    Donor.Members_ -= Count;
    To.Members_ += Count;
    Transfers.push_back({Donor.Pool_, To.Pool_, Count});
  }
}

} // namespace

SizeChanges ThresholdMoves::changes(const std::vector<PoolLoad> &Loads,
                                    Instant) {
  SizeChanges Result;
  for (const auto &L : Loads)
    if (L.Demand_)
      Result[L.Pool_] = changeFor(L, instancesFor(L, TargetUtilization));
  return Result;
}

SizeChanges HysteresisMoves::changes(const std::vector<PoolLoad> &Loads,
                                     Instant Now) {
  SizeChanges Result;
  for (const auto &L : Loads) {
    const auto [Entry, IsNew] = Trends_.try_emplace(L.Pool_);
    auto &T = Entry->second;
    // After a change of the holder, keeps the growth of the former holder.
    if (IsNew && L.Members_ > L.Size_)
      T.Change_ = static_cast<std::int32_t>(L.Members_ - L.Size_);
    if (L.Demand_)
      update(T, L, Now);
    else
      updateUnreported(T, Now);
    Result[L.Pool_] = T.Change_;
  }
  return Result;
}

// Reverts a size change after a cooldown without demand reports, as for low
// demand. Otherwise the pool would keep instances forever that pools below
// their agreed size need.
void HysteresisMoves::updateUnreported(Trend &T, Instant Now) const {
  if (!T.UnreportedSince_)
    T.UnreportedSince_ = Now;
  if (Now - *T.UnreportedSince_ > Limits_.Cooldown_)
    T.Change_ = 0;
}

void HysteresisMoves::update(Trend &T, const PoolLoad &L, Instant Now) const {
  T.UnreportedSince_.reset();
  const auto ChangeIfHigh =
      changeFor(L, instancesFor(L, Limits_.HighUtilization_));
  const auto ChangeIfLow =
      changeFor(L, instancesFor(L, Limits_.LowUtilization_));
  updateGrowth(T, ChangeIfHigh, Now);
  updateShrink(T, ChangeIfLow, Now);
}

void HysteresisMoves::updateGrowth(Trend &T, std::int32_t Wanted,
                                   Instant Now) const {
  if (Wanted <= T.Change_) {
    T.HighSince_.reset();
    return;
  }
  if (!T.HighSince_) {
    T.HighSince_ = Now;
    T.MinWanted_ = Wanted;
  }
  T.MinWanted_ = std::min(T.MinWanted_, Wanted);
  if (Now - *T.HighSince_ <= Limits_.MoveDuration_)
    return;
  T.Change_ = T.MinWanted_;
  T.HighSince_.reset();
}

void HysteresisMoves::updateShrink(Trend &T, std::int32_t Wanted,
                                   Instant Now) const {
  if (Wanted >= T.Change_) {
    T.LowSince_.reset();
    return;
  }
  if (!T.LowSince_) {
    T.LowSince_ = Now;
    T.MaxWanted_ = Wanted;
  }
  T.MaxWanted_ = std::max(T.MaxWanted_, Wanted);
  if (Now - *T.LowSince_ <= Limits_.Cooldown_)
    return;
  T.Change_ = T.MaxWanted_;
  T.LowSince_.reset();
}

std::vector<Transfer> matchTransfers(std::vector<PoolBalance> Pools) {
  std::vector<Transfer> Transfers;
  std::vector<std::size_t> Order(Pools.size());
  for (std::size_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  std::ranges::stable_sort(Order, {}, [&](std::size_t I) {
    return std::pair(Pools[I].Spare_, -deficitShare(Pools[I]));
  });
  for (const auto I : Order) {
    fillDeficit(Pools[I], Pools, false, Transfers);
    if (!Pools[I].Spare_)
      fillDeficit(Pools[I], Pools, true, Transfers);
  }
  return Transfers;
}

void SurplusTracker::observe(PoolBalance &Balance, Instant Now) {
  if (surplus(Balance) == 0) {
    SurplusSince_.erase(Balance.Pool_);
    return;
  }
  const auto Since =
      SurplusSince_.try_emplace(Balance.Pool_, Now).first->second;
  Balance.SurplusReturnable_ |= Now - Since >= MinSurplusDuration;
}

} // namespace heathercross::fleet
