// A round of a pool's scheduler: which tasks to stop, move and throttle.
#include "schedule/pool-scheduler.h"

#include <algorithm>
#include <optional>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A task whose progress is unchanged for this long is stuck; a healthy worker
/// reports progress about once a second.
constexpr Millis StuckAfter{3000};
/// A worker with a stuck task gets no tasks for this long.
constexpr Millis StuckPause{4000};
/// Workers answer an order in a few milliseconds, but a busy entry takes up to
/// 0.25 s to read the answer.
constexpr Millis OrderTimeout{300};
/// Best-effort tasks are throttled while the latency exceeds
/// ThrottleAboveShare of its goal, and sped up again below SpeedUpBelowShare.
constexpr double ThrottleAboveShare = 0.8;
constexpr double SpeedUpBelowShare = 0.55;
/// Time for a changed throttle to take effect: the load figure covers 0.5 s.
constexpr Millis ThrottleInterval{700};
constexpr std::uint32_t ThrottleStepPercent = 25;
constexpr std::uint32_t FullPercent = 100;
/// The percentage that a long-running task reports when it is fully working.
constexpr std::uint32_t FullyWorkingPercent = 100;

} // namespace

Orders PoolScheduler::step(Instant Now, WallTime Wall) {
  Orders Out;
  NeedAdvice_.clear();
  refreshWorkers(Now);
  moveLongRunning(Now);
  orderStops(Now, Out);
  orderThrottles(Now, Out);
  updateInterference(Now);
  repeatStarts(Now, Out);
  orderStarts(Now, Wall, Out);
  orderCopies(Now, Wall, Out);
  return Out;
}

void PoolScheduler::refreshWorkers(Instant Now) {
  std::vector<InstanceId> Removed;
  Unanswered_ = 0;
  for (auto &[Id, W] : Workers_) {
    bool Overdue = false;
    if (std::exchange(W.Unsettled_, false))
      for (const auto &[Key, R] : W.runs()) {
        W.Unsettled_ = W.Unsettled_ || R.unsettled();
        if (R.Phase_ != RunPhase::Ordered)
          continue;
        ++Unanswered_;
        Overdue = Overdue || Now - R.OrderedAt_ > OrderTimeout;
      }
    if (std::exchange(W.AnswerOverdue_, Overdue) != Overdue)
      logDecision(Overdue ? "worker-answers-late" : "worker-answers", {}, 0, Id,
                  "runs=" + std::to_string(W.runs().size()));
    releaseExpired(W, Now);
    const auto Await = Awaited_.find(Id);
    const bool Awaited = Await != Awaited_.end() && Now < Await->second;
    if (!W.Registered_ && !W.isBusy(Now) && !Awaited &&
        !W.mayStartLate(W.LateStartsEnd_, Now, MaxLease_))
      Removed.push_back(Id);
  }
  for (const InstanceId &Id : Removed)
    eraseWorker(Id, "");
}

void PoolScheduler::stopStuckRuns(Worker &W, Instant Now) {
  // Runs of a former incarnation are kept until the fence is confirmed.
  if (!W.fenceConfirmed())
    return;
  std::vector<TaskKey> Stuck;
  for (const auto &[Key, R] : W.runs()) {
    const Job *J = find(Key.Job_);
    if (!J || !J->has(Key) || R.StopWanted_ || R.Phase_ != RunPhase::Working)
      continue;
    const StepSpec &S = J->spec().Steps_[Key.Step_];
    if (!S.LongRunning_ && !S.Gang_ && Now - R.LastProgress_ > StuckAfter)
      Stuck.push_back(Key);
  }
  for (const TaskKey &Key : Stuck) {
    Run &R = *W.find(Key);
    stopRun(W, R);
    W.PausedUntil_ = Now + StuckPause;
    if (TaskState *T = findJob(Key.Job_)->openTask(Key); T && !T->CopyAttempt_)
      T->Worker_ = W.info().Id_;
    logDecision("run-stuck", Key, R.Attempt_, W.info().Id_,
                "percent=" + std::to_string(R.Percent_));
  }
}

std::uint32_t PoolScheduler::unavailableTasks(const Job &J,
                                              std::uint32_t OccurrenceIndex,
                                              std::uint32_t Step) const {
  const StepState &State = J.step(OccurrenceIndex, Step);
  std::uint32_t Unavailable = 0;
  for (std::uint32_t I = 0; I < State.count(); ++I) {
    const TaskKey Key{J.id(), OccurrenceIndex, Step, I};
    const TaskState &T = State.task(I);
    const auto It = Workers_.find(T.Worker_);
    if (T.Phase_ != TaskPhase::Placed || It == Workers_.end()) {
      ++Unavailable;
      continue;
    }
    const auto R = It->second.runs().find(Key);
    const bool FullyWorking = R != It->second.runs().end() &&
                              R->second.Percent_ >= FullyWorkingPercent &&
                              !R->second.StopWanted_ &&
                              !It->second.UnresponsiveSince_;
    Unavailable += FullyWorking ? 0 : 1;
  }
  return Unavailable;
}

