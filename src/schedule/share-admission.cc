// Admission of jobs beyond the guaranteed rates of their accounts, and the
// delays before rejected jobs may return.
#include "schedule/share-admission.h"

#include "schedule/ranking.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

constexpr double MillisPerSecond = 1000;
/// Bounds of Retry-After, which is in whole seconds; a burst of demand lasts
/// 4.5 s.
constexpr Millis MinRetryAfter{1000};
constexpr Millis MaxRetryAfter{4000};

/// Returns how long the job may wait and still complete within its objective,
/// in seconds; negative if it can't in any case.
double slackSeconds(const Job &J, const QueueSettings &Q) {
  const Millis Slack = objective(J, Q) - J.remainingCriticalPath();
  return static_cast<double>(Slack.count()) / MillisPerSecond;
}

} // namespace

bool fitsBehindGuaranteed(const Job &J, const QueueSettings &Q,
                          const PoolLoad &L) {
  if (J.spec().longRunning() || J.spec().Repeats_ > 0)
    return true;
  // The capacity isn't known until workers have reported.
  if (L.Cores_ <= 0)
    return true;
  const double FreeCores = L.Cores_ - L.GuaranteedArriving_;
  if (FreeCores <= 0)
    return false;
  // Part of the work ahead is running and needs no further cores.
  if (L.NeededCores_ <= L.IdleCores_)
    return true;
  return L.WorkAhead_ / FreeCores <= slackSeconds(J, Q);
}

Millis retryAfterBacklog(const Job &J, const QueueSettings &Q,
                         const PoolLoad &L) {
  const double DrainedCores = L.Cores_ - L.GuaranteedArriving_;
  const double Slack = slackSeconds(J, Q);
  if (DrainedCores <= 0 || Slack < 0)
    return MaxRetryAfter;
  const double Excess = L.WorkAhead_ - Slack * L.Cores_;
  const double Wait = std::clamp(Excess / DrainedCores * MillisPerSecond,
                                 static_cast<double>(MinRetryAfter.count()),
                                 static_cast<double>(MaxRetryAfter.count()));
  return Millis(static_cast<std::int64_t>(Wait));
}

} // namespace heathercross::schedule
