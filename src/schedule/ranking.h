// The order in which waiting work gets capacity.
//
// Load: demand for a pool jumps to about five times its mean for some seconds,
// beyond what the pool holds, and most of a turn's jobs can't be in time. In
// arrival order all of them end late. Served by least remaining work, with
// jobs whose objective can't be met any more behind those that can, the most
// jobs end in time for the processor time there is.
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
  /// Core-seconds that the job still needs.
  double RemainingWork_ = 0;
  auto operator<=>(const Rank &) const = default;
};

/// How long a job may take for its whole worth.
Millis objective(const Job &J, const QueueSettings &Q);

/// The rank of a job's work that lasts only a while. Age is how long ago the
/// job, or its occurrence, became due.
Rank rankOf(const Job &J, const QueueSettings &Q, Micros Age);

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
