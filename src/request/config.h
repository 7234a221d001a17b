// What the request decisions can be told: limits, shares and timings.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstddef>
#include <cstdint>

namespace heathercross::request {

/// How a worker is chosen among those that may serve a request.
enum class PickerPolicy : std::uint8_t {
  /// Any worker that has room by the entry's own view.
  Random,
  /// The worker with the fewest requests of this entry.
  LeastLoaded,
  /// The entry's own division of each worker's slots first, beyond it only
  /// where a fresh report shows free slots.
  SharedSlots,
};

/// The timings of the claim protocol.
struct ClaimTimings {
  /// How long a claim may take to be confirmed before the answer is "not run".
  Micros ConfirmWithin_ = Millis(3000);
  /// The pause before a table call that got no answer is repeated.
  Micros TableRetry_ = Millis(50);
  /// How long a claim of another attempt is left alone before it is fenced.
  Micros Grace_ = Millis(150);
  /// The pause between two questions to a worker that is still running.
  Micros Poll_ = Millis(50);
  /// The part of the window kept for a fence after an answer got lost.
  Micros FenceReserve_ = Millis(200);
};

/// When a worker is avoided because requests fail on it.
struct HealthLimits {
  /// Distinct requests that have to fail in a row.
  std::uint32_t FailuresInRow_ = 3;
  /// The first time for which a worker is avoided; doubles with each failed
  /// probe.
  Micros AvoidFirst_ = Millis(1000);
  Micros AvoidMost_ = Millis(30'000);
  /// The first time for which a worker is left alone that couldn't be reached;
  /// doubles likewise. Callers can't cause it, so it isn't bounded to a part
  /// of the pool.
  Micros UnreachableFirst_ = Millis(100);
  Micros UnreachableMost_ = Millis(2000);
  /// The largest part of a pool that may be avoided at a time.
  double MostOfPool_ = 0.3;
  /// Distinct workers on which a caller has to fail in a row to be taken for
  /// the cause itself.
  std::uint32_t WorkersOfPoison_ = 3;
};

/// The settings of the request decisions.
struct Config {
  EntryId Entry_;
  ZoneId Zone_;
  /// The start of all pseudo-random choices, and a part of each attempt id: it
  /// has to differ between two starts of the same entry.
  std::uint64_t Seed_ = 1;
  PickerPolicy Policy_ = PickerPolicy::SharedSlots;
  /// Whether work may use the spare pool's idle slots.
  bool Overflow_ = true;
  /// Requests that may wait for one pool.
  std::size_t QueueLimit_ = 512;
  /// Requests that may be open in all.
  std::size_t OpenLimit_ = 16'384;
  /// Retries allowed for each first try, and the most that can be saved up.
  double RetryShare_ = 0.1;
  double RetryBurst_ = 10.0;
  /// The pause before a refused request is placed again without a budget.
  Micros RetryPause_ = Millis(20);
  /// The part of each spare worker that overflow leaves to its own users.
  double SpareReserve_ = 0.25;
  /// The part of a worker of another zone that this entry may use while its
  /// own zone is full, and while its own zone has no worker at all.
  double FullZoneShare_ = 0.25;
  double LostZoneShare_ = 0.5;
  /// How long a worker's report says something of its free slots.
  Micros ReportFresh_ = Millis(500);
  /// Connections that a worker takes from all entries.
  std::uint32_t WorkerConnections_ = 64;
  ClaimTimings Claim_;
  HealthLimits Health_;
};

} // namespace heathercross::request
