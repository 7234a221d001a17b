// Tracks how long instances have been draining and whether they are idle.
#pragma once

#include "fleet/availability.h"

#include <map>
#include <optional>

namespace heathercross::fleet {

/// Tracks draining instances. Its state is soft: losing it restarts the drain
/// limit and requires two further idle statuses, but never reports a busy
/// instance as idle.
class DrainTracker {
public:
  /// Records the latest statuses of the pool's draining members.
  void observe(const PoolSnapshot &Pool, Instant Now);

  /// Whether two consecutive statuses reported that the worker refuses new work
  /// and runs nothing.
  bool confirmedIdle(const InstanceId &Name) const;

  /// Returns how long ago the instance was first observed draining.
  Micros drainingFor(const InstanceId &Name, Instant Now) const;

  /// Drops the state of instances whose rows aren't in state Draining.
  void keepDraining(const std::map<InstanceId, InstanceRecord> &Instances);

private:
  struct Drain {
    Instant StartedAt_;
    /// The first status of the current sequence of idle ones.
    std::optional<Instant> FirstIdle_;
    Instant LastIdle_;
  };

  void observe(const Member &M, Instant Now);

  std::map<InstanceId, Drain> Drains_;
};

/// Whether the status reports that the worker runs nothing.
inline bool idle(const WorkerStatus &Status) {
  return Status.Busy_ == 0 && Status.Tasks_.empty();
}

} // namespace heathercross::fleet
