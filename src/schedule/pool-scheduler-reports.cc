// What a pool's scheduler takes from the reports of workers: ended runs,
// failures and runs that are listed or missing.
#include "schedule/pool-scheduler.h"

#include <algorithm>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A worker lists at most this many ended runs in one report (platform
/// protocol).
constexpr std::size_t MaxListedEndedRuns = 500;
/// Consecutive failed runs of different jobs after which a worker is suspected.
/// Tasks on a healthy worker fail in 0.2% of runs.
constexpr std::uint32_t SuspectFailures = 3;
/// Calls that are counted on the clock of a worker's former life reach the next
/// one at most this long after its start: a holder sends such calls until a
/// renewal is answered or fails, and they arrive within MaxOrderDelay.
constexpr Millis FormerClockWindow = MaxOrderDelay + Millis(8000);
/// The times of day of a worker and of an entry differ by at most this.
constexpr Millis MaxClockStep{10'000};
/// How long a suspected worker gets no tasks. Worker faults last about 5 s.
constexpr Millis SuspectPause{5000};

/// The time since a worker has started, by the time of day.
Millis ageOf(std::int64_t Incarnation, WallTime Wall) {
  return Incarnation > 0 ? Wall - WallTime(Millis(Incarnation)) : Millis(0);
}

} // namespace

void PoolScheduler::report(const InstanceId &Id, const WorkerReport &R,
                           Instant SentAt, FenceGeneration Fence, Instant Now,
                           WallTime Wall) {
  Worker *W = findWorker(Id);
  // An answer that was overtaken may list runs that have ended since.
  if (!W || SentAt < W->ReportSentAt_)
    return;
  W->ReportSentAt_ = SentAt;
  const bool NewLife = W->Incarnation_ != R.Incarnation_;
  updateIncarnation(*W, R.Incarnation_);
  W->ConfirmedFence_ = std::max(W->ConfirmedFence_, Fence);
  // Until it confirmed the fence, a new incarnation may have taken leases that
  // this holder or an earlier one counted on the clock of the former one. They
  // are in its far future, and it cuts them to the longest that it grants.
  if (W->Restarted_)
    W->leaseGranted(Now, MaxLease_, MaxLease_);
  else if (NewLife)
    W->leaseGranted(Now,
                    std::clamp(FormerClockWindow + MaxClockStep + MaxLease_ -
                                   ageOf(R.Incarnation_, Wall),
                               RequestedLease_, MaxLease_),
                    MaxLease_);
  W->Restarted_ = W->Restarted_ && !W->fenceConfirmed();
  if (W->UnresponsiveSince_)
    logDecision(
        "worker-back", {}, 0, Id,
        "silent_ms=" +
            std::to_string(toMillis(Now - *W->UnresponsiveSince_).count()));
  W->UnresponsiveSince_.reset();
  for (const EndReport &E : R.Ended_)
    if (E.Sequence_ > W->LastEnd_) {
      handleEnd(*W, E, Now);
      W->LastEnd_ = E.Sequence_;
    }
  for (const RunningReport &Running : R.Running_)
    handleRunning(*W, Running, Fence, Now);
  if (R.Ended_.size() < MaxListedEndedRuns && W->fenceConfirmed())
    releaseUnlisted(*W, R, SentAt, Fence);
  stopStuckRuns(*W, Now);
  observeInterference(*W, Now);
  Awaited_.erase(Id);
}

void PoolScheduler::completeTask(Job &J, const TaskKey &Key) {
  const bool Gang = J.spec().Steps_[Key.Step_].Gang_;
  if (Gang)
    for (std::uint32_t I = 0; I < J.spec().Steps_[Key.Step_].Count_; ++I)
      J.finishTask({Key.Job_, Key.Occurrence_, Key.Step_, I});
  else {
    stopOtherRuns(J, Key);
    J.finishTask(Key);
  }
  Changed_.insert(J.id());
  if (J.state() == JobState::Complete) {
    Open_.erase(J.id());
    Advice_.forget(J.id());
    logDecision("job-complete", Key, 0, {}, "");
  }
}

