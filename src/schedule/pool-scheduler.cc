// The events of a pool's scheduler.
#include "schedule/pool-scheduler.h"

#include <algorithm>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A worker lists at most so many ends at once (the platform's protocol).
constexpr std::size_t MaxListedEnds = 500;
/// Failed runs in a row, of different jobs, after which a worker is suspected:
/// single tasks fail by themselves in 0.2% of runs.
constexpr std::uint32_t SuspectFailures = 3;
/// How long a suspected worker gets nothing. Troubles last about 5 s.
constexpr Millis SuspectPause{5000};
/// How long a worker gets nothing after it refused for its own reasons.
constexpr Millis RefusalPause{300};
/// Until an order to stop without an answer is repeated.
constexpr Millis StopRetry{200};
/// How long a report may take that shows whether an order without an answer
/// was carried out: renewals end within 0.7 s.
constexpr Millis UnseenPatience{900};

constexpr std::size_t MaxDecisionsKept = 4096;

} // namespace

void PoolScheduler::note(const char *Kind, const TaskKey &Key, Attempt A,
                         const InstanceId &Worker, std::string Cause) {
  if (Log_.size() < MaxDecisionsKept)
    Log_.push_back({Kind, Key, A, Worker, std::move(Cause)});
}

void PoolScheduler::setQueues(const std::map<QueueId, QueueSettings> &Queues) {
  // A queue that is gone from the configuration keeps its rules for the jobs
  // that it accepted.
  for (const auto &[Id, Settings] : Queues)
    Queues_[Id] = Settings;
}

const QueueSettings &PoolScheduler::settings(const QueueId &Queue) const {
  static const QueueSettings None;
  const auto It = Queues_.find(Queue);
  return It == Queues_.end() ? None : It->second;
}

void PoolScheduler::setWorker(const WorkerInfo &Info) {
  const auto [It, New] = Workers_.try_emplace(Info.Id_, Info);
  It->second.setInfo(Info);
  It->second.Registered_ = true;
  Largest_.CpuMilli_ = std::max(Largest_.CpuMilli_, Info.Capacity_.CpuMilli_);
  Largest_.MemoryMb_ = std::max(Largest_.MemoryMb_, Info.Capacity_.MemoryMb_);
  Largest_.Gpus_ = std::max(Largest_.Gpus_, Info.Capacity_.Gpus_);
}

void PoolScheduler::removeWorker(const InstanceId &Id) {
  if (Worker *W = findWorker(Id))
    W->Registered_ = false;
}

void PoolScheduler::setRostered(const InstanceId &Id, bool Rostered) {
  if (Worker *W = findWorker(Id))
    W->Rostered_ = Rostered;
}

void PoolScheduler::instanceEnded(const InstanceId &Id) {
  Awaited_.erase(Id);
  Worker *W = findWorker(Id);
  if (!W)
    return;
  loseRuns(*W, "instance-ended");
  note("worker-gone", {}, 0, Id, "instance-ended");
  Workers_.erase(Id);
}

bool PoolScheduler::everFits(const StepSpec &S) const {
  return Largest_ == Resources() || S.reserved().fits(Largest_);
}

Job *PoolScheduler::findJob(const JobId &Id) {
  const auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : &It->second;
}

const Job *PoolScheduler::find(const JobId &Id) const {
  const auto It = Jobs_.find(Id);
  return It == Jobs_.end() ? nullptr : &It->second;
}

Worker *PoolScheduler::findWorker(const InstanceId &Id) {
  const auto It = Workers_.find(Id);
  return It == Workers_.end() ? nullptr : &It->second;
}

void PoolScheduler::admit(Job J) {
  const JobId Id = J.id();
  if (!isFinal(J.state()))
    Open_.insert(Id);
  Jobs_.insert_or_assign(Id, std::move(J));
}

void PoolScheduler::restore(Job J, Attempt FirstAttempt) {
  for (Occurrence &O : J.occurrences())
    for (StepState &S : O.Steps_)
      for (TaskState &T : S.Tasks_)
        T.Floor_ = std::max(T.Floor_, FirstAttempt);
  Restored_.insert(J.id());
  admit(std::move(J));
}

void PoolScheduler::awaitWorkers(std::set<InstanceId> Workers, Instant Until) {
  Awaited_ = std::move(Workers);
  AwaitUntil_ = Until;
}

