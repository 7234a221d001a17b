// Decides how many machines each pool has and which machines move.
#include "schedule/pool-sizing.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// The peak of a pool's need is kept for this long, because work arrives in
/// bursts.
constexpr Millis PeakHold{700};
/// An unneeded machine moves to the standby pool after this long. Moving it
/// there and back costs as much as running it for 2.3 s.
constexpr Millis StandbyAfter{600};
/// Late work retains a pool's machines, but adds at most this many.
constexpr double MaxLateMachines = 2;
/// Idle machines in each pool, to cover the time until more arrive when its
/// demand rises.
constexpr std::uint32_t IdleMachines = 2;
/// Machines that a pool keeps in excess of its need, for the first jobs of a
/// burst.
constexpr std::uint32_t SpareMachines = 1;
/// During a shortage a pool keeps this many machines above its share: shares
/// change with each job, and a move costs 1.7 s of a machine's work.
constexpr std::uint32_t ShareSlack = 2;

bool isEmptied(const SizedMachine &M) {
  return M.Up_ && M.Reported_ && M.Evacuating_ && M.Runs_ == 0;
}

std::uint32_t machinesFor(double Cores, double CoresEach) {
  return CoresEach <= 0
             ? 0
             : static_cast<std::uint32_t>(std::ceil(Cores / CoresEach));
}

} // namespace

double PoolSizing::recentPeak(const PoolId &Pool, double Cores, Instant Now) {
  PeakNeed &Peak = Peaks_[Pool];
  if (Cores >= Peak.PeakCores_ || Now - Peak.PeakAt_ > PeakHold) {
    Peak.PeakCores_ = Cores;
    Peak.PeakAt_ = Now;
  }
  return Peak.PeakCores_;
}

void PoolSizing::release(const SizedMachine &M, Instant Now, Plan &P) {
  P.Released_.insert(M.Id_);
  P.Out_.Evacuate_.insert(M.Id_);
  ReleasedSince_.try_emplace(M.Id_, Now);
  if (isEmptied(M))
    P.Idle_.push_back(&M);
}

SizingResult PoolSizing::step(const std::map<PoolId, PoolNeed> &Needs,
                              const std::vector<SizedMachine> &Machines,
                              const PoolId &Standby, Instant Now) {
  Plan P;
  std::map<PoolId, PoolState> Pools =
      collectPools(Needs, Machines, Standby, P, Now);
  const bool HasShortage = divideShortage(Pools, P.OnStandby_.size());
  std::uint32_t Missing = 0;
  for (const auto &[Pool, S] : Pools) {
    P.Out_.Sizes_[Pool] = {S.Current_, S.Target_, S.Retained_};
    Missing += S.Target_ > S.Current_ ? S.Target_ - S.Current_ : 0;
  }
  const auto Supply = static_cast<std::uint32_t>(P.OnStandby_.size());
  for (auto &[Pool, S] : Pools) {
    std::uint32_t Surplus =
        S.Current_ > S.Retained_ ? S.Current_ - S.Retained_ : 0;
    for (const SizedMachine *M : S.Movable_) {
      if (Surplus == 0)
        break;
      --Surplus;
      --S.Current_;
      release(*M, Now, P);
    }
  }
  // Takes machines that only serve late jobs for pools whose jobs can still
  // meet their objective.
  std::uint32_t Shortage =
      Missing > Supply + P.Released_.size()
          ? Missing - Supply - static_cast<std::uint32_t>(P.Released_.size())
          : 0;
  for (auto &[Pool, S] : Pools)
    for (const SizedMachine *M : S.Movable_) {
      if (Shortage == 0 ||
          S.Current_ <= S.Target_ + (HasShortage ? ShareSlack : 0))
        break;
      if (P.Released_.contains(M->Id_))
        continue;
      --Shortage;
      --S.Current_;
      release(*M, Now, P);
    }
  std::erase_if(ReleasedSince_, [&](const auto &Entry) {
    return !P.Released_.contains(Entry.first);
  });
  assignMoves(Pools, P);
  if (!Standby.empty())
    for (const SizedMachine *M : P.Idle_)
      if (Now - ReleasedSince_.at(M->Id_) >= StandbyAfter)
        P.Out_.Moves_.push_back({M->Id_, Standby});
  return std::move(P.Out_);
}

