// What this entry knows of one worker.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace heathercross::request {

/// How requests fared on one worker lately, and whether it is avoided.
struct WorkerHealth {
  /// The causes (caller and body) of the failures in a row, each one once.
  std::vector<std::uint64_t> Causes_;
  /// When the last of them happened.
  Instant FailedAt_{};
  /// Not before this moment is the worker used again.
  Instant AvoidUntil_{};
  /// How long it was avoided the last time; zero when it is healthy.
  Micros AvoidedFor_{0};
  /// The same for a worker to which no connection could be made.
  Instant UnreachableUntil_{};
  Micros UnreachableFor_{0};
};

/// A worker as the placement sees it.
struct WorkerState {
  InstanceId Name_;
  PoolId Pool_;
  ZoneId Zone_;
  bool OwnZone_ = false;
  bool TakesWork_ = false;
  std::uint32_t Total_ = 0;
  /// The slots and connections that fall to this entry.
  std::uint32_t Share_ = 0;
  std::uint32_t ConnectionShare_ = 0;
  /// The requests of this entry that are on the worker.
  std::uint32_t InFlight_ = 0;
  /// Requests of all entries, by the last report and what this entry did since.
  std::uint32_t Busy_ = 0;
  /// Batch tasks that could be checkpointed or stopped to free a slot.
  std::uint32_t BatchTasks_ = 0;
  bool Leaving_ = false;
  bool HasReport_ = false;
  Instant ReportedAt_{};
  /// The worker's clock in its last report, and when that came.
  std::int64_t ClockMs_ = 0;
  /// The worker's boot by its last report; empty when not known.
  std::string Boot_;
  Instant ClockAt_{};
  WorkerHealth Health_;

  /// The worker's load as far as it is known: reports lag, so it is never less
  /// than what this entry itself sent.
  std::uint32_t load(bool Fresh) const {
    return Fresh ? std::max(Busy_, InFlight_) : InFlight_;
  }

  bool reportFresh(Instant Now, Micros For) const {
    return HasReport_ && Now - ReportedAt_ <= For;
  }
};

} // namespace heathercross::request
