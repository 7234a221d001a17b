// The order in which waiting work gets capacity.
#include "schedule/ranking.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// A result has some worth up to this many times its objective (the users'
/// rules of credit).
constexpr int LateFactor = 3;
constexpr double MillisPerSecond = 1000.0;
/// Bounds of Retry-After: it counts in seconds, and outages of the store last
/// 4 to 9 s on the users' days.
constexpr Millis ShortestReturn{1000};
constexpr Millis LongestReturn{4000};

} // namespace

Millis objective(const Job &J, const QueueSettings &Q) {
  const double Chain = static_cast<double>(J.chain().count());
  return Millis(static_cast<std::int64_t>(Chain * Q.ObjectiveFactor_)) +
         Q.ObjectiveSlack_;
}

Rank rankOf(const Job &J, const QueueSettings &Q, Micros Age) {
  const Micros End = Age + J.remainingChain();
  const Micros Objective = objective(J, Q);
  Rank R{Urgency::Overdue, Q.Priority_, J.remainingWork()};
  if (End <= Objective)
    R.Urgency_ = Urgency::InTime;
  else if (End <= Objective * LateFactor)
    R.Urgency_ = Urgency::Late;
  return R;
}

bool worthAccepting(const Job &J, const QueueSettings &Q,
                    double CoreSecondsAhead, double Cores) {
  if (J.spec().lasting() || J.spec().Repeats_ > 0)
    return true;
  if (Cores <= 0)
    return true;
  const double WaitS = CoreSecondsAhead / Cores;
  const double EndMs =
      WaitS * MillisPerSecond + static_cast<double>(J.remainingChain().count());
  return EndMs <= static_cast<double>(objective(J, Q).count()) * LateFactor;
}

Millis returnAfterOutage(Micros Lasted) {
  return std::clamp(toMillis(Lasted), ShortestReturn, LongestReturn);
}

} // namespace heathercross::schedule