std::map<PoolId, PoolSizing::PoolState>
PoolSizing::collectPools(const std::map<PoolId, PoolNeed> &Needs,
                         const std::vector<SizedMachine> &Machines,
                         const PoolId &Standby, Plan &P, Instant Now) {
  std::map<PoolId, PoolState> Pools;
  double MaxCores = 0;
  for (const SizedMachine &M : Machines) {
    MaxCores = std::max(MaxCores, M.Cores_);
    if (M.Pool_ == Standby && M.Up_ && !M.Reserved_)
      P.OnStandby_.push_back(&M);
    if (!Needs.contains(M.Pool_) || M.Reserved_ || !(M.Up_ || M.Arriving_))
      continue;
    PoolState &S = Pools[M.Pool_];
    ++S.Current_;
    S.CoresEach_ = std::max(S.CoresEach_, M.Cores_);
    if (M.Up_ && M.Reported_ && M.LongRunning_ == 0)
      S.Movable_.push_back(&M);
  }
  for (const auto &[Pool, Need] : Needs) {
    PoolState &S = Pools[Pool];
    const double CoresEach = S.CoresEach_ > 0 ? S.CoresEach_ : MaxCores;
    const double RecentCores = recentPeak(Pool, Need.InTimeCores_, Now);
    S.MinTarget_ = Need.MinMachines_ + IdleMachines;
    const double Late = std::min(Need.LateCores_, MaxLateMachines * CoresEach);
    S.Target_ =
        std::max(S.MinTarget_,
                 machinesFor(RecentCores + Late, CoresEach) + SpareMachines);
    S.Retained_ = std::max(
        S.Target_, machinesFor(RecentCores + Need.LateCores_, CoresEach));
    std::ranges::stable_sort(S.Movable_, {}, [](const SizedMachine *M) {
      return std::pair(!isEmptied(*M), M->Runs_);
    });
  }
  return Pools;
}

bool PoolSizing::divideShortage(std::map<PoolId, PoolState> &Pools,
                                std::size_t StandbyCount) {
  auto Total = static_cast<std::uint32_t>(StandbyCount);
  std::uint32_t Wanted = 0;
  for (const auto &[Pool, S] : Pools) {
    Total += S.Current_;
    Wanted += S.Target_;
  }
  if (Wanted <= Total)
    return false;
  // Caps each target at the total number of machines, so that a burst that
  // needs many times that number gets only its share.
  std::uint32_t MinTotal = 0;
  std::uint32_t Excess = 0;
  for (auto &[Pool, S] : Pools) {
    S.Target_ = std::min(S.Target_, Total);
    MinTotal += std::min(S.MinTarget_, S.Target_);
    Excess += S.Target_ - std::min(S.MinTarget_, S.Target_);
  }
  const std::uint32_t Remaining = Total > MinTotal ? Total - MinTotal : 0;
  for (auto &[Pool, S] : Pools) {
    const std::uint32_t Minimum = std::min(S.MinTarget_, S.Target_);
    if (Excess > 0)
      S.Target_ = Minimum + Remaining * (S.Target_ - Minimum) / Excess;
    S.Retained_ = std::min(S.Retained_, S.Target_ + ShareSlack);
  }
  return true;
}

void PoolSizing::assignMoves(const std::map<PoolId, PoolState> &Pools,
                             Plan &P) {
  std::vector<std::pair<std::uint32_t, PoolId>> Missing;
  for (const auto &[Pool, S] : Pools)
    if (S.Current_ < S.Target_)
      Missing.emplace_back(S.Target_ - S.Current_, Pool);
  std::ranges::sort(Missing, std::greater());
  for (auto &[Count, Pool] : Missing)
    for (; Count > 0; --Count) {
      std::vector<const SizedMachine *> &From =
          P.Idle_.empty() ? P.OnStandby_ : P.Idle_;
      if (From.empty())
        return;
      P.Out_.Moves_.push_back({From.back()->Id_, Pool});
      From.pop_back();
    }
}

} // namespace heathercross::schedule
