// Runs maintenance waves in a pool: each instance is drained, rebooted and
// returned to service.
#include "fleet/wave.h"

#include <map>
#include <ranges>
#include <tuple>
#include <utility>

namespace heathercross::fleet {

namespace {

/// A rack within its zone.
using RackKey = std::pair<ZoneId, RackId>;

RackKey rackOf(const Member &M) { return {M.row().Zone_, M.row().Rack_}; }

bool completedWave(const Member &M, const Wave &W) {
  return M.row().DoneWave_ == W.Name_;
}

bool disrupted(const Member &M) {
  const auto State = M.row().State_;
  return State == InstanceState::Draining || State == InstanceState::Rebooting;
}

/// Whether the wave still has to reboot the member. Leaving members are exempt.
bool needsWave(const Member &M, const Wave &W) {
  return M.Availability_ != Availability::Leaving &&
         M.row().State_ != InstanceState::Leaving && !completedWave(M, W);
}

bool canStartDrain(const Member &M, const Wave &W) {
  return needsWave(M, W) && !disrupted(M) && M.responds();
}

bool isFinished(const PoolSnapshot &Pool, const WaveId &Wave) {
  const auto &Finished = Pool.Permit_.Finished_;
  return std::ranges::find(Finished, Wave) != Finished.end();
}

bool appliesTo(const Wave &W, const PoolSnapshot &Pool) {
  return W.Pool_ == Pool.Name_;
}

/// Orders members by the cost of disrupting them: unavailable ones first, then
/// idle ones, then those that run only tasks, which can be checkpointed, then
/// by load.
std::tuple<int, std::uint32_t, std::size_t> disruptionCost(const Member &M) {
  if (!M.available())
    return {0, 0, 0};
  if (idle(*M.Status_))
    return {1, 0, 0};
  const int Class = M.Status_->Busy_ == 0 ? 2 : 3;
  return {Class, M.Status_->Busy_, M.Status_->Tasks_.size()};
}

std::map<RackKey, int> availableByRack(const PoolSnapshot &Pool) {
  std::map<RackKey, int> Result;
  for (const auto &M : Pool.Members_)
    Result[rackOf(M)] += M.available() ? 1 : 0;
  return Result;
}

/// Among the cheapest candidates, prefers the rack with the most available
/// members, so that a rack failure during a wave leaves as many members
/// available as possible.
std::vector<const Member *>::iterator
nextCandidate(std::vector<const Member *> &Candidates,
              std::map<RackKey, int> &ByRack) {
  return std::ranges::min_element(Candidates, {}, [&](const Member *M) {
    return std::tuple(disruptionCost(*M), -ByRack[rackOf(*M)], M->id());
  });
}

WaveObstacle obstacleOf(const PoolSnapshot &Pool, const Wave &W,
                        std::uint32_t InProgress) {
  const bool AnyCanStart = std::ranges::any_of(
      Pool.Members_, [&](const Member &M) { return canStartDrain(M, W); });
  if (!AnyCanStart && InProgress == 0)
    return WaveObstacle::InstancesUnreachable;
  if (!AnyCanStart || Pool.permitsLeft() > 0)
    return WaveObstacle::None;
  if (!Pool.budgetAllowsDisruption())
    return WaveObstacle::BudgetLeavesNoRoom;
  return InProgress > 0 ? WaveObstacle::None
                        : WaveObstacle::FailuresSpendBudget;
}

WaveState stateOf(const WaveReport &Report, const Wave &W,
                  const PoolSnapshot &Pool) {
  if (isFinished(Pool, W.Name_))
    return WaveState::Finished;
  if (W.Mode_ == WaveMode::Aborted)
    return WaveState::Aborted;
  if (W.Mode_ == WaveMode::Paused)
    return WaveState::Paused;
  if (Report.Obstacle_ == WaveObstacle::BudgetLeavesNoRoom)
    return WaveState::Blocked;
  return Report.Obstacle_ == WaveObstacle::None ? WaveState::Progressing
                                                : WaveState::Waiting;
}

WaveReport reportOf(const View &V, const PoolSnapshot &Pool, const Wave &W) {
  const Wave *Current = currentWave(V, Pool);
  const bool IsCurrent = Current && Current->Name_ == W.Name_;
  WaveReport Report;
  Report.Wave_ = W.Name_;
  Report.Pool_ = W.Pool_;
  Report.Total_ = static_cast<std::uint32_t>(Pool.Members_.size());
  Report.Done_ = static_cast<std::uint32_t>(
      std::ranges::count_if(Pool.Members_, [&](const Member &M) {
        return completedWave(M, W) && !disrupted(M);
      }));
  Report.InProgress_ = IsCurrent ? detail::inProgress(Pool, W) : 0;
  Report.Obstacle_ = IsCurrent ? obstacleOf(Pool, W, Report.InProgress_)
                               : WaveObstacle::OtherWaveFirst;
  Report.State_ = stateOf(Report, W, Pool);
  if (Report.State_ == WaveState::Finished)
    Report.Obstacle_ = WaveObstacle::None;
  return Report;
}

} // namespace

std::string_view name(WaveState State) {
  switch (State) {
  case WaveState::Progressing:
    return "progressing";
  case WaveState::Waiting:
    return "waiting";
  case WaveState::Blocked:
    return "blocked";
  case WaveState::Paused:
    return "paused";
  case WaveState::Aborted:
    return "aborted";
  case WaveState::Finished:
    return "finished";
  }
  return "?";
}

std::string_view name(WaveObstacle Obstacle) {
  switch (Obstacle) {
  case WaveObstacle::None:
    return "none";
  case WaveObstacle::BudgetLeavesNoRoom:
    return "budget-leaves-no-room";
  case WaveObstacle::FailuresSpendBudget:
    return "failures-spend-budget";
  case WaveObstacle::InstancesUnreachable:
    return "instances-unreachable";
  case WaveObstacle::OtherWaveFirst:
    return "other-wave-first";
  }
  return "?";
}

const Wave *currentWave(const View &V, const PoolSnapshot &Pool) {
  const auto Found = std::ranges::find_if(V.Waves_, [&](const auto &Entry) {
    const Wave &W = Entry.second;
    return appliesTo(W, Pool) && W.Mode_ != WaveMode::Aborted &&
           !isFinished(Pool, W.Name_);
  });
  return Found == V.Waves_.end() ? nullptr : &Found->second;
}

bool needsExtraInstance(const View &V, const PoolSnapshot &Pool) {
  const Wave *Current = currentWave(V, Pool);
  if (!Current || Current->Mode_ != WaveMode::Running)
    return false;
  return Pool.Size_ == Pool.MinAvailable_ &&
         std::ranges::any_of(Pool.Members_, [&](const Member &M) {
           return needsWave(M, *Current);
         });
}

std::vector<WaveReport> reportWaves(const View &V, const PoolSnapshot &Pool) {
  std::vector<WaveReport> Reports;
  for (const auto &[Name, W] : V.Waves_)
    if (appliesTo(W, Pool))
      Reports.push_back(reportOf(V, Pool, W));
  return Reports;
}

namespace detail {

void advanceDisrupted(const PoolSnapshot &Pool, const Wave *Current,
                      const std::set<InstanceId> &Reserved,
                      const DrainTracker &Drains, PoolPlan &Plan) {
  for (const Member &M : Pool.Members_) {
    if (Plan.hasChange(M.id()) || Reserved.contains(M.id()) || !M.responds())
      continue;
    const auto State = M.row().State_;
    const bool NeedsWave = Current && needsWave(M, *Current);
    const bool Rebooted =
        State == InstanceState::Rebooting && M.Status_->Boot_ != M.row().Boot_;
    const bool DrainObsolete = State == InstanceState::Draining && !NeedsWave;
    if (Rebooted || DrainObsolete) {
      Plan.updateAndRelease(M, withState(M, InstanceState::Active));
    } else if (State == InstanceState::Draining &&
               Drains.confirmedIdle(M.id())) {
      // The drain isn't obsolete, so there is a current wave.
      auto RebootingRow = withState(M, InstanceState::Rebooting);
      RebootingRow.Boot_ = M.Status_->Boot_;
      RebootingRow.DoneWave_ = Current->Name_;
      Plan.update(M, std::move(RebootingRow));
    }
  }
}

void startDrains(const PoolSnapshot &Pool, const Wave &Current,
                 std::uint32_t Count, PoolPlan &Plan) {
  std::vector<const Member *> Candidates;
  for (const Member &M : Pool.Members_)
    if (canStartDrain(M, Current) && !Plan.hasChange(M.id()))
      Candidates.push_back(&M);
  auto ByRack = availableByRack(Pool);
  while (!Candidates.empty()) {
    const auto Next = nextCandidate(Candidates, ByRack);
    const Member &M = **Next;
    Candidates.erase(Next);
    if (M.available() && Count == 0)
      return;
    if (!Plan.disrupt(M, withState(M, InstanceState::Draining)))
      return;
    Count -= M.available() ? 1 : 0;
    ByRack[rackOf(M)] -= M.available() ? 1 : 0;
  }
}

void finishIfDone(const PoolSnapshot &Pool, const Wave &Current,
                  PoolPlan &Plan) {
  const bool AllCompleted =
      !Pool.Members_.empty() &&
      std::ranges::none_of(Pool.Members_, [&](const Member &M) {
        return needsWave(M, Current) || disrupted(M);
      });
  if (AllCompleted)
    Plan.finishWave(Current.Name_);
}

std::uint32_t inProgress(const PoolSnapshot &Pool, const Wave &Current) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Pool.Members_, [&](const Member &M) {
        return disrupted(M) && (M.row().State_ == InstanceState::Rebooting ||
                                needsWave(M, Current));
      }));
}

} // namespace detail

} // namespace heathercross::fleet