void PoolScheduler::handleFailure(Worker &W, Job &J, const TaskKey &Key,
                                  Attempt A, Instant Now) {
  TaskState *T = J.openTask(Key);
  // The task may go on elsewhere if its step allows copies.
  const bool GoesOn = T && T->Phase_ == TaskPhase::Placed &&
                      J.spec().Steps_[Key.Step_].Speculative_;
  if (T && !GoesOn)
    T->Worker_ = W.info().Id_;
  if (W.LastFailedJob_ != J.id())
    ++W.ConsecutiveFailures_;
  W.LastFailedJob_ = J.id();
  if (W.ConsecutiveFailures_ >= SuspectFailures) {
    W.PausedUntil_ = Now + SuspectPause;
    // After the pause, a single further failure suspects the worker again.
    W.ConsecutiveFailures_ = SuspectFailures - 1;
    logDecision("worker-suspected", Key, A, W.info().Id_, "fails-in-a-row");
  }
  const StepSpec &S = J.spec().Steps_[Key.Step_];
  if (!T || S.LongRunning_ || isFinal(J.state()))
    return;
  // A worker lists a failure again if an earlier holder stored it but its
  // acknowledgement was lost.
  if (std::ranges::find(T->FailedAttempts_, A) != T->FailedAttempts_.end() ||
      T->Failures_ >= MaxRecordedFailures)
    return;
  T->FailedAttempts_.push_back(A);
  ++T->Failures_;
  Changed_.insert(J.id());
  std::uint32_t Failures = T->Failures_;
  if (S.Gang_) {
    const StepState &Gang = J.step(Key.Occurrence_, Key.Step_);
    Failures = 0;
    for (std::uint32_t I = 0; I < Gang.count(); ++I)
      Failures += Gang.task(I).Failures_;
  }
  if (Failures < settings(J.queue()).MaxFailures_)
    return;
  logDecision("job-failed", Key, T->Attempt_, W.info().Id_,
              "failures=" + std::to_string(Failures));
  endJob(J, JobState::Failed);
}

void PoolScheduler::markSeen(Job &J, const TaskKey &Key, Attempt A) {
  if (J.state() == JobState::Queued)
    J.setState(JobState::Active);
  TaskState *T = J.openTask(Key);
  if (!T)
    return;
  T->Attempt_ = std::max(T->Attempt_, A);
  T->SeenAttempt_ = std::max(T->SeenAttempt_, A);
}

void PoolScheduler::saveCheckpoint(Job &J, const TaskKey &Key,
                                   const std::string &Checkpoint) {
  TaskState *T = Checkpoint.empty() ? nullptr : J.openTask(Key);
  if (T)
    T->Checkpoint_ = Checkpoint;
}

void PoolScheduler::handleEnd(Worker &W, const EndReport &E, Instant Now) {
  Job *J = findJob(E.Task_.Job_);
  const Run *R = W.find(E.Task_);
  const bool Present = R && R->Attempt_ == E.Attempt_;
  if (!J || !J->has(E.Task_)) {
    if (Present)
      removeRun(W, E.Task_);
    return;
  }
  markSeen(*J, E.Task_, E.Attempt_);
  saveCheckpoint(*J, E.Task_, E.Checkpoint_);
  switch (E.End_) {
  case RunEnd::Done:
    W.ConsecutiveFailures_ = 0;
    if (Present) {
      learnRunTime(W, *J, E.Task_, *R, Now);
      removeRun(W, E.Task_);
    }
    if (J->task(E.Task_).CopyAttempt_ == E.Attempt_)
      logDecision("copy-won", E.Task_, E.Attempt_, W.info().Id_, "");
    if (J->spec().Steps_[E.Task_.Step_].LongRunning_) {
      if (J->task(E.Task_).Phase_ == TaskPhase::Placed && Present)
        J->setPhase(E.Task_, TaskPhase::Waiting);
      return;
    }
    completeTask(*J, E.Task_);
    return;
  case RunEnd::Failed:
    if (Present)
      release(W, E.Task_, "failed");
    handleFailure(W, *J, E.Task_, E.Attempt_, Now);
    return;
  case RunEnd::Stopped:
    if (Present)
      release(W, E.Task_, "stopped");
    return;
  case RunEnd::LeaseExpired:
    if (Present)
      release(W, E.Task_, "lease-expired");
    return;
  case RunEnd::GangBroken:
  case RunEnd::GangIncomplete:
    if (Present)
      release(W, E.Task_, "gang-ended");
    return;
  }
}

void PoolScheduler::logLateStart(const TaskState &T, const RunningReport &R,
                                 const Worker &W, Instant Now) {
  if (T.Attempt_ < R.Attempt_ || T.OrderedAt_ == Instant())
    return;
  const auto Age = toMillis(Now - T.OrderedAt_).count();
  logDecision("start-late", R.Task_, R.Attempt_, W.info().Id_,
              "last_order_ms=" + std::to_string(Age) + " last_attempt=" +
                  std::to_string(T.Attempt_) + " released=" + T.ReleaseCause_);
}

