// How many machines each pool has, and which ones move.
#include "schedule/pool-sizing.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A need counts for this long after it was seen: work comes in lumps.
constexpr Millis NeedHold{700};
/// A machine that isn't needed is parked after this long. A move to and from
/// the standby pool costs as much as 2.3 s of one machine.
constexpr Millis ParkAfter{600};
/// Late work keeps the machines that are there, but brings only so many.
constexpr double MaxLateMachines = 2;
/// Machines that stand ready in each pool, for the time until more arrive when
/// its turn comes.
constexpr std::uint32_t IdleMachines = 2;
/// Machines that a pool keeps beyond its need, for the first jobs of a burst.
constexpr std::uint32_t SpareMachines = 1;
/// While machines are short a pool keeps so many more than its share: shares
/// change with each job, and a move costs a machine 1.7 s of work.
constexpr std::uint32_t ShareSlack = 2;

bool empty(const SizedMachine &M) {
  return M.Up_ && M.Known_ && M.Vacating_ && M.Runs_ == 0;
}

std::uint32_t machinesFor(double Cores, double CoresEach) {
  return CoresEach <= 0
             ? 0
             : static_cast<std::uint32_t>(std::ceil(Cores / CoresEach));
}

} // namespace

double PoolSizing::steadyNeed(const PoolId &Pool, double Cores, Instant Now) {
  Memory &M = Memory_[Pool];
  if (Cores >= M.PeakCores_ || Now - M.PeakAt_ > NeedHold) {
    M.PeakCores_ = Cores;
    M.PeakAt_ = Now;
  }
  return M.PeakCores_;
}

void PoolSizing::release(const SizedMachine &M, Instant Now, Plan &P) {
  P.Spare_.insert(M.Id_);
  P.Out_.Vacate_.insert(M.Id_);
  SpareSince_.try_emplace(M.Id_, Now);
  if (empty(M))
    P.Ready_.push_back(&M);
}

SizingStep PoolSizing::step(const std::map<PoolId, PoolNeed> &Needs,
                            const std::vector<SizedMachine> &Machines,
                            const PoolId &Standby, Instant Now) {
  Plan P;
  std::map<PoolId, PoolState> Pools = survey(Needs, Machines, Standby, P, Now);
  const bool Divided = divide(Pools, P.Parked_.size());
  std::uint32_t Lacking = 0;
  for (const auto &[Pool, S] : Pools) {
    P.Out_.Sizes_[Pool] = {S.Have_, S.Target_, S.Keep_};
    Lacking += S.Target_ > S.Have_ ? S.Target_ - S.Have_ : 0;
  }
  const auto Supply = static_cast<std::uint32_t>(P.Parked_.size());
  for (auto &[Pool, S] : Pools) {
    std::uint32_t Surplus = S.Have_ > S.Keep_ ? S.Have_ - S.Keep_ : 0;
    for (const SizedMachine *M : S.Movable_) {
      if (Surplus == 0)
        break;
      --Surplus;
      --S.Have_;
      release(*M, Now, P);
    }
  }
  // Machines that only work on late jobs go where jobs can still be in time.
  std::uint32_t Short =
      Lacking > Supply + P.Spare_.size()
          ? Lacking - Supply - static_cast<std::uint32_t>(P.Spare_.size())
          : 0;
  for (auto &[Pool, S] : Pools)
    for (const SizedMachine *M : S.Movable_) {
      if (Short == 0 || S.Have_ <= S.Target_ + (Divided ? ShareSlack : 0))
        break;
      if (P.Spare_.contains(M->Id_))
        continue;
      --Short;
      --S.Have_;
      release(*M, Now, P);
    }
  std::erase_if(SpareSince_, [&](const auto &Entry) {
    return !P.Spare_.contains(Entry.first);
  });
  assign(Pools, P);
  if (!Standby.empty())
    for (const SizedMachine *M : P.Ready_)
      if (Now - SpareSince_.at(M->Id_) >= ParkAfter)
        P.Out_.Moves_.push_back({M->Id_, Standby});
  return std::move(P.Out_);
}