bool PoolScheduler::restoredMayStart(Instant Now) const {
  return Awaited_.empty() || Now >= AwaitUntil_;
}

bool PoolScheduler::cancel(const JobId &Id) {
  Job *J = findJob(Id);
  if (!J || isFinal(J->state()))
    return false;
  endJob(*J, JobState::Canceled);
  return true;
}

void PoolScheduler::forget(const JobId &Id) {
  Open_.erase(Id);
  Restored_.erase(Id);
  Jobs_.erase(Id);
}

void PoolScheduler::stopRun(Run &R) { R.StopWanted_ = true; }

void PoolScheduler::stopForGood(Run &R) {
  stopRun(R);
  R.StopIfUnseen_ = false;
  R.NextStop_ = Instant();
}

void PoolScheduler::endJob(Job &J, JobState State) {
  J.setState(State);
  Open_.erase(J.id());
  dropAdvice(J.id());
  Changed_.insert(J.id());
  for (auto &[Id, W] : Workers_)
    for (const auto &[Key, R] : W.runs())
      if (Key.Job_ == J.id())
        stopForGood(*W.find(Key));
}

void PoolScheduler::leaseGranted(const InstanceId &Id, Instant Until) {
  if (Worker *W = findWorker(Id))
    W->LeasesEnd_ = std::max(W->LeasesEnd_, Until);
}

void PoolScheduler::silent(const InstanceId &Id, Instant Now) {
  Worker *W = findWorker(Id);
  if (!W || W->SilentSince_)
    return;
  W->SilentSince_ = Now;
  note("worker-silent", {}, 0, Id, "runs=" + std::to_string(W->runs().size()));
}

void PoolScheduler::startLife(Worker &W, std::int64_t Born) {
  if (W.Born_ && *W.Born_ != Born)
    loseRuns(W, "worker-restarted");
  if (W.Born_ == Born)
    return;
  W.Born_ = Born;
  W.LastEnd_ = 0;
  W.FailuresInRow_ = 0;
}

void PoolScheduler::report(const InstanceId &Id, const WorkerReport &R,
                           Instant SentAt, Instant Now) {
  Worker *W = findWorker(Id);
  if (!W)
    return;
  startLife(*W, R.Born_);
  if (W->SilentSince_)
    note("worker-back", {}, 0, Id,
         "silent_ms=" +
             std::to_string(toMillis(Now - *W->SilentSince_).count()));
  W->SilentSince_.reset();
  for (const EndReport &E : R.Ended_)
    if (E.Sequence_ > W->LastEnd_) {
      takeEnd(*W, E, Now);
      W->LastEnd_ = E.Sequence_;
    }
  for (const RunningReport &Running : R.Running_)
    takeRunning(*W, Running, Now);
  if (R.Ended_.size() < MaxListedEnds)
    dropAbsent(*W, R, SentAt);
  findStuck(*W, Now);
  Awaited_.erase(Id);
}

void PoolScheduler::release(Worker &W, const TaskKey &Key, const char *Cause) {
  const Run *R = W.find(Key);
  if (!R)
    return;
  const Attempt A = R->Attempt_;
  W.remove(Key);
  Job *J = findJob(Key.Job_);
  if (!J || !J->has(Key))
    return;
  TaskState &T = J->task(Key);
  if (T.Phase_ != TaskPhase::Placed || T.Attempt_ != A)
    return;
  T.Phase_ = TaskPhase::Waiting;
  note("run-ended", Key, A, W.info().Id_, Cause);
}

void PoolScheduler::loseRuns(Worker &W, const char *Cause) {
  std::vector<TaskKey> Keys;
  for (const auto &[Key, R] : W.runs())
    Keys.push_back(Key);
  for (const TaskKey &Key : Keys)
    release(W, Key, Cause);
}

void PoolScheduler::finish(Job &J, const TaskKey &Key) {
  const bool Gang = J.spec().Steps_[Key.Step_].Gang_;
  if (Gang)
    for (std::uint32_t I = 0; I < J.spec().Steps_[Key.Step_].Count_; ++I)
      J.finishTask({Key.Job_, Key.Occurrence_, Key.Step_, I});
  else
    J.finishTask(Key);
  Changed_.insert(J.id());
  if (J.state() == JobState::Complete) {
    Open_.erase(J.id());
    dropAdvice(J.id());
    note("job-complete", Key, 0, {}, "");
  }
}

