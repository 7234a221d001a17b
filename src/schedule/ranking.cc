// The order in which waiting work gets capacity.
#include "schedule/ranking.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// A result has some worth up to this many times its objective (the users'
/// rules of credit).
constexpr int LateFactor = 3;
constexpr double MillisPerSecond = 1000.0;
/// A result's worth against the mean of its queue: a fixed part, and a part
/// that grows with the work (the users' rules of credit).
constexpr double FixedWorth = 0.3;
constexpr double WorthByWork = 0.7;
/// An estimate is between so many times the true run time (the users' sheets:
/// off by half).
constexpr double LowestEstimate = 0.5;
constexpr double HighestEstimate = 1.5;
/// Below this chance a job counts as late.
constexpr double LeastChance = 0.1;
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

double chanceInTime(const Job &J, const QueueSettings &Q, Micros Age) {
  // The objective grows with the true chain of work, which the estimates only
  // hint at. With estimates of k times the truth the job is in time for k up
  // to a bound: a long wait is only in time for a job longer than estimated.
  const Micros Waited = Age - Q.ObjectiveSlack_;
  if (Waited <= Micros(0))
    return 1;
  const double Chain = static_cast<double>(Micros(J.chain()).count());
  const double Remaining =
      static_cast<double>(Micros(J.remainingChain()).count());
  const double Bound = (Chain * Q.ObjectiveFactor_ - Remaining) /
                       static_cast<double>(Waited.count());
  return std::clamp(
      (Bound - LowestEstimate) / (HighestEstimate - LowestEstimate), 0.0, 1.0);
}

Rank rankOf(const Job &J, const QueueSettings &Q, Micros Age, double MeanWork) {
  const double Mean = MeanWork > 0 ? MeanWork : J.work();
  const double Worth = FixedWorth * Mean + WorthByWork * J.work();
  const double Chance = chanceInTime(J, Q, Age);
  Rank R{Urgency::Overdue, Q.Priority_, J.remainingWork()};
  if (Worth > 0)
    R.Cost_ /= Worth;
  if (Chance >= LeastChance) {
    R.Urgency_ = Urgency::InTime;
    R.Cost_ /= Chance;
    return R;
  }
  const Micros Objective = objective(J, Q);
  if (Age + J.remainingChain() <= Objective * LateFactor)
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
