// Second runs of tasks that take far longer than expected.
//
// Load: 3% of the tasks take seven times as long as the others, and a third of
// the jobs allow copies. A copy is work done twice, so copies take only room
// that no waiting task can use, and their number is bounded.
#include "schedule/pool-scheduler.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// A run is a straggler after this part of the conservative estimate if its
/// progress shows that a fresh run would end first. After twice the estimate a
/// copy is too late for most objectives.
constexpr int SlowProgressPercent = 110;
/// The same for a run of which no progress is known.
constexpr int NoProgressPercent = 200;
/// Runs of the pool for each of which one copy may run. The 3% that take long
/// fit into the bound several times.
constexpr std::size_t RunsPerCopy = 10;
/// Time between two searches for stragglers: tasks take from 0.7 s, and a
/// search visits all runs.
constexpr Millis CopyRoundInterval{50};
constexpr int FullPercent = 100;

} // namespace

bool PoolScheduler::allowsCopy(const Job &J, const TaskKey &Key,
                               Instant Now) const {
  const TaskState &T = J.task(Key);
  // Both runs may fail, and the job's attempts must not end by that.
  return J.spec().Steps_[Key.Step_].Speculative_ &&
         hasOwnRunTime(J.spec().Steps_[Key.Step_]) && !isFinal(J.state()) &&
         T.Phase_ == TaskPhase::Placed && T.CopyAttempt_ == 0 &&
         T.UnwantedRuns_ == 0 &&
         T.Failures_ + 1 < settings(J.queue()).MaxFailures_ &&
         requiredWorker(T, Now).empty();
}

bool PoolScheduler::adoptsCopy(const Job &J, const TaskKey &Key,
                               const Worker &W, Instant Now) const {
  return allowsCopy(J, Key, Now) && J.task(Key).Worker_ != W.info().Id_;
}

bool PoolScheduler::isOvertaken(const Job &J, const TaskKey &Key, const Run &R,
                                Instant Now) const {
  const StepSpec &S = J.spec().Steps_[Key.Step_];
  const RunTimeEstimate *E = RunTimes_.find(J.queue(), S);
  const Micros Age = Now - R.ConfirmedAt_;
  if (!E || Age * 100 < SlowProgressPercent * E->conservative(S.Estimate_))
    return false;
  // A worker out of reach reports no progress.
  const auto W = Workers_.find(J.task(Key).Worker_);
  const bool Silent =
      W != Workers_.end() && W->second.UnresponsiveSince_.has_value();
  if (R.Percent_ == 0 || Silent)
    return Age * 100 >= NoProgressPercent * E->conservative(S.Estimate_);
  const Micros Reported = R.LastProgress_ - R.ConfirmedAt_;
  const int Done = std::min(static_cast<int>(R.Percent_), FullPercent);
  const Micros Remaining =
      Reported * (FullPercent - Done) / Done - (Now - R.LastProgress_);
  return Remaining > E->conservative(S.Estimate_);
}

std::vector<PoolScheduler::Straggler>
PoolScheduler::stragglers(Instant Now, WallTime Wall) const {
  std::size_t Runs = 0;
  std::size_t Copies = 0;
  std::vector<Straggler> Found;
  const Job *J = nullptr;
  for (const auto &[Id, W] : Workers_)
    for (const auto &[Key, R] : W.runs()) {
      // A worker's runs are in the order of their jobs.
      if (!J || J->id() != Key.Job_)
        J = find(Key.Job_);
      if (!J || !J->has(Key) || !hasOwnRunTime(J->spec().Steps_[Key.Step_]))
        continue;
      ++Runs;
      if (!J->spec().Steps_[Key.Step_].Speculative_)
        continue;
      const TaskState &T = J->task(Key);
      Copies += T.CopyAttempt_ != 0 && T.CopyAttempt_ == R.Attempt_ ? 1 : 0;
      if (R.Phase_ != RunPhase::Working || R.StopWanted_ || T.Copied_ ||
          T.RunAttempt_ != R.Attempt_ || !allowsCopy(*J, Key, Now) ||
          !isOvertaken(*J, Key, R, Now))
        continue;
      const Rank JobRank = timedRank(*J, Key.Occurrence_, Now, Wall);
      if (JobRank.Urgency_ <= Urgency::Late)
        Found.push_back({JobRank, Key, Now - R.ConfirmedAt_});
    }
  const std::size_t Bound = (Runs + RunsPerCopy - 1) / RunsPerCopy;
  std::ranges::stable_sort(Found, {}, &Straggler::Rank_);
  Found.resize(std::min(Found.size(), Bound - std::min(Bound, Copies)));
  return Found;
}