void PoolScheduler::takeFailure(Worker &W, Job &J, const TaskKey &Key,
                                Attempt A, Instant Now) {
  TaskState &T = J.task(Key);
  T.Worker_ = W.info().Id_;
  if (W.LastFailedJob_ != J.id())
    ++W.FailuresInRow_;
  W.LastFailedJob_ = J.id();
  if (W.FailuresInRow_ >= SuspectFailures) {
    W.PausedUntil_ = Now + SuspectPause;
    // One more failure after the pause suspects it again.
    W.FailuresInRow_ = SuspectFailures - 1;
    note("worker-suspected", Key, T.Attempt_, W.info().Id_, "fails-in-a-row");
  }
  const StepSpec &S = J.spec().Steps_[Key.Step_];
  if (S.Lasting_ || isFinal(J.state()))
    return;
  // The end may be listed again although it is stored: its acknowledgement
  // was lost with an earlier holder.
  if (std::ranges::find(T.FailedAttempts_, A) != T.FailedAttempts_.end() ||
      T.Failures_ >= MaxFailuresKept)
    return;
  T.FailedAttempts_.push_back(A);
  ++T.Failures_;
  Changed_.insert(J.id());
  std::uint32_t Failures = T.Failures_;
  if (S.Gang_) {
    Failures = 0;
    for (const TaskState &Member :
         J.occurrences()[Key.Occurrence_].Steps_[Key.Step_].Tasks_)
      Failures += Member.Failures_;
  }
  if (Failures < settings(J.queue()).MaxFailures_)
    return;
  note("job-failed", Key, T.Attempt_, W.info().Id_,
       "failures=" + std::to_string(Failures));
  endJob(J, JobState::Failed);
}

