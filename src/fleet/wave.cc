// Drives a maintenance wave (drain, reboot, return) over one pool.
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

bool done(const Member &M, const Wave &W) {
  return M.row().DoneWave_ == W.Name_;
}

bool disrupted(const Member &M) {
  const auto State = M.row().State_;
  return State == InstanceState::Draining || State == InstanceState::Rebooting;
}

/// Whether the wave still has to go through the member. What is leaving has
/// no need of it.
bool owes(const Member &M, const Wave &W) {
  return M.Standing_ != Standing::Leaving &&
         M.row().State_ != InstanceState::Leaving && !done(M, W);
}

bool startable(const Member &M, const Wave &W) {
  return owes(M, W) && !disrupted(M) && M.answers();
}

bool finished(const PoolPicture &Picture, const WaveId &Wave) {
  const auto &Finished = Picture.Permit_.Finished_;
  return std::ranges::find(Finished, Wave) != Finished.end();
}

bool concerns(const Wave &W, const PoolPicture &Picture) {
  return W.Pool_ == Picture.Name_;
}

/// How cheap it is to take the member out: what is out anyway first, then
/// idle ones, then those whose work can be checkpointed, then by load.
std::tuple<int, std::uint32_t, std::size_t> cost(const Member &M) {
  if (!M.available())
    return {0, 0, 0};
  if (idle(*M.Status_))
    return {1, 0, 0};
  const int Class = M.Status_->Busy_ == 0 ? 2 : 3;
  return {Class, M.Status_->Busy_, M.Status_->Tasks_.size()};
}

std::map<RackKey, int> availableByRack(const PoolPicture &Picture) {
  std::map<RackKey, int> Result;
  for (const auto &M : Picture.Members_)
    Result[rackOf(M)] += M.available() ? 1 : 0;
  return Result;
}

/// Among the cheapest, prefers the rack whose loss would hurt the pool most,
/// so that a rack lost in the middle of a wave leaves as much as possible.
std::vector<const Member *>::iterator
nextCandidate(std::vector<const Member *> &Candidates,
              std::map<RackKey, int> &ByRack) {
  return std::ranges::min_element(Candidates, {}, [&](const Member *M) {
    return std::tuple(cost(*M), -ByRack[rackOf(*M)], M->id());
  });
}

WaveObstacle obstacleOf(const PoolPicture &Picture, const Wave &W,
                        std::uint32_t InProgress) {
  const bool AnyStartable = std::ranges::any_of(
      Picture.Members_, [&](const Member &M) { return startable(M, W); });
  if (!AnyStartable && InProgress == 0)
    return WaveObstacle::InstancesUnreachable;
  if (!AnyStartable || Picture.permitsLeft() > 0)
    return WaveObstacle::None;
  if (!Picture.budgetLeavesRoom())
    return WaveObstacle::BudgetLeavesNoRoom;
  return InProgress > 0 ? WaveObstacle::None
                        : WaveObstacle::FailuresSpendBudget;
}

WaveState stateOf(const WaveReport &Report, const Wave &W,
                  const PoolPicture &Picture) {
  if (finished(Picture, W.Name_))
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

WaveReport reportOf(const View &V, const PoolPicture &Picture, const Wave &W) {
  const Wave *Current = currentWave(V, Picture);
  const bool IsCurrent = Current && Current->Name_ == W.Name_;
  WaveReport Report;
  Report.Wave_ = W.Name_;
  Report.Pool_ = W.Pool_;
  Report.Total_ = static_cast<std::uint32_t>(Picture.Members_.size());
  Report.Done_ = static_cast<std::uint32_t>(
      std::ranges::count_if(Picture.Members_, [&](const Member &M) {
        return done(M, W) && !disrupted(M);
      }));
  Report.InProgress_ = IsCurrent ? detail::inProgress(Picture, W) : 0;
  Report.Obstacle_ = IsCurrent ? obstacleOf(Picture, W, Report.InProgress_)
                               : WaveObstacle::OtherWaveFirst;
  Report.State_ = stateOf(Report, W, Picture);
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

const Wave *currentWave(const View &V, const PoolPicture &Picture) {
  const auto Found = std::ranges::find_if(V.Waves_, [&](const auto &Entry) {
    const Wave &W = Entry.second;
    return concerns(W, Picture) && W.Mode_ != WaveMode::Aborted &&
           !finished(Picture, W.Name_);
  });
  return Found == V.Waves_.end() ? nullptr : &Found->second;
}

bool needsExtraInstance(const View &V, const PoolPicture &Picture) {
  const Wave *Current = currentWave(V, Picture);
  if (!Current || Current->Mode_ != WaveMode::Running)
    return false;
  return Picture.Size_ == Picture.MinAvailable_ &&
         std::ranges::any_of(Picture.Members_, [&](const Member &M) {
           return owes(M, *Current);
         });
}

std::vector<WaveReport> reportWaves(const View &V, const PoolPicture &Picture) {
  std::vector<WaveReport> Reports;
  for (const auto &[Name, W] : V.Waves_)
    if (concerns(W, Picture))
      Reports.push_back(reportOf(V, Picture, W));
  return Reports;
}

namespace detail {

void advanceDisrupted(const PoolPicture &Picture, const Wave *Current,
                      const std::set<InstanceId> &Reserved,
                      const DrainWatch &Drains, PoolPlan &Plan) {
  for (const Member &M : Picture.Members_) {
    if (Plan.touches(M.id()) || Reserved.contains(M.id()) || !M.answers())
      continue;
    const auto State = M.row().State_;
    const bool Wanted = Current && owes(M, *Current);
    const bool Back =
        State == InstanceState::Rebooting && M.Status_->Boot_ != M.row().Boot_;
    const bool NotNeeded = State == InstanceState::Draining && !Wanted;
    if (Back || NotNeeded) {
      Plan.settle(M, withState(M, InstanceState::Active));
    } else if (State == InstanceState::Draining && Drains.idleTwice(M.id())) {
      auto Reboot = withState(M, InstanceState::Rebooting);
      Reboot.Boot_ = M.Status_->Boot_;
      Reboot.DoneWave_ = Current->Name_;
      Plan.change(M, std::move(Reboot));
    }
  }
}

void startDrains(const PoolPicture &Picture, const Wave &Current,
                 std::uint32_t Count, PoolPlan &Plan) {
  std::vector<const Member *> Candidates;
  for (const Member &M : Picture.Members_)
    if (startable(M, Current) && !Plan.touches(M.id()))
      Candidates.push_back(&M);
  auto ByRack = availableByRack(Picture);
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

void finishIfDone(const PoolPicture &Picture, const Wave &Current,
                  PoolPlan &Plan) {
  const bool AllDone =
      !Picture.Members_.empty() &&
      std::ranges::none_of(Picture.Members_, [&](const Member &M) {
        return owes(M, Current) || disrupted(M);
      });
  if (AllDone)
    Plan.finish(Current.Name_);
}

std::uint32_t inProgress(const PoolPicture &Picture, const Wave &Current) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Picture.Members_, [&](const Member &M) {
        return disrupted(M) &&
               (M.row().State_ == InstanceState::Rebooting || owes(M, Current));
      }));
}

} // namespace detail

} // namespace heathercross::fleet