void PoolScheduler::orderCopies(Instant Now, WallTime Wall, Orders &Out) {
  if (!AnySpeculative_ || HeldBack_ || Now < NextCopyRound_ ||
      !restoredJobsMayStart(Now))
    return;
  NextCopyRound_ = Now + CopyRoundInterval;
  const std::vector<Straggler> Found = stragglers(Now, Wall);
  if (Found.empty())
    return;
  const std::vector<Worker *> Available = availableWorkers(Now);
  for (const Straggler &S : Found) {
    if (Unanswered_ + Out.Starts_.size() >= OrderLimit_)
      return;
    Job &J = *findJob(S.Task_.Job_);
    if (!accountPermits(J, J.spec().Steps_[S.Task_.Step_]))
      continue;
    const ReadyStep Step{S.Rank_, &J, S.Task_.Occurrence_, S.Task_.Step_};
    std::vector<Candidate> Places = candidates(J, Step, Available, Now);
    std::erase_if(Places, [&](const Candidate &C) {
      return C.Slow_ || C.Worker_->find(S.Task_) != nullptr;
    });
    Worker *W = choose(Places, request(J, Step, J.task(S.Task_), Now));
    if (!W) {
      NeedAdvice_.insert(S.Task_);
      continue;
    }
    orderCopy(J, S.Task_, *W, Now, Out);
    logDecision("copy-started", S.Task_, J.task(S.Task_).CopyAttempt_,
                W->info().Id_,
                "other=" + J.task(S.Task_).Worker_.str() +
                    " age_ms=" + std::to_string(toMillis(S.Age_).count()));
  }
}

void PoolScheduler::orderCopy(Job &J, const TaskKey &Key, Worker &W,
                              Instant Now, Orders &Out) {
  TaskState &T = *J.openTask(Key);
  const Attempt A = T.nextAttempt(J.attemptFloor());
  T.Attempt_ = T.CopyAttempt_ = A;
  T.CopyWorker_ = W.info().Id_;
  T.Copied_ = true;
  T.OrderedAt_ = Now;
  Run R = plannedRun(J, Key.Step_);
  Accounts_.start(J.account(), R.AccountNeeds_);
  R.Attempt_ = A;
  R.OrderedAt_ = Now;
  R.StartSeen_ = T.Checkpoint_.empty();
  R.Fence_ = W.Fence_;
  W.add(Key, R);
  Out.Starts_.push_back(startOrder(J, Key, W, A));
}

bool PoolScheduler::releaseOneOfTwo(Job &J, const TaskKey &Key, const Worker &W,
                                    Attempt A, bool Began, const char *Cause) {
  if (J.task(Key).CopyAttempt_ == 0)
    return false;
  TaskState &T = *J.openTask(Key);
  const bool IsCopy = T.CopyAttempt_ == A && T.CopyWorker_ == W.info().Id_;
  if (!IsCopy && (T.RunAttempt_ != A || T.Worker_ != W.info().Id_))
    return true;
  if (IsCopy)
    T.Copied_ = Began;
  else {
    T.RunAttempt_ = T.CopyAttempt_;
    T.Worker_ = T.CopyWorker_;
  }
  T.CopyAttempt_ = 0;
  T.CopyWorker_ = {};
  T.ReleaseCause_ = Cause;
  logDecision("run-ended", Key, A, W.info().Id_,
              std::string(Cause) + (IsCopy ? " copy" : " copy-goes-on"));
  return true;
}

void PoolScheduler::stopOtherRuns(const Job &J, const TaskKey &Key) {
  if (!J.spec().Steps_[Key.Step_].Speculative_)
    return;
  const TaskState &T = J.task(Key);
  const auto Stop = [&](const InstanceId &Id, Attempt A) {
    Worker *W = findWorker(Id);
    Run *R = findRun(W, Key, A);
    if (!R || R->StopWanted_)
      return;
    stopRun(*W, *R);
    logDecision("copy-stopped", Key, A, Id, "");
  };
  Stop(T.Worker_, T.RunAttempt_);
  Stop(T.CopyWorker_, T.CopyAttempt_);
}

} // namespace heathercross::schedule
