// Executes a pool's transfers: drains instances and then assigns them to
// another pool.
#pragma once

#include "fleet/availability.h"
#include "fleet/drain-tracker.h"
#include "fleet/moves.h"
#include "fleet/pool-plan.h"

#include <map>
#include <set>
#include <vector>

namespace heathercross::fleet {

/// Tracks the instances that are drained for a transfer and their destinations.
/// If this state is lost, the instances return to service or are selected
/// again.
class TransferExecutor {
public:
  /// Plans the next changes of the transfers out of the pool. An instance's row
  /// changes its pool only after the old pool's work has drained.
  void advance(const Snapshot &S, const PoolSnapshot &Pool,
               const std::vector<Transfer> &Transfers,
               const DrainTracker &Drains, PoolPlan &Plan);

  /// Returns the instances that drain for a transfer.
  std::set<InstanceId> reserved() const;

private:
  void forgetEndedDrains(const PoolSnapshot &Pool);
  /// Starts or cancels drains until Wanted members drain for the pool To, as
  /// far as candidates and permits allow.
  void adjustDrains(const Snapshot &S, const PoolSnapshot &Pool,
                    const PoolId &To, std::uint32_t Wanted, PoolPlan &Plan);
  /// Drops the destinations of Count draining members. advanceWave() then
  /// returns them to service or, if they need the current wave, reboots them.
  void cancelDrains(const PoolSnapshot &Pool, const PoolId &To,
                    std::uint32_t Count);
  bool startDrain(const Snapshot &S, const PoolSnapshot &Pool, const PoolId &To,
                  PoolPlan &Plan);
  void transferDrained(const PoolSnapshot &Pool, const DrainTracker &Drains,
                       PoolPlan &Plan);

  /// The destination pool of each draining instance.
  std::map<InstanceId, PoolId> Destinations_;
};

} // namespace heathercross::fleet
