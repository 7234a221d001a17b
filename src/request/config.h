// Configuration of the request logic: limits, shares and timings.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstddef>
#include <cstdint>

namespace heathercross::request {

/// How a worker is chosen among those that may serve a request.
enum class PickerPolicy : std::uint8_t {
  /// Any worker on which this entry has fewer requests in flight than the slots
  /// it may use.
  Random,
  /// The worker with the fewest requests of this entry.
  LeastLoaded,
  /// Slots that belong to this entry first; others only where a fresh report
  /// shows free slots.
  SharedSlots,
};

/// Timings of the claim protocol.
struct ClaimTimings {
  /// A claim that isn't confirmed within this time is answered "not run".
  Micros ConfirmTimeout_ = Millis(3000);
  /// Delay before a table call that got no answer is repeated.
  Micros TableRetryDelay_ = Millis(50);
  /// How long the claim of another attempt may stay open before it is fenced.
  Micros GracePeriod_ = Millis(150);
  /// Interval at which a worker that still runs the attempt is asked again.
  Micros PollInterval_ = Millis(50);
  /// Part of the window reserved for fencing after a lost answer.
  Micros FenceReserve_ = Millis(200);
};

/// Limits for avoiding workers on which requests fail.
struct HealthLimits {
  /// Number of distinct requests that have to fail in a row.
  std::uint32_t FailuresInRow_ = 3;
  /// Initial time for which a worker is avoided; doubles with each failed probe
  /// up to AvoidMax_.
  Micros AvoidInitial_ = Millis(1000);
  Micros AvoidMax_ = Millis(30'000);
  /// Initial time for which an unreachable worker is avoided; doubles up to
  /// UnreachableMax_. Callers can't cause this, so MaxAvoidedShare_ doesn't
  /// apply.
  Micros UnreachableInitial_ = Millis(100);
  Micros UnreachableMax_ = Millis(2000);
  /// Maximum fraction of a pool that may be avoided at a time.
  double MaxAvoidedShare_ = 0.3;
  /// Number of distinct workers on which a team or body has to fail in a row to
  /// count as the cause.
  std::uint32_t PoisonThreshold_ = 3;
};

/// Configuration of a Dispatcher.
struct Config {
  EntryId Entry_;
  ZoneId Zone_;
  /// Seeds all pseudo-random choices and is part of each attempt id, so it has
  /// to differ between two starts of the same entry.
  std::uint64_t Seed_ = 1;
  PickerPolicy Policy_ = PickerPolicy::SharedSlots;
  /// Whether requests may use idle slots of the spare pool.
  bool Overflow_ = true;
  /// Maximum number of requests that wait for one pool.
  std::size_t QueueLimit_ = 512;
  /// Maximum number of open requests.
  std::size_t OpenLimit_ = 16'384;
  /// Retries allowed per first try, and the maximum that can accumulate.
  double RetryShare_ = 0.1;
  double RetryBurst_ = 10.0;
  /// Delay before a retry is attempted again when the retry budget is empty.
  Micros RetryDelay_ = Millis(20);
  /// Fraction of each spare worker's slots that overflow has to leave free.
  double SpareReserve_ = 0.25;
  /// Fraction of a worker's slots in another zone that this entry may use while
  /// its own zone is full, and while its own zone has no worker at all.
  double FullZoneShare_ = 0.25;
  double LostZoneShare_ = 0.5;
  /// Maximum age of a worker's report for borrowing free slots.
  Micros ReportMaxAge_ = Millis(500);
  /// Connections that a worker accepts from all entries together.
  std::uint32_t WorkerConnections_ = 64;
  ClaimTimings Claim_;
  HealthLimits Health_;
};

} // namespace heathercross::request
