// Plans across all pools: what each pool lacks and which instances it gets.
#pragma once

#include "fleet/leaving.h"
#include "fleet/model.h"
#include "fleet/moves.h"
#include "fleet/placement.h"
#include "fleet/wave.h"

#include <map>
#include <vector>

namespace heathercross::fleet {

/// The plan for all pools. All holders of pool duties compute the same plan
/// from the same snapshot, and each executes the part of the pools that it
/// holds.
struct FleetPlan {
  /// The target size and remaining members of every pool.
  std::vector<PoolNeed> Needs_;
  /// The pools that unassigned instances are added to.
  std::vector<Assignment> Placement_;
  /// The instances that pools give to each other.
  std::vector<Transfer> Transfers_;
};

/// Returns the loads of all pools as input of a move policy.
std::vector<PoolLoad> loadsOf(const Snapshot &S);

/// Plans the fleet with the given changes of the pools' sizes.
FleetPlan planFleet(const Snapshot &S, const SizeChanges &Changes,
                    const ResponseTracker &Responses,
                    SurplusTracker &Surpluses);

} // namespace heathercross::fleet