std::map<PoolId, PoolSizing::PoolState>
PoolSizing::survey(const std::map<PoolId, PoolNeed> &Needs,
                   const std::vector<SizedMachine> &Machines,
                   const PoolId &Standby, Plan &P, Instant Now) {
  std::map<PoolId, PoolState> Pools;
  double AnyCores = 0;
  for (const SizedMachine &M : Machines) {
    AnyCores = std::max(AnyCores, M.Cores_);
    if (M.Pool_ == Standby && M.Up_ && !M.Reserved_)
      P.Parked_.push_back(&M);
    if (!Needs.contains(M.Pool_) || M.Reserved_ || !(M.Up_ || M.Arriving_))
      continue;
    PoolState &S = Pools[M.Pool_];
    ++S.Have_;
    S.CoresEach_ = std::max(S.CoresEach_, M.Cores_);
    if (M.Up_ && M.Known_ && M.Lasting_ == 0)
      S.Movable_.push_back(&M);
  }
  for (const auto &[Pool, Need] : Needs) {
    PoolState &S = Pools[Pool];
    const double Each = S.CoresEach_ > 0 ? S.CoresEach_ : AnyCores;
    const double Steady = steadyNeed(Pool, Need.InTimeCores_, Now);
    S.Ready_ = Need.MinMachines_ + IdleMachines;
    const double Late = std::min(Need.LateCores_, MaxLateMachines * Each);
    S.Target_ =
        std::max(S.Ready_, machinesFor(Steady + Late, Each) + SpareMachines);
    S.Keep_ = std::max(S.Target_, machinesFor(Steady + Need.LateCores_, Each));
    std::ranges::stable_sort(S.Movable_, {}, [](const SizedMachine *M) {
      return std::pair(!empty(*M), M->Runs_);
    });
  }
  return Pools;
}

bool PoolSizing::divide(std::map<PoolId, PoolState> &Pools,
                        std::size_t Parked) {
  auto All = static_cast<std::uint32_t>(Parked);
  std::uint32_t Wanted = 0;
  for (const auto &[Pool, S] : Pools) {
    All += S.Have_;
    Wanted += S.Target_;
  }
  if (Wanted <= All)
    return false;
  // A burst can ask for many times what there is; it still gets no more than
  // its part of that.
  std::uint32_t Ready = 0;
  std::uint32_t Excess = 0;
  for (auto &[Pool, S] : Pools) {
    S.Target_ = std::min(S.Target_, All);
    Ready += std::min(S.Ready_, S.Target_);
    Excess += S.Target_ - std::min(S.Ready_, S.Target_);
  }
  const std::uint32_t Left = All > Ready ? All - Ready : 0;
  for (auto &[Pool, S] : Pools) {
    const std::uint32_t Least = std::min(S.Ready_, S.Target_);
    if (Excess > 0)
      S.Target_ = Least + Left * (S.Target_ - Least) / Excess;
    S.Keep_ = std::min(S.Keep_, S.Target_ + ShareSlack);
  }
  return true;
}

void PoolSizing::assign(const std::map<PoolId, PoolState> &Pools, Plan &P) {
  std::vector<std::pair<std::uint32_t, PoolId>> Lacking;
  for (const auto &[Pool, S] : Pools)
    if (S.Have_ < S.Target_)
      Lacking.emplace_back(S.Target_ - S.Have_, Pool);
  std::ranges::sort(Lacking, std::greater());
  for (auto &[Count, Pool] : Lacking)
    for (; Count > 0; --Count) {
      std::vector<const SizedMachine *> &From =
          P.Ready_.empty() ? P.Parked_ : P.Ready_;
      if (From.empty())
        return;
      P.Out_.Moves_.push_back({From.back()->Id_, Pool});
      From.pop_back();
    }
}

} // namespace heathercross::schedule
