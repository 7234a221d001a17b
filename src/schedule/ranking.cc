// The order in which waiting work gets capacity.
#include "schedule/ranking.h"

namespace heathercross::schedule {

namespace {

/// A result has some worth up to this many times its objective (the users'
/// rules of credit).
constexpr int LateFactor = 3;
constexpr double MillisPerSecond = 1000.0;

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

} // namespace heathercross::schedule
