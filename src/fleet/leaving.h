// Removes leaving and lost instances from a pool.
#pragma once

#include "fleet/availability.h"
#include "fleet/pool-plan.h"

#include <map>

namespace heathercross::fleet {

/// An unlisted instance that has been unresponsive for this long is lost.
constexpr Millis LostTimeout{10'000};

/// A listed instance that has been unresponsive for this long is replaced.
constexpr Millis ReplaceTimeout{60'000};

/// Tracks how long instances have been unresponsive. Instances without a
/// status, which this entry doesn't monitor, don't count as unresponsive.
/// Losing this state delays the replacement of lost instances.
class ResponseTracker {
public:
  /// Records which instances respond in the snapshot.
  void observe(const Snapshot &S);

  /// Returns how long the instance has been unresponsive; zero while it
  /// responds.
  Micros unresponsiveFor(const InstanceId &Name, Instant Now) const;

private:
  std::map<InstanceId, Instant> UnresponsiveSince_;
};

/// Marks members as leaving when any source reports it, and erases the rows of
/// lost ones. These changes are involuntary and need no permit.
void markLeavingAndEraseLost(const Snapshot &S, const PoolSnapshot &Pool,
                             const ResponseTracker &Responses, PoolPlan &Plan);

/// Whether the member remains in the pool: it isn't leaving and hasn't been
/// unresponsive for ReplaceTimeout or, if it is unlisted, for LostTimeout.
bool willRemain(const Member &M, const ResponseTracker &Responses, Instant Now);

} // namespace heathercross::fleet
