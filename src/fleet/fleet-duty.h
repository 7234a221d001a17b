// The duty that keeps pools at their target sizes and runs their maintenance
// waves within their availability budgets.
#pragma once

#include "fleet/drain-tracker.h"
#include "fleet/fleet-plan.h"
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

/// Waves, rack risks and transfers as shown to operators. Waves_ covers only
/// the pools whose duty is held.
struct FleetReport {
  std::vector<WaveReport> Waves_;
  std::vector<RackRisk> RackRisks_;
  std::vector<Transfer> Transfers_;
};

namespace detail {

/// Adds rows for the unassigned instances that the placement assigns to the
/// pool.
void addAssignedInstances(const Snapshot &S,
                          const std::vector<Assignment> &Placement,
                          PoolPlan &Plan);

/// Returns the pools whose duty is held and whose permit row isn't from a later
/// epoch than the held lease.
std::vector<PoolId> writablePools(const Snapshot &S);

/// Returns how long a member of the pool may drain before its tasks are
/// checkpointed.
Micros drainLimitOf(const View &V, const PoolSnapshot &Pool);

} // namespace detail

/// Reconciles the pools whose duty is held with the agreed view. It is
/// level-triggered: each step decides from a fresh snapshot, and the state kept
/// between steps is soft, so that the next holder can continue without it. Does
/// nothing while the platform is unavailable.
template <WavePolicy Waves = LargestStep, MovePolicy Moves = HysteresisMoves>
class BasicFleetDuty {
public:
  explicit BasicFleetDuty(Waves W = {}, Moves M = {})
      : Waves_(std::move(W)), Moves_(std::move(M)) {}

  /// Decides on one snapshot and returns at most one transaction for each pool.
  /// The next snapshot should be read after this transaction has committed or
  /// failed.
  std::vector<Action> step(const Snapshot &S);

  /// Returns the report of the last step.
  const FleetReport &report() const { return Report_; }

private:
  void updateTrackers(const Snapshot &S);
  void planPool(const Snapshot &S, const PoolSnapshot &Pool,
                const FleetPlan &Fleet, std::vector<Action> &Actions);
  AttemptId nextAttempt(const PoolId &Pool, Epoch E);

  Waves Waves_;
  Moves Moves_;
  DrainTracker Drains_;
  ResponseTracker Responses_;
  SurplusTracker Surpluses_;
  TransferExecutor Transfers_;
  HealthMonitor Health_;
  WorkerCommands Commands_;
  FleetReport Report_;
  /// The number of attempt ids so far, which makes them unique.
  std::uint64_t Attempts_ = 0;
};

/// The duty with its default policies.
using FleetDuty = BasicFleetDuty<>;

template <WavePolicy Waves, MovePolicy Moves>
std::vector<Action> BasicFleetDuty<Waves, Moves>::step(const Snapshot &S) {
  std::vector<Action> Actions;
  if (!S.PlatformReachable_ || !S.Listed_)
    return Actions;
  updateTrackers(S);
  const auto Changes = Moves_.changes(loadsOf(S), S.Now_);
  const auto Fleet = planFleet(S, Changes, Responses_, Surpluses_);
  Report_ = {{}, rackRisks(Fleet.Needs_), Fleet.Transfers_};
  for (const auto &Pool : detail::writablePools(S))
    planPool(S, makePoolSnapshot(S, Pool), Fleet, Actions);
  return Actions;
}

template <WavePolicy Waves, MovePolicy Moves>
void BasicFleetDuty<Waves, Moves>::updateTrackers(const Snapshot &S) {
  Responses_.observe(S);
  Commands_.keepOnly(S.Instances_);
  Health_.keepOnly(S.Instances_);
  Drains_.keepDraining(S.Instances_);
}

template <WavePolicy Waves, MovePolicy Moves>
void BasicFleetDuty<Waves, Moves>::planPool(const Snapshot &S,
                                            const PoolSnapshot &Pool,
                                            const FleetPlan &Fleet,
                                            std::vector<Action> &Actions) {
  const auto &Lease = S.Leases_.at(Pool.Name_);
  PoolPlan Plan(Pool, Lease);
  Drains_.observe(Pool, S.Now_);
  markLeavingAndEraseLost(S, Pool, Responses_, Plan);
  Health_.advance(S, Pool, Plan);
  Transfers_.advance(S, Pool, Fleet.Transfers_, Drains_, Plan);
  detail::addAssignedInstances(S, Fleet.Placement_, Plan);
  advanceWave(S.View_, Pool, Transfers_.reserved(), Drains_, Waves_, Plan);
  const auto Attempt = nextAttempt(Pool.Name_, Lease.Epoch_);
  if (auto T = Plan.transaction(Attempt))
    Actions.emplace_back(Write{Pool.Name_, std::move(*T)});
  const auto Limit = detail::drainLimitOf(S.View_, Pool);
  auto Commands = Commands_.dueCommands(Pool, Drains_, Limit, S.Now_);
  std::ranges::move(Commands, std::back_inserter(Actions));
  std::ranges::move(reportWaves(S.View_, Pool),
                    std::back_inserter(Report_.Waves_));
}

template <WavePolicy Waves, MovePolicy Moves>
AttemptId BasicFleetDuty<Waves, Moves>::nextAttempt(const PoolId &Pool,
                                                    Epoch E) {
  return AttemptId("fleet-" + Pool.str() + "-" + std::to_string(E.value()) +
                   "-" + std::to_string(++Attempts_));
}

} // namespace heathercross::fleet
