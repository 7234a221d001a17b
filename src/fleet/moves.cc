// Decides how many instances each pool should have, and who gives them.
#include "fleet/moves.h"

#include <algorithm>
#include <cmath>

namespace heathercross::fleet {

namespace {

/// The instances that carry the demand at a share of use of their slots.
std::int32_t instancesFor(const PoolLoad &L, double Use) {
  const double PerInstance = std::max(1U, L.SlotsEach_) * Use;
  return static_cast<std::int32_t>(std::ceil(*L.Demand_ / PerInstance));
}

/// The change of size that gives the wanted instances within the budget.
std::int32_t changeFor(const PoolLoad &L, std::int32_t Wanted) {
  const auto Least = static_cast<std::int32_t>(L.MinAvailable_);
  return std::max(Wanted, Least) - static_cast<std::int32_t>(L.Size_);
}

std::uint32_t lacks(const PoolBalance &B) {
  return B.Target_ > B.Members_ ? B.Target_ - B.Members_ : 0;
}

std::uint32_t surplus(const PoolBalance &B) {
  return B.Members_ > B.Target_ ? B.Members_ - B.Target_ : 0;
}

/// What a donor can give to that receiver.
std::uint32_t canGive(const PoolBalance &Donor, const PoolBalance &To) {
  if (Donor.Pool_ == To.Pool_)
    return 0;
  if (To.Spare_)
    return Donor.SurplusLasts_ ? surplus(Donor) : 0;
  if (!Donor.Spare_)
    return surplus(Donor);
  const auto Floor = std::min(Donor.MinAvailable_, Donor.Target_);
  return Donor.Members_ > Floor ? Donor.Members_ - Floor : 0;
}

double shortfall(const PoolBalance &B) {
  return double(lacks(B)) / std::max(1U, B.Target_);
}

/// Fills one receiver from the donors of one kind.
void fill(PoolBalance &To, std::vector<PoolBalance> &Pools, bool FromSpare,
          std::vector<Transfer> &Transfers) {
  for (auto &Donor : Pools) {
    if (Donor.Spare_ != FromSpare)
      continue;
    const auto Count = std::min(lacks(To), canGive(Donor, To));
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
      Result[L.Pool_] = changeFor(L, instancesFor(L, TargetUse));
  return Result;
}

SizeChanges HysteresisMoves::changes(const std::vector<PoolLoad> &Loads,
                                     Instant Now) {
  SizeChanges Result;
  for (const auto &L : Loads) {
    const auto [Entry, IsNew] = Trends_.try_emplace(L.Pool_);
    auto &T = Entry->second;
    if (IsNew && L.Members_ > L.Size_)
      T.Change_ = static_cast<std::int32_t>(L.Members_ - L.Size_);
    if (L.Demand_)
      follow(T, L, Now);
    else
      forget(T, Now);
    Result[L.Pool_] = T.Change_;
  }
  return Result;
}

// A change of size that no report speaks for any more is given up like one for
// which demand is low; otherwise it would keep instances from pools below
// their agreed size for good.
void HysteresisMoves::forget(Trend &T, Instant Now) const {
  if (!T.UnreportedSince_)
    T.UnreportedSince_ = Now;
  if (Now - *T.UnreportedSince_ > Limits_.Cooldown_)
    T.Change_ = 0;
}

void HysteresisMoves::follow(Trend &T, const PoolLoad &L, Instant Now) const {
  T.UnreportedSince_.reset();
  const auto ToGrow = changeFor(L, instancesFor(L, Limits_.High_));
  const auto ToShrink = changeFor(L, instancesFor(L, Limits_.Low_));
  followHigh(T, ToGrow, Now);
  followLow(T, ToShrink, Now);
}

void HysteresisMoves::followHigh(Trend &T, std::int32_t Wanted,
                                 Instant Now) const {
  if (Wanted <= T.Change_) {
    T.HighSince_.reset();
    return;
  }
  if (!T.HighSince_) {
    T.HighSince_ = Now;
    T.LeastWanted_ = Wanted;
  }
  T.LeastWanted_ = std::min(T.LeastWanted_, Wanted);
  if (Now - *T.HighSince_ <= Limits_.MoveCost_)
    return;
  T.Change_ = T.LeastWanted_;
  T.HighSince_.reset();
}

void HysteresisMoves::followLow(Trend &T, std::int32_t Wanted,
                                Instant Now) const {
  if (Wanted >= T.Change_) {
    T.LowSince_.reset();
    return;
  }
  if (!T.LowSince_) {
    T.LowSince_ = Now;
    T.MostWanted_ = Wanted;
  }
  T.MostWanted_ = std::max(T.MostWanted_, Wanted);
  if (Now - *T.LowSince_ <= Limits_.Cooldown_)
    return;
  T.Change_ = T.MostWanted_;
  T.LowSince_.reset();
}

std::vector<Transfer> matchTransfers(std::vector<PoolBalance> Pools) {
  std::vector<Transfer> Transfers;
  std::vector<std::size_t> Order(Pools.size());
  for (std::size_t I = 0; I < Order.size(); ++I)
    Order[I] = I;
  std::ranges::stable_sort(Order, {}, [&](std::size_t I) {
    return std::pair(Pools[I].Spare_, -shortfall(Pools[I]));
  });
  for (const auto I : Order) {
    fill(Pools[I], Pools, false, Transfers);
    if (!Pools[I].Spare_)
      fill(Pools[I], Pools, true, Transfers);
  }
  return Transfers;
}

void SurplusWatch::observe(PoolBalance &Balance, Instant Now) {
  if (surplus(Balance) == 0) {
    Since_.erase(Balance.Pool_);
    return;
  }
  const auto Since = Since_.try_emplace(Balance.Pool_, Now).first->second;
  Balance.SurplusLasts_ |= Now - Since >= SurplusDwell;
}

} // namespace heathercross::fleet
