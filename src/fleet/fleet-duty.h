// The duty that keeps pools at their size and maintained, within their budgets.
#pragma once

#include "fleet/drain-watch.h"
#include "fleet/fleet-picture.h"
#include "fleet/health.h"
#include "fleet/leaving.h"
#include "fleet/model.h"
#include "fleet/moves.h"
#include "fleet/placement.h"
#include "fleet/pool-plan.h"
#include "fleet/transfers.h"
#include "fleet/wave.h"
#include "fleet/worker-commands.h"

#include <cstdint>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::fleet {

/// What the duty says of the pools that it holds, for operators.
struct FleetReport {
  std::vector<WaveReport> Waves_;
  std::vector<RackRisk> RackRisks_;
  std::vector<Transfer> Transfers_;
};

namespace detail {

/// Adds the unassigned instances that the placement gives to the pool.
void adopt(const Snapshot &S, const std::vector<Assignment> &Placement,
           PoolPlan &Plan);

/// The pools that are held and may be worked on: their permit row isn't from a
/// later epoch than the lease that is held.
std::vector<PoolId> workablePools(const Snapshot &S);

/// How long a member of the pool may drain before its tasks are checkpointed.
Micros drainLimitOf(const View &V, const PoolPicture &Picture);

} // namespace detail

/// Brings the pools whose duty is held from what is to what was agreed. It is
/// level-triggered: each step decides anew from a snapshot, and what it
/// remembers between steps is soft, so that a successor goes on where it was.
/// While the platform is away it does nothing.
template <WavePolicy Waves = LargestStep, MovePolicy Moves = HysteresisMoves>
class BasicFleetDuty {
public:
  explicit BasicFleetDuty(Waves W = {}, Moves M = {})
      : Waves_(std::move(W)), Moves_(std::move(M)) {}

  /// Decides on one snapshot. For each pool there is at most one transaction;
  /// the next step should see its result, or a reading made after it failed.
  std::vector<Action> step(const Snapshot &S);

  /// What the last step found.
  const FleetReport &report() const { return Report_; }

private:
  void observe(const Snapshot &S);
  void decide(const Snapshot &S, const PoolPicture &Picture,
              const FleetPicture &Fleet, std::vector<Action> &Actions);
  AttemptId nextAttempt(const PoolId &Pool, Epoch E);

  Waves Waves_;
  Moves Moves_;
  DrainWatch Drains_;
  SilenceWatch Silence_;
  SurplusWatch Surpluses_;
  TransferDesk Transfers_;
  Health Health_;
  WorkerCommands Commands_;
  FleetReport Report_;
  /// Counts the transactions, to name their attempts.
  std::uint64_t Attempts_ = 0;
};

/// The duty as the daemon runs it.
using FleetDuty = BasicFleetDuty<>;

template <WavePolicy Waves, MovePolicy Moves>
std::vector<Action> BasicFleetDuty<Waves, Moves>::step(const Snapshot &S) {
  std::vector<Action> Actions;
  if (!S.PlatformAnswers_ || !S.Listed_)
    return Actions;
  observe(S);
  const auto Changes = Moves_.changes(loadsOf(S), S.Now_);
  const auto Fleet = fleetPictureOf(S, Changes, Silence_, Surpluses_);
  Report_ = {{}, rackRisks(Fleet.Needs_), Fleet.Transfers_};
  for (const auto &Pool : detail::workablePools(S))
    decide(S, pictureOf(S, Pool), Fleet, Actions);
  return Actions;
}

template <WavePolicy Waves, MovePolicy Moves>
void BasicFleetDuty<Waves, Moves>::observe(const Snapshot &S) {
  Silence_.observe(S);
  Commands_.keepOnly(S.Instances_);
  Health_.keepOnly(S.Instances_);
  Drains_.keepDraining(S.Instances_);
}

template <WavePolicy Waves, MovePolicy Moves>
void BasicFleetDuty<Waves, Moves>::decide(const Snapshot &S,
                                          const PoolPicture &Picture,
                                          const FleetPicture &Fleet,
                                          std::vector<Action> &Actions) {
  const auto &Lease = S.Leases_.at(Picture.Name_);
  PoolPlan Plan(Picture, Lease);
  Drains_.observe(Picture, S.Now_);
  retire(S, Picture, Silence_, Plan);
  Health_.advance(S, Picture, Plan);
  Transfers_.advance(S, Picture, Fleet.Transfers_, Drains_, Plan);
  detail::adopt(S, Fleet.Placement_, Plan);
  advanceWave(S.View_, Picture, Transfers_.reserved(), Drains_, Waves_, Plan);
  const auto Attempt = nextAttempt(Picture.Name_, Lease.Epoch_);
  if (auto T = Plan.transaction(Attempt))
    Actions.emplace_back(Write{Picture.Name_, std::move(*T)});
  const auto Limit = detail::drainLimitOf(S.View_, Picture);
  auto Due = Commands_.due(Picture, Drains_, Limit, S.Now_);
  std::ranges::move(Due, std::back_inserter(Actions));
  std::ranges::move(reportWaves(S.View_, Picture),
                    std::back_inserter(Report_.Waves_));
}

template <WavePolicy Waves, MovePolicy Moves>
AttemptId BasicFleetDuty<Waves, Moves>::nextAttempt(const PoolId &Pool,
                                                    Epoch E) {
  return AttemptId("fleet-" + Pool.str() + "-" + std::to_string(E.value()) +
                   "-" + std::to_string(++Attempts_));
}

} // namespace heathercross::fleet
