// The order in which waiting work gets capacity.
//
// Load: demand for a pool rises to about five times its mean for some seconds,
// beyond the pool's capacity, so most jobs of that peak cannot finish in time.
// In arrival order all of them would finish late. Work is therefore ordered by
// the expected value of a core-second, which is high for a small amount of
// remaining work, a valuable result and a high probability to finish in time.
// Submitters' estimates are off by up to half, so that probability falls
// gradually while a job waits.
#pragma once

#include "schedule/job.h"

#include <compare>

namespace heathercross::schedule {

/// The urgency of a step; smaller values go first.
enum class Urgency : std::uint8_t {
  /// Long-running tasks that serve users.
  LongRunning,
  /// The job can still meet its objective.
  InTime,
  /// The objective is missed, but the result still has some value.
  Late,
  /// The result has no value; the job still runs because it was accepted.
  Overdue,
  /// Best-effort tasks, which use what other tasks leave idle.
  BestEffort,
};

/// Sort key of waiting work: smaller ranks go first.
struct Rank {
  Urgency Urgency_ = Urgency::InTime;
  /// At saturation, what an account sends beyond its guaranteed rate follows
  /// the guaranteed work of all queues.
  accounts::RateShare Share_ = accounts::RateShare::Guaranteed;
  std::uint32_t Priority_ = 0;
  /// Remaining core-seconds per unit of expected value.
  double Cost_ = 0;
  auto operator<=>(const Rank &) const = default;
};

/// Returns how long a job may take for its result to have full value.
Millis objective(const Job &J, const QueueSettings &Q);

/// Returns the probability that a job meets its objective if it runs from now
/// on.
double probabilityInTime(const Job &J, const QueueSettings &Q, Micros Age);

/// Returns the rank of a job's tasks that are neither long-running nor
/// best-effort. Age is the time since the job, or its occurrence, became due;
/// MeanWork is the mean work of the queue's jobs in core-seconds.
Rank rankOf(const Job &J, const QueueSettings &Q, Micros Age, double MeanWork);

/// Whether a job can finish while its result still has value, if
/// CoreSecondsAhead of work rank before it on a pool with this many cores.
/// Submissions that cannot are rejected at once.
bool worthAccepting(const Job &J, const QueueSettings &Q,
                    double CoreSecondsAhead, double Cores);

/// Whether a job that waits this long before it starts can finish while its
/// result still has value. True for long-running and scheduled jobs.
bool endsInTime(const Job &J, const QueueSettings &Q, Micros Wait);

/// Returns the delay before a caller that was rejected during an outage may
/// retry: the duration of the outage so far, because short outages are the most
/// frequent and a caller has few retries.
Millis retryAfterOutage(Micros OutageDuration);

} // namespace heathercross::schedule
