// How a pool's scheduler learns from reports which images interfere, and what
// that means for placement.
#include "schedule/pool-scheduler.h"

#include <algorithm>
#include <cmath>

namespace heathercross::schedule {

namespace {

/// The percentage that a long-running task reports when it is fully working.
constexpr std::uint32_t FullyWorkingPercent = 100;
/// Activity of a worker that hasn't reported for this long is dropped.
constexpr Millis ActivityLifetime{5000};

/// The part of its work that a run does now.
double activityOf(const Run &R) {
  constexpr double FullPercent = 100;
  return R.BestEffort_ ? static_cast<double>(R.WorkPercent_) / FullPercent : 1;
}

/// Whether the run's figure is the tail latency of a serving task. A task that
/// isn't fully working, or has no requests, has no such figure.
bool hasTailLatency(const Run &R) {
  return R.LongRunning_ && R.LatencyGoal_.count() > 0 && !R.Image_.empty() &&
         R.Phase_ == RunPhase::Working && R.Load_ > 0 &&
         R.Percent_ >= FullyWorkingPercent;
}

ImageActivity currentActivity(const Worker &W) {
  ImageActivity Activity;
  for (const auto &[Key, R] : W.runs())
    if (R.Phase_ == RunPhase::Working && !R.Image_.empty())
      Activity[R.Image_] += activityOf(R);
  return Activity;
}

std::string describe(const InterferenceChange &C) {
  const auto Percent = [](double Share) {
    constexpr double PercentPerUnit = 100;
    return std::to_string(std::lround(Share * PercentPerUnit));
  };
  return "image=" + C.Pair_.Observed_ + " neighbour=" + C.Pair_.Neighbour_ +
         " with_percent=" + Percent(C.Effect_.TailWith_) +
         " without_percent=" + Percent(C.Effect_.TailWithout_);
}

} // namespace

void PoolScheduler::observeInterference(const Worker &W, Instant Now) {
  const auto Observed = [](const auto &Entry) {
    return hasTailLatency(Entry.second);
  };
  if (W.images().empty() || W.longRunningRuns() == 0 || !W.fenceConfirmed())
    return;
  if (const auto It = Activity_.find(W.info().Id_);
      It != Activity_.end() && !It->second.recordDue(Now))
    return;
  if (std::ranges::none_of(W.runs(), Observed))
    return;
  ActivityHistory &History = Activity_[W.info().Id_];
  History.record(currentActivity(W), Now);
  if (!History.observationDue(Now))
    return;
  History.observed(Now);
  const ImageActivity All = History.mean(Now);
  for (const auto &[Key, R] : W.runs()) {
    // The figure of a task that began within the window covers a part of it
    // only.
    if (!hasTailLatency(R) || Now - R.ConfirmedAt_ < ActivityHistory::Window)
      continue;
    ImageActivity Others = All;
    if (const auto Own = Others.find(R.Image_); Own != Others.end())
      Own->second = std::max(0.0, Own->second - activityOf(R));
    Interference_.observe(R.Image_,
                          static_cast<double>(R.Load_) /
                              static_cast<double>(R.LatencyGoal_.count()),
                          Others, Now);
  }
}

void PoolScheduler::updateInterference(Instant Now) {
  if (Activity_.empty() && !Interference_.anyKnown())
    return;
  Interference_.expire(Now);
  std::erase_if(Activity_, [&](const auto &Entry) {
    return Now - Entry.second.lastRecorded() > ActivityLifetime;
  });
  for (const InterferenceChange &C : Interference_.takeChanges())
    logDecision(C.Known_ ? "interference-known" : "interference-ended", {}, 0,
                {}, describe(C));
}

InterferenceCost PoolScheduler::interferenceOn(const Worker &W,
                                               const StepSpec &S) const {
  if (S.Image_.empty() || !Interference_.anyKnown())
    return {};
  const InterferenceCost Cost = Interference_.cost(S.Image_, W.images());
  if (S.BestEffort_)
    return Cost;
  return {std::min(1U, Cost.Percent_), false};
}

void PoolScheduler::countStart(const std::vector<Candidate> &Places,
                               const Candidate &Chosen, const StepSpec &S,
                               bool StallingLeftOut) {
  if (S.Image_.empty() || !Interference_.anyKnown())
    return;
  if (Chosen.Interference_.Percent_ > 0) {
    ++Interference_.Starts_.Beside_;
    return;
  }
  const Resources Needed = S.reserved();
  const bool Avoided =
      StallingLeftOut || std::ranges::any_of(Places, [&](const Candidate &C) {
        return C.Interference_.Percent_ > 0 && Needed.fits(C.Worker_->free());
      });
  Interference_.Starts_.Avoided_ += Avoided ? 1 : 0;
}

} // namespace heathercross::schedule
