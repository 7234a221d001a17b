// Carries out a pool's transfers: drain, see idle, hand the instance over.
#pragma once

#include "fleet/availability.h"
#include "fleet/drain-watch.h"
#include "fleet/moves.h"
#include "fleet/pool-plan.h"

#include <map>
#include <set>
#include <vector>

namespace heathercross::fleet {

/// Remembers for which pools instances are being drained. Losing it returns
/// them, or drains them for the same purpose once more.
class TransferDesk {
public:
  /// Decides the next steps of the transfers that the pool gives. The instance
  /// row changes its pool only after the old pool's work has drained.
  void advance(const Snapshot &S, const PoolPicture &Picture,
               const std::vector<Transfer> &Transfers, const DrainWatch &Drains,
               PoolPlan &Plan);

  /// The instances that drain for a transfer.
  std::set<InstanceId> reserved() const;

private:
  void forgetEnded(const PoolPicture &Picture);
  void matchCount(const Snapshot &S, const PoolPicture &Picture,
                  const PoolId &To, std::uint32_t Wanted, PoolPlan &Plan);
  void cancel(const PoolPicture &Picture, const PoolId &To,
              std::uint32_t Count);
  bool startOne(const Snapshot &S, const PoolPicture &Picture, const PoolId &To,
                PoolPlan &Plan);
  void handOver(const PoolPicture &Picture, const DrainWatch &Drains,
                PoolPlan &Plan);

  /// The pool that each instance is drained for.
  std::map<InstanceId, PoolId> Destinations_;
};

} // namespace heathercross::fleet
