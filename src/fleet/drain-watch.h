// Remembers how long instances have been draining and whether they are idle.
#pragma once

#include "fleet/availability.h"

#include <map>
#include <optional>

namespace heathercross::fleet {

/// Soft state on draining instances. Losing it restarts the drain limit and
/// asks for two more idle statuses; it never makes a busy instance look idle.
class DrainWatch {
public:
  /// Takes in the latest statuses of the pool's draining members.
  void observe(const PoolPicture &Picture, Instant Now);

  /// Whether two statuses, received one after the other, said that the worker
  /// refuses new work and runs nothing.
  bool idleTwice(const InstanceId &Name) const;

  /// How long the instance has been seen draining.
  Micros drainingFor(const InstanceId &Name, Instant Now) const;

  /// Forgets instances whose rows don't say that they drain.
  void keepDraining(const std::map<InstanceId, InstanceRecord> &Instances);

private:
  struct Watch {
    Instant Since_;
    /// Since which status every status has been idle.
    std::optional<Instant> FirstIdle_;
    Instant LastSeen_;
  };

  void observe(const Member &M, Instant Now);

  std::map<InstanceId, Watch> Watches_;
};

/// Whether a status says that the worker runs nothing.
inline bool idle(const WorkerStatus &Status) {
  return Status.Busy_ == 0 && Status.Tasks_.empty();
}

} // namespace heathercross::fleet
