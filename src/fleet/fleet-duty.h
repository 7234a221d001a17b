// The duty that keeps pools at their size and maintained, within their budgets.
#pragma once

#include "fleet/drain-watch.h"
#include "fleet/leaving.h"
#include "fleet/model.h"
#include "fleet/placement.h"
#include "fleet/pool-plan.h"
#include "fleet/wave.h"
#include "fleet/worker-commands.h"

#include <cstdint>
#include <set>
#include <string>
#include <vector>

namespace heathercross::fleet {

/// What the duty says of the pools that it holds, for operators.
struct FleetReport {
  std::vector<WaveReport> Waves_;
  std::vector<RackRisk> RackRisks_;
};

namespace detail {

/// What every pool wants from the placement, as the snapshot has it.
std::vector<PoolNeed> poolNeeds(const Snapshot &S, const SilenceWatch &Silence);

/// Adds the unassigned instances that the placement gives to the pool.
void adopt(const Snapshot &S, const std::vector<Assignment> &Placement,
           const PoolId &Pool, PoolPlan &Plan);

/// The listed instances that have no row and aren't leaving.
std::vector<ListedInstance> unassigned(const Snapshot &S);

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
template <WavePolicy Policy = LargestStep> class BasicFleetDuty {
public:
  explicit BasicFleetDuty(Policy P = {}) : Policy_(std::move(P)) {}

  /// Decides on one snapshot. For each pool there is at most one transaction;
  /// the next step should see its result, or a reading made after it failed.
  std::vector<Action> step(const Snapshot &S);

  /// What the last step found.
  const FleetReport &report() const { return Report_; }

private:
  void observe(const Snapshot &S);
  void decide(const Snapshot &S, const PoolPicture &Picture,
              const std::vector<Assignment> &Placement,
              std::vector<Action> &Actions);
  AttemptId nextAttempt(const PoolId &Pool, Epoch E);

  Policy Policy_;
  DrainWatch Drains_;
  SilenceWatch Silence_;
  WorkerCommands Commands_;
  FleetReport Report_;
  /// Counts the transactions, to name their attempts.
  std::uint64_t Attempts_ = 0;
};

/// The duty as the daemon runs it.
using FleetDuty = BasicFleetDuty<>;

template <WavePolicy Policy>
std::vector<Action> BasicFleetDuty<Policy>::step(const Snapshot &S) {
  std::vector<Action> Actions;
  if (!S.PlatformAnswers_ || !S.Listed_)
    return Actions;
  observe(S);
  const auto Needs = detail::poolNeeds(S, Silence_);
  const auto Free = detail::unassigned(S);
  const auto Placement =
      Free.empty() ? std::vector<Assignment>() : place(Needs, Free);
  Report_ = {{}, rackRisks(Needs)};
  for (const auto &Pool : detail::workablePools(S))
    decide(S, pictureOf(S, Pool), Placement, Actions);
  return Actions;
}

template <WavePolicy Policy>
void BasicFleetDuty<Policy>::observe(const Snapshot &S) {
  Silence_.observe(S);
  Commands_.keepOnly(S.Instances_);
  std::set<InstanceId> Draining;
  for (const auto &[Name, Record] : S.Instances_)
    if (Record.Row_.State_ == InstanceState::Draining)
      Draining.insert(Name);
  Drains_.keepOnly(Draining);
}

template <WavePolicy Policy>
void BasicFleetDuty<Policy>::decide(const Snapshot &S,
                                    const PoolPicture &Picture,
                                    const std::vector<Assignment> &Placement,
                                    std::vector<Action> &Actions) {
  for (const Member &M : Picture.Members_)
    if (M.row().State_ == InstanceState::Draining)
      Drains_.observe(M, S.Now_);
  const auto &Lease = S.Leases_.at(Picture.Name_);
  PoolPlan Plan(Picture, Lease);
  retire(S, Picture, Silence_, Plan);
  detail::adopt(S, Placement, Picture.Name_, Plan);
  advanceWave(S.View_, Picture, {}, Drains_, Policy_, Plan);
  const auto Attempt = nextAttempt(Picture.Name_, Lease.Epoch_);
  if (auto T = Plan.transaction(Attempt))
    Actions.push_back(Write{Picture.Name_, std::move(*T)});
  const auto Limit = detail::drainLimitOf(S.View_, Picture);
  for (auto &Command : Commands_.due(Picture, Drains_, Limit, S.Now_))
    Actions.push_back(std::move(Command));
  std::ranges::move(reportWaves(S.View_, Picture),
                    std::back_inserter(Report_.Waves_));
}

template <WavePolicy Policy>
AttemptId BasicFleetDuty<Policy>::nextAttempt(const PoolId &Pool, Epoch E) {
  return AttemptId("fleet-" + Pool.str() + "-" + std::to_string(E.value()) +
                   "-" + std::to_string(++Attempts_));
}

} // namespace heathercross::fleet
