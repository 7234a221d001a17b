// The order in which waiting work gets capacity.
#include "schedule/ranking.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// A result has some value until this many times its objective (the users'
/// credit rules).
constexpr int LateFactor = 3;
constexpr double MillisPerSecond = 1000.0;
/// The value of a result relative to its queue's mean work: a fixed part and a
/// part proportional to the job's work (the users' credit rules).
constexpr double FixedValue = 0.3;
constexpr double ProportionalValue = 0.7;
/// The range of an estimate, as a multiple of the true run time (the users'
/// data sheets: off by half).
constexpr double MinEstimateRatio = 0.5;
constexpr double MaxEstimateRatio = 1.5;
/// A job whose probability to finish in time is lower than this counts as late.
constexpr double MinProbability = 0.1;
/// Bounds of Retry-After, which is in whole seconds; outages of the store last
/// 4 to 9 s in the users' load days.
constexpr Millis MinRetryAfter{1000};
constexpr Millis MaxRetryAfter{4000};

} // namespace

Millis objective(const Job &J, const QueueSettings &Q) {
  const double CriticalPath = static_cast<double>(J.criticalPath().count());
  return Millis(static_cast<std::int64_t>(CriticalPath * Q.ObjectiveFactor_)) +
         Q.ObjectiveSlack_;
}

double probabilityInTime(const Job &J, const QueueSettings &Q, Micros Age) {
  // The objective depends on the true critical path, which the estimates only
  // approximate. If the estimates are k times the true times, the job is in
  // time for every k up to MaxRatio. MaxRatio falls while the job waits; below
  // 1 the job is in time only if it takes longer than estimated.
  const Micros Waited = Age - Q.ObjectiveSlack_;
  if (Waited <= Micros(0))
    return 1;
  const double CriticalPath =
      static_cast<double>(Micros(J.criticalPath()).count());
  const double Remaining =
      static_cast<double>(Micros(J.remainingCriticalPath()).count());
  const double MaxRatio = (CriticalPath * Q.ObjectiveFactor_ - Remaining) /
                          static_cast<double>(Waited.count());
  return std::clamp((MaxRatio - MinEstimateRatio) /
                        (MaxEstimateRatio - MinEstimateRatio),
                    0.0, 1.0);
}

Rank rankOf(const Job &J, const QueueSettings &Q, Micros Age, double MeanWork) {
  const double Mean = MeanWork > 0 ? MeanWork : J.work();
  const double Value = FixedValue * Mean + ProportionalValue * J.work();
  const double Probability = probabilityInTime(J, Q, Age);
  Rank R{Urgency::Overdue, J.share(), Q.Priority_, J.remainingWork()};
  if (Value > 0)
    R.Cost_ /= Value;
  if (Probability >= MinProbability) {
    R.Urgency_ = Urgency::InTime;
    R.Cost_ /= Probability;
    return R;
  }
  const Micros Objective = objective(J, Q);
  if (Age + J.remainingCriticalPath() <= Objective * LateFactor)
    R.Urgency_ = Urgency::Late;
  return R;
}

bool worthAccepting(const Job &J, const QueueSettings &Q,
                    double CoreSecondsAhead, double Cores) {
  if (J.spec().longRunning() || J.spec().Repeats_ > 0)
    return true;
  if (Cores <= 0)
    return true;
  const double WaitSeconds = CoreSecondsAhead / Cores;
  const double EndMs = WaitSeconds * MillisPerSecond +
                       static_cast<double>(J.remainingCriticalPath().count());
  return EndMs <= static_cast<double>(objective(J, Q).count()) * LateFactor;
}

bool endsInTime(const Job &J, const QueueSettings &Q, Micros Wait) {
  if (J.spec().longRunning() || J.spec().Repeats_ > 0)
    return true;
  return Wait + J.remainingCriticalPath() <= objective(J, Q) * LateFactor;
}

Millis retryAfterOutage(Micros OutageDuration) {
  return std::clamp(toMillis(OutageDuration), MinRetryAfter, MaxRetryAfter);
}

} // namespace heathercross::schedule
