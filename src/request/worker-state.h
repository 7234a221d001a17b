// What this entry knows of one worker.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace heathercross::request {

/// Recent failures of one worker, and whether it is avoided.
struct WorkerHealth {
  /// Hashes of the distinct request bodies that failed in a row.
  std::vector<std::uint64_t> FailedBodies_;
  /// When the last of them failed.
  Instant FailedAt_{};
  /// The worker isn't used before this time.
  Instant AvoidUntil_{};
  /// Current avoidance period; zero while the worker is healthy.
  Micros AvoidedFor_{0};
  /// The same for failed connections.
  Instant UnreachableUntil_{};
  Micros UnreachableFor_{0};
};

/// Placement state of one worker.
struct WorkerState {
  InstanceId Name_;
  PoolId Pool_;
  ZoneId Zone_;
  bool OwnZone_ = false;
  bool TakesWork_ = false;
  /// All slots of the worker.
  std::uint32_t SlotCount_ = 0;
  /// Slots and connections that belong to this entry.
  std::uint32_t SlotShare_ = 0;
  std::uint32_t ConnectionShare_ = 0;
  /// Requests of this entry on the worker, reserved slots included.
  std::uint32_t InFlight_ = 0;
  /// Requests of all entries: the last report, corrected by what this entry
  /// sent and completed since.
  std::uint32_t Busy_ = 0;
  /// Batch tasks that could be checkpointed or stopped to free a slot.
  std::uint32_t BatchTasks_ = 0;
  bool Leaving_ = false;
  bool HasReport_ = false;
  Instant ReportedAt_{};
  /// The worker's clock in its last report, received at ClockAt_.
  std::int64_t ClockMs_ = 0;
  /// Boot id in the last report; empty if unknown.
  std::string Boot_;
  Instant ClockAt_{};
  WorkerHealth Health_;

  /// Returns the worker's known load. Reports lag behind, so the load is at
  /// least what this entry itself has in flight.
  std::uint32_t load(bool Fresh) const {
    return Fresh ? std::max(Busy_, InFlight_) : InFlight_;
  }

  bool hasFreshReport(Instant Now, Micros MaxAge) const {
    return HasReport_ && Now - ReportedAt_ <= MaxAge;
  }
};

} // namespace heathercross::request
