// The order in which waiting work gets capacity.
//
// Load: demand for a pool jumps to about five times its mean for some seconds,
// beyond what the pool holds, and most of a turn's jobs can't be in time. In
// arrival order all of them end late. What counts is the worth that a
// core-second still brings: small remaining work, a result that is worth much,
// and a good chance to end in time. Submitters' estimates are off by half, so
// the chance falls step by step while a job waits.
#pragma once

#include "schedule/job.h"

#include <compare>

namespace heathercross::schedule {

/// How pressing a job's work is.
enum class Urgency : std::uint8_t {
  /// Tasks that last and serve users all the time.
  Lasting,
  /// The objective can still be met.
  InTime,
  /// The objective is missed, but the result still has some worth.
  Late,
  /// The job is finished only because it was accepted.
  Overdue,
  /// Lasting tasks that use what others leave.
  Filler,
};

/// Sorts before what may wait longer.
struct Rank {
  Urgency Urgency_ = Urgency::InTime;
  std::uint32_t Priority_ = 0;
  /// Core-seconds that one unit of expected worth still costs.
  double Cost_ = 0;
  auto operator<=>(const Rank &) const = default;
};

/// How long a job may take for its whole worth.
Millis objective(const Job &J, const QueueSettings &Q);

/// The chance, from 0 to 1, that a job ends within its objective if it runs on
/// from now.
double chanceInTime(const Job &J, const QueueSettings &Q, Micros Age);

/// The rank of a job's work that lasts only a while. Age is how long ago the
/// job, or its occurrence, became due; MeanWork is that of the queue's jobs, in
/// core-seconds.
Rank rankOf(const Job &J, const QueueSettings &Q, Micros Age, double MeanWork);

/// Whether a job with this objective could still end while its result has
/// any worth, when so much work is ranked before it on a pool of Cores. A
/// submission that fails this is rejected at once.
bool worthAccepting(const Job &J, const QueueSettings &Q,
                    double CoreSecondsAhead, double Cores);

/// When a caller that was rejected because of an outage may come again: after
/// as long as the outage has lasted, since short outages are the most frequent
/// and a caller has few tries.
Millis returnAfterOutage(Micros Lasted);

} // namespace heathercross::schedule