void PoolScheduler::handleRunning(Worker &W, const RunningReport &R,
                                  FenceGeneration Fence, Instant Now) {
  if (Run *Known = W.find(R.Task_); Known && Known->Attempt_ == R.Attempt_) {
    const bool StopVoid = !Known->StopInFlight_ && !Known->StopAcceptedAt_ &&
                          Known->StopFence_ && *Known->StopFence_ < Fence;
    if (Known->StopForMove_ && StopVoid)
      Known->StopWanted_ = Known->StopForMove_ = false;
    if (Known->Phase_ != RunPhase::Working) {
      Known->Phase_ = RunPhase::Working;
      Known->ConfirmedAt_ = Now;
    }
    Known->LeaseKnown_ = Known->LeaseKnown_ || W.fenceConfirmed();
    if (Known->Percent_ != R.Percent_ || Known->LastProgress_ == Instant())
      Known->LastProgress_ = Now;
    Known->Percent_ = R.Percent_;
    Known->Load_ = R.Load_;
    if (Job *J = findJob(R.Task_.Job_); J && J->has(R.Task_)) {
      markSeen(*J, R.Task_, R.Attempt_);
      saveCheckpoint(*J, R.Task_, R.Checkpoint_);
    }
    return;
  }
  // A run that this holder does not know: one of an earlier holder, or an
  // unanswered order that was carried out late.
  Job *J = findJob(R.Task_.Job_);
  Run NewRun;
  if (J && J->has(R.Task_))
    NewRun = plannedRun(*J, R.Task_.Step_);
  else
    NewRun.Reserved_ = W.info().Capacity_;
  NewRun.Attempt_ = R.Attempt_;
  NewRun.Phase_ = RunPhase::Working;
  NewRun.LeaseKnown_ = true;
  NewRun.ConfirmedAt_ = Now;
  NewRun.LastProgress_ = Now;
  NewRun.Percent_ = R.Percent_;
  NewRun.Load_ = R.Load_;
  if (J && J->has(R.Task_)) {
    logLateStart(J->task(R.Task_), R, W, Now);
    markSeen(*J, R.Task_, R.Attempt_);
  }
  if (const Run *Other = W.find(R.Task_)) {
    raiseFence(W, Other->Fence_);
    recordUnresolved(W, R.Task_, *Other);
    release(W, R.Task_, "other-attempt-listed");
  }
  if (J && J->has(R.Task_) && !isFinal(J->state())) {
    TaskState *T = J->openTask(R.Task_);
    if (T && T->Phase_ == TaskPhase::Waiting && T->UnwantedRuns_ == 0) {
      J->setPhase(R.Task_, TaskPhase::Placed);
      T->RunAttempt_ = R.Attempt_;
      T->Worker_ = W.info().Id_;
      NewRun.ThrottleKnown_ = false;
      W.add(R.Task_, NewRun);
      logDecision("run-adopted", R.Task_, R.Attempt_, W.info().Id_, "");
      return;
    }
    if (T && adoptsCopy(*J, R.Task_, W, Now)) {
      T->CopyWorker_ = W.info().Id_;
      T->CopyAttempt_ = R.Attempt_;
      T->Copied_ = true;
      W.add(R.Task_, NewRun);
      logDecision("run-adopted", R.Task_, R.Attempt_, W.info().Id_, "copy");
      return;
    }
  }
  stopRun(W, NewRun);
  if (TaskState *T = J && J->has(R.Task_) ? J->openTask(R.Task_) : nullptr) {
    NewRun.Unwanted_ = true;
    ++T->UnwantedRuns_;
  }
  W.add(R.Task_, NewRun);
  logDecision("run-unwanted", R.Task_, R.Attempt_, W.info().Id_,
              J ? "another run or an ended job" : "unknown job");
}

void PoolScheduler::releaseUnlisted(Worker &W, const WorkerReport &R,
                                    Instant SentAt, FenceGeneration Fence) {
  std::set<std::pair<TaskKey, Attempt>> Listed;
  for (const RunningReport &Running : R.Running_)
    Listed.emplace(Running.Task_, Running.Attempt_);
  std::vector<TaskKey> Absent;
  std::vector<TaskKey> Unresolved;
  for (const auto &[Key, Run] : W.runs()) {
    if (Listed.contains({Key, Run.Attempt_}))
      continue;
    const bool Working =
        Run.Phase_ == RunPhase::Working && Run.ConfirmedAt_ < SentAt;
    const bool Stopped = Run.StopAcceptedAt_ && *Run.StopAcceptedAt_ < SentAt;
    if (Run.Phase_ == RunPhase::Void)
      continue;
    if (Run.Phase_ != RunPhase::Working && Run.Fence_ < Fence)
      Unresolved.push_back(Key);
    else if (Working || Stopped)
      Absent.push_back(Key);
  }
  for (const TaskKey &Key : Absent)
    release(W, Key, "not-listed");
  for (const TaskKey &Key : Unresolved) {
    Run &Refused = *W.find(Key);
    Refused.Phase_ = RunPhase::Void;
    W.Unsettled_ = true;
    recordUnresolved(W, Key, Refused);
  }
}

} // namespace heathercross::schedule