bool PoolScheduler::isBeingMoved(const Job &J, std::uint32_t OccurrenceIndex,
                                 std::uint32_t Step) const {
  const StepState &State = J.step(OccurrenceIndex, Step);
  for (std::uint32_t I = 0; I < State.count(); ++I) {
    const auto It = Workers_.find(State.task(I).Worker_);
    if (It == Workers_.end() || It->second.info().Draining_ ||
        It->second.UnresponsiveSince_)
      continue;
    const auto R = It->second.runs().find({J.id(), OccurrenceIndex, Step, I});
    if (R != It->second.runs().end() && R->second.StopForMove_)
      return true;
  }
  return false;
}

void PoolScheduler::moveLongRunning(Instant Now) {
  std::optional<std::vector<Worker *>> Available;
  for (auto &[Id, W] : Workers_) {
    const bool Draining = W.info().Draining_;
    if (W.longRunningRuns() == 0 || (!Draining && W.EvacuateUntil_ <= Now))
      continue;
    if (!Available)
      Available = availableWorkers(Now);
    for (auto &[Key, R] : W.runs()) {
      if (!R.LongRunning_ || R.StopWanted_ || R.Phase_ != RunPhase::Working)
        continue;
      const Job *J = find(Key.Job_);
      if (!J || !J->has(Key))
        continue;
      const StepSpec &S = J->spec().Steps_[Key.Step_];
      const std::uint32_t Unavailable =
          unavailableTasks(*J, Key.Occurrence_, Key.Step_);
      const std::uint32_t Limit = std::max(1U, S.MaxUnavailable_);
      // The tasks of a draining worker end with it in any case, but if they end
      // before a stop elsewhere takes effect, that one exceeds the limit.
      if (Unavailable >= Limit &&
          (!Draining || isBeingMoved(*J, Key.Occurrence_, Key.Step_)))
        continue;
      const ReadyStep Step{{}, J, Key.Occurrence_, Key.Step_};
      if (!choose(candidates(*J, Step, *Available, Now),
                  request(*J, Step, J->task(Key), Now))) {
        NeedAdvice_.insert(Key);
        continue;
      }
      stopRun(W, R);
      R.StopForMove_ = true;
      logDecision("run-moved", Key, R.Attempt_, Id,
                  std::string(Draining ? "worker-draining" : "worker-vacated") +
                      " away=" + std::to_string(Unavailable));
    }
  }
}

void PoolScheduler::orderStops(Instant Now, Orders &Out) {
  for (auto &[Id, W] : Workers_) {
    if (!W.Unsettled_ || !W.fenceConfirmed())
      continue;
    for (auto &[Key, R] : W.runs()) {
      if (!R.StopWanted_ || R.StopInFlight_ || R.StopAcceptedAt_ ||
          Now < R.NextStopAt_ || R.Phase_ != RunPhase::Working)
        continue;
      R.StopInFlight_ = true;
      R.StopFence_ = W.Fence_;
      Out.Stops_.push_back({Id, Key, R.Attempt_, W.Fence_});
    }
  }
}

void PoolScheduler::orderThrottles(Instant Now, Orders &Out) {
  for (auto &[Id, W] : Workers_) {
    if (W.bestEffortRuns() == 0 || !W.fenceConfirmed())
      continue;
    double MaxLatencyShare = 0;
    for (const auto &[Key, R] : W.runs())
      if (R.Phase_ == RunPhase::Working && R.LatencyGoal_.count() > 0)
        MaxLatencyShare = std::max(
            MaxLatencyShare, static_cast<double>(R.Load_) /
                                 static_cast<double>(R.LatencyGoal_.count()));
    for (auto &[Key, R] : W.runs()) {
      if (!R.BestEffort_ || R.StopWanted_ || R.Phase_ != RunPhase::Working ||
          Now - R.ThrottleChangedAt_ < ThrottleInterval)
        continue;
      std::uint32_t Percent = R.WorkPercent_;
      if (MaxLatencyShare > 1)
        Percent = 0;
      else if (MaxLatencyShare > ThrottleAboveShare)
        Percent = Percent > 2 * ThrottleStepPercent ? Percent / 2 : 0;
      else if (MaxLatencyShare < SpeedUpBelowShare)
        Percent = std::min(FullPercent, Percent + ThrottleStepPercent);
      if (Percent == R.WorkPercent_ && R.ThrottleKnown_)
        continue;
      R.WorkPercent_ = Percent;
      R.ThrottleKnown_ = true;
      R.ThrottleChangedAt_ = Now;
      Out.Throttles_.push_back({Id, Key, R.Attempt_, Percent, W.Fence_});
    }
  }
}

} // namespace heathercross::schedule
