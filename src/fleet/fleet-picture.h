// The fleet as a whole: what each pool lacks and which instances go where.
#pragma once

#include "fleet/leaving.h"
#include "fleet/model.h"
#include "fleet/moves.h"
#include "fleet/placement.h"
#include "fleet/wave.h"

#include <map>
#include <vector>

namespace heathercross::fleet {

/// What all holders of pool duties work out alike from the same snapshot.
/// Each carries out only what concerns the pools that it holds.
struct FleetPicture {
  /// What every pool wants from the placement.
  std::vector<PoolNeed> Needs_;
  /// Where the unassigned instances go.
  std::vector<Assignment> Placement_;
  /// Which pools give instances to which.
  std::vector<Transfer> Transfers_;
};

/// The loads of all pools, for a move policy.
std::vector<PoolLoad> loadsOf(const Snapshot &S);

/// The picture of the fleet when the pools' sizes are changed like that.
FleetPicture fleetPictureOf(const Snapshot &S, const SizeChanges &Changes,
                            const SilenceWatch &Silence,
                            SurplusWatch &Surpluses);

} // namespace heathercross::fleet