void PoolScheduler::takeEnd(Worker &W, const EndReport &E, Instant Now) {
  Job *J = findJob(E.Task_.Job_);
  const Run *R = W.find(E.Task_);
  const bool Present = R && R->Attempt_ == E.Attempt_;
  if (!J || !J->has(E.Task_)) {
    if (Present)
      W.remove(E.Task_);
    return;
  }
  TaskState &T = J->task(E.Task_);
  T.Attempt_ = std::max(T.Attempt_, E.Attempt_);
  if (!E.Checkpoint_.empty())
    T.Checkpoint_ = E.Checkpoint_;
  switch (E.End_) {
  case RunEnd::Done:
    W.FailuresInRow_ = 0;
    if (Present)
      W.remove(E.Task_);
    if (J->spec().Steps_[E.Task_.Step_].Lasting_) {
      if (T.Phase_ == TaskPhase::Placed && Present)
        T.Phase_ = TaskPhase::Waiting;
      return;
    }
    finish(*J, E.Task_);
    return;
  case RunEnd::Failed:
    if (Present)
      release(W, E.Task_, "failed");
    takeFailure(W, *J, E.Task_, E.Attempt_, Now);
    return;
  case RunEnd::Stopped:
    if (Present)
      release(W, E.Task_, "stopped");
    return;
  case RunEnd::Lapsed:
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

void PoolScheduler::takeRunning(Worker &W, const RunningReport &R,
                                Instant Now) {
  if (Run *Known = W.find(R.Task_); Known && Known->Attempt_ == R.Attempt_) {
    if (Known->StopIfUnseen_ && !Known->StopInFlight_ && !Known->StopAnswered_)
      Known->StopWanted_ = false;
    if (Known->Phase_ != RunPhase::Working) {
      Known->Phase_ = RunPhase::Working;
      Known->Settled_ = Now;
    }
    if (Known->Percent_ != R.Percent_ || Known->LastProgress_ == Instant())
      Known->LastProgress_ = Now;
    Known->Percent_ = R.Percent_;
    Known->Load_ = R.Load_;
    if (Job *J = findJob(R.Task_.Job_); J && !R.Checkpoint_.empty())
      J->task(R.Task_).Checkpoint_ = R.Checkpoint_;
    return;
  }
  // A run that this holder didn't order: an earlier holder's, or an order
  // without an answer that was carried out late.
  Job *J = findJob(R.Task_.Job_);
  Run Found;
  if (J && J->has(R.Task_))
    Found = plannedRun(J->spec().Steps_[R.Task_.Step_]);
  Found.Attempt_ = R.Attempt_;
  Found.Phase_ = RunPhase::Working;
  Found.Settled_ = Now;
  Found.LastProgress_ = Now;
  Found.Percent_ = R.Percent_;
  Found.Load_ = R.Load_;
  const bool Wanted = J && J->has(R.Task_) && !isFinal(J->state()) &&
                      J->task(R.Task_).Phase_ == TaskPhase::Waiting &&
                      !W.find(R.Task_);
  if (J && J->has(R.Task_)) {
    TaskState &T = J->task(R.Task_);
    T.Attempt_ = std::max(T.Attempt_, R.Attempt_);
    if (Wanted && T.Attempt_ == R.Attempt_) {
      T.Phase_ = TaskPhase::Placed;
      T.Worker_ = W.info().Id_;
      if (J->state() == JobState::Queued)
        J->setState(JobState::Active);
      W.add(R.Task_, Found);
      note("run-adopted", R.Task_, R.Attempt_, W.info().Id_, "");
      return;
    }
  }
  if (W.find(R.Task_))
    return;
  stopRun(Found);
  W.add(R.Task_, Found);
  note("run-unwanted", R.Task_, R.Attempt_, W.info().Id_,
       J ? "another run or an ended job" : "unknown job");
}

void PoolScheduler::dropAbsent(Worker &W, const WorkerReport &R,
                               Instant SentAt) {
  std::set<std::pair<TaskKey, Attempt>> Listed;
  for (const RunningReport &Running : R.Running_)
    Listed.emplace(Running.Task_, Running.Attempt_);
  std::vector<TaskKey> Absent;
  for (const auto &[Key, Run] : W.runs()) {
    if (Listed.contains({Key, Run.Attempt_}))
      continue;
    const bool Working =
        Run.Phase_ == RunPhase::Working && Run.Settled_ < SentAt;
    const bool Stopped = Run.StopAnswered_ && *Run.StopAnswered_ < SentAt;
    if (Working || Stopped)
      Absent.push_back(Key);
  }
  for (const TaskKey &Key : Absent)
    release(W, Key, "not-listed");
}

void PoolScheduler::started(const InstanceId &Id, const TaskKey &Key, Attempt A,
                            StartAnswer Answer, Instant Now) {
  Worker *W = findWorker(Id);
  Run *R = W ? W->find(Key) : nullptr;
  if (!R || R->Attempt_ != A)
    return;
  switch (Answer) {
  case StartAnswer::Started:
    if (R->Phase_ == RunPhase::Working)
      return;
    R->Phase_ = RunPhase::Working;
    R->Settled_ = Now;
    R->LastProgress_ = Now;
    return;
  case StartAnswer::Unknown:
  case StartAnswer::Fenced:
    if (R->Phase_ == RunPhase::Working)
      return;
    R->Phase_ = RunPhase::Unresolved;
    // A report may show that the task runs; only what isn't seen is stopped.
    R->StopIfUnseen_ = !R->StopWanted_;
    R->NextStop_ = Now + UnseenPatience;
    stopRun(*R);
    note("start-unanswered", Key, A, Id, "");
    return;
  case StartAnswer::NoRoom:
  case StartAnswer::Unhealthy:
  case StartAnswer::WrongInstance:
    W->PausedUntil_ = Now + RefusalPause;
    release(*W, Key, "refused");
    return;
  case StartAnswer::NoTicket:
    // The ticket was valid for another life of the worker, or too long ago.
    Advice_.erase({Key.Job_, Key.Occurrence_, Key.Step_});
    release(*W, Key, "no-ticket");
    return;
  case StartAnswer::Outdated:
  case StartAnswer::LeaseExpired:
  case StartAnswer::Malformed:
    release(*W, Key, "refused");
    return;
  }
}

void PoolScheduler::stopped(const InstanceId &Id, const TaskKey &Key, Attempt A,
                            StopAnswer Answer, Instant Now) {
  Worker *W = findWorker(Id);
  Run *R = W ? W->find(Key) : nullptr;
  if (!R || R->Attempt_ != A)
    return;
  R->StopInFlight_ = false;
  R->NextStop_ = Now + StopRetry;
  if (Answer == StopAnswer::Accepted)
    R->StopAnswered_ = Now;
}

void PoolScheduler::vacate(const std::set<InstanceId> &Workers, Instant Until) {
  for (const InstanceId &Id : Workers)
    if (Worker *W = findWorker(Id))
      W->VacateUntil_ = Until;
}

} // namespace heathercross::schedule
