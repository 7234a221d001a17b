// Event handling of a pool's scheduler: queues, workers, jobs and answers to
// orders.
#include "schedule/pool-scheduler.h"

#include <algorithm>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A worker gets no tasks for this long after it refused an order for a reason
/// unrelated to the task.
constexpr Millis RefusalPause{300};
/// The delay before an unanswered stop order is repeated.
constexpr Millis StopRetry{200};

constexpr std::size_t MaxPendingDecisions = 4096;

/// A worker must be unresponsive for this long before the end of its runs is
/// recorded: a worker that comes back gets no lease until that is undone.
constexpr Millis RecordSilenceAfter{500};

} // namespace

void PoolScheduler::logDecision(const char *Kind, const TaskKey &Key, Attempt A,
                                const InstanceId &Worker, std::string Cause) {
  if (Log_.size() < MaxPendingDecisions)
    Log_.push_back({Kind, Key, A, Worker, std::move(Cause)});
}

void PoolScheduler::setQueues(const std::map<QueueId, QueueSettings> &Queues) {
  for (const auto &[Id, Settings] : Queues)
    Queues_[Id] = Settings;
  updateUnknownQueue();
}

void PoolScheduler::restoreQueues(
    const std::map<QueueId, QueueSettings> &Queues) {
  Queues_.insert(Queues.begin(), Queues.end());
  updateUnknownQueue();
}

void PoolScheduler::updateUnknownQueue() {
  UnknownQueue_.MaxFailures_ = MaxRecordedFailures;
  for (const auto &[Id, Settings] : Queues_)
    UnknownQueue_.MaxFailures_ =
        std::min(UnknownQueue_.MaxFailures_, Settings.MaxFailures_);
}

const QueueSettings &PoolScheduler::settings(const QueueId &Queue) const {
  const auto It = Queues_.find(Queue);
  return It == Queues_.end() ? UnknownQueue_ : It->second;
}

void PoolScheduler::setWorker(const WorkerInfo &Info) {
  const auto [It, New] = Workers_.try_emplace(Info.Id_, Info, Fence_);
  if (New)
    It->second.Number_ = Advice_.addWorker();
  It->second.setInfo(Info);
  It->second.Registered_ = true;
  MaxCapacity_.CpuMilli_ =
      std::max(MaxCapacity_.CpuMilli_, Info.Capacity_.CpuMilli_);
  MaxCapacity_.MemoryMb_ =
      std::max(MaxCapacity_.MemoryMb_, Info.Capacity_.MemoryMb_);
  MaxCapacity_.Gpus_ = std::max(MaxCapacity_.Gpus_, Info.Capacity_.Gpus_);
}

void PoolScheduler::removeWorker(const InstanceId &Id) {
  Worker *W = findWorker(Id);
  if (!W)
    return;
  W->Registered_ = false;
  if (!W->runs().empty())
    logDecision("busy-worker-unregistered", {}, 0, Id,
                "runs=" + std::to_string(W->runs().size()) +
                    (W->UnresponsiveSince_ ? " silent" : " responds"));
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
  releaseAllRuns(*W, "instance-ended");
  eraseWorker(Id, "instance-ended");
}

void PoolScheduler::eraseWorker(const InstanceId &Id, const char *Cause) {
  logDecision("worker-gone", {}, 0, Id, Cause);
  Advice_.removeWorker(Workers_.at(Id).Number_);
  Workers_.erase(Id);
  // Calls to the instance may be in flight if it registers again.
  Fence_ = Fence_.next();
}

bool PoolScheduler::fitsKnownCapacity(const StepSpec &S) const {
  return MaxCapacity_ == Resources() || S.reserved().fits(MaxCapacity_);
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
  Job &Added = Jobs_.insert_or_assign(Id, std::move(J)).first->second;
  AnySpeculative_ =
      AnySpeculative_ ||
      std::ranges::any_of(Added.spec().Steps_, &StepSpec::Speculative_);
  Open_.erase(Id);
  if (!isFinal(Added.state()))
    Open_.emplace(Id, &Added);
}

void PoolScheduler::restore(Job J, Attempt AttemptFloor) {
  J.setAttemptFloor(AttemptFloor);
  Restored_.insert(J.id());
  admit(std::move(J));
}

void PoolScheduler::awaitWorkers(std::map<InstanceId, Instant> Workers) {
  Awaited_ = std::move(Workers);
}

bool PoolScheduler::restoredJobsMayStart(Instant Now) const {
  const Instant Held = knownHeldAt(Now);
  return std::ranges::all_of(
      Awaited_, [Held](const auto &Entry) { return Held >= Entry.second; });
}

std::optional<Instant> PoolScheduler::silentRunsEnd(const InstanceId &Id,
                                                    Instant Now) const {
  const auto It = Workers_.find(Id);
  if (It == Workers_.end() || !It->second.UnresponsiveSince_ ||
      Now - *It->second.UnresponsiveSince_ < RecordSilenceAfter)
    return std::nullopt;
  if (It->second.hasReported())
    return It->second.runsEnd(MaxLease_);
  // This holder has given it no lease, so what an earlier one left is known.
  const auto Await = Awaited_.find(Id);
  return Await == Awaited_.end() ? std::nullopt : std::optional(Await->second);
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

void PoolScheduler::stopRun(Worker &W, Run &R) {
  W.Unsettled_ = true;
  R.StopWanted_ = true;
  R.StopForMove_ = false;
}

void PoolScheduler::endJob(Job &J, JobState State) {
  J.setState(State);
  Open_.erase(J.id());
  Advice_.forget(J.id());
  Changed_.insert(J.id());
  for (auto &[Id, W] : Workers_)
    for (const auto &[Key, R] : W.runs())
      if (Key.Job_ == J.id())
        stopRun(W, *W.find(Key));
}

void PoolScheduler::leaseGranted(const InstanceId &Id, Instant GrantedAt,
                                 Millis Lease) {
  Worker *W = findWorker(Id);
  if (!W)
    return;
  W->leaseGranted(GrantedAt, Lease, MaxLease_);
}

void PoolScheduler::unresponsive(const InstanceId &Id, Instant Now) {
  Worker *W = findWorker(Id);
  if (!W || W->UnresponsiveSince_)
    return;
  W->UnresponsiveSince_ = Now;
  logDecision("worker-silent", {}, 0, Id,
              "runs=" + std::to_string(W->runs().size()));
}

void PoolScheduler::restarted(Worker &W) {
  // The new incarnation knows no fence. The runs are released when it refuses
  // the orders of the former one.
  raiseFence(W, W.Fence_);
  W.Restarted_ = true;
  for (auto &[Key, R] : W.runs()) {
    R.LeaseKnown_ = false;
    R.StopAcceptedAt_.reset();
    R.ThrottleKnown_ = false;
  }
}

void PoolScheduler::suspectRestart(const InstanceId &Id) {
  if (Worker *W = findWorker(Id))
    restarted(*W);
}

void PoolScheduler::updateIncarnation(Worker &W, std::int64_t Incarnation) {
  if (W.Incarnation_ && *W.Incarnation_ != Incarnation) {
    const auto Unanswered = std::ranges::count_if(
        W.runs(), [](RunPhase P) { return P != RunPhase::Working; },
        [](const auto &Entry) { return Entry.second.Phase_; });
    logDecision("worker-restarted", {}, 0, W.info().Id_,
                "runs=" + std::to_string(W.runs().size()) +
                    " unanswered=" + std::to_string(Unanswered) +
                    " born=" + std::to_string(Incarnation));
    restarted(W);
    Advice_.workerRestarted(W.Number_);
  }
  if (W.Incarnation_ == Incarnation)
    return;
  W.Incarnation_ = Incarnation;
  W.LastEnd_ = 0;
  W.ConsecutiveFailures_ = 0;
}

void PoolScheduler::raiseFence(Worker &W, FenceGeneration Above) {
  if (Above < W.Fence_)
    return;
  Fence_ = Fence_.next();
  W.Fence_ = Fence_;
}

FenceGeneration PoolScheduler::fence(const InstanceId &Id) const {
  const auto It = Workers_.find(Id);
  return It == Workers_.end() ? Fence_ : It->second.Fence_;
}

void PoolScheduler::release(Worker &W, const TaskKey &Key, const char *Cause,
                            const std::string &Detail) {
  const Run *R = W.find(Key);
  if (!R)
    return;
  const Attempt A = R->Attempt_;
  const bool Began = R->Phase_ == RunPhase::Working;
  removeRun(W, Key);
  Job *J = findJob(Key.Job_);
  if (!J || !J->has(Key) || releaseOneOfTwo(*J, Key, W, A, Began, Cause))
    return;
  const TaskState &T = J->task(Key);
  if (T.Phase_ != TaskPhase::Placed || T.RunAttempt_ != A)
    return;
  J->setPhase(Key, TaskPhase::Waiting);
  J->openTask(Key)->ReleaseCause_ = Cause;
  logDecision("run-ended", Key, A, W.info().Id_,
              Detail.empty() ? Cause : Cause + (" " + Detail));
}

void PoolScheduler::releaseAllRuns(Worker &W, const char *Cause) {
  std::vector<TaskKey> Keys;
  for (const auto &[Key, R] : W.runs())
    Keys.push_back(Key);
  for (const TaskKey &Key : Keys)
    release(W, Key, Cause);
}

void PoolScheduler::removeRun(Worker &W, const TaskKey &Key) {
  const Run *R = W.find(Key);
  Job *J = findJob(Key.Job_);
  if (R && R->Unwanted_ && J && J->has(Key))
    if (TaskState *T = J->openTask(Key))
      --T->UnwantedRuns_;
  W.remove(Key);
}

void PoolScheduler::recordUnresolved(Worker &W, const TaskKey &Key,
                                     const Run &R) {
  const Instant Until = R.OrderedAt_ + MaxOrderDelay;
  W.LateStartsEnd_ = std::max(W.LateStartsEnd_, Until);
  Job *J = findJob(Key.Job_);
  TaskState *T = J && J->has(Key) ? J->openTask(Key) : nullptr;
  if (T && (!T->Unresolved_ || T->Unresolved_->Until_ < Until))
    T->Unresolved_ = {W.info().Id_, R.Attempt_, Until};
}

void PoolScheduler::releaseExpired(Worker &W, Instant Now) {
  if (!W.UnresponsiveSince_ || knownHeldAt(Now) < W.LeasesEnd_)
    return;
  std::vector<std::pair<TaskKey, LeaseKind>> Expired;
  for (const auto &[Key, R] : W.runs()) {
    if (knownHeldAt(Now) >= W.leaseEnd(R))
      Expired.emplace_back(Key, W.leaseKind(R));
  }
  const auto SinceGrant = toMillis(Now - (W.MaxLeaseEnd_ - MaxLease_));
  for (const auto &[Key, Kind] : Expired)
    release(W, Key, "lease-expired",
            std::string("lease=") + leaseKindName(Kind) +
                " granted_ms=" + std::to_string(SinceGrant.count()) +
                (W.Registered_ ? "" : " unregistered"));
}

InstanceId PoolScheduler::requiredWorker(const TaskState &T,
                                         Instant Now) const {
  if (!T.Unresolved_)
    return {};
  const auto It = Workers_.find(T.Unresolved_->Worker_);
  const bool Required =
      It != Workers_.end() && !It->second.isLeaving(Now) &&
      It->second.mayStartLate(T.Unresolved_->Until_, Now, MaxLease_);
  return Required ? It->first : InstanceId();
}

Run *PoolScheduler::findRun(Worker *W, const TaskKey &Key, Attempt A) {
  Run *R = W ? W->find(Key) : nullptr;
  return R && R->Attempt_ == A ? R : nullptr;
}

void PoolScheduler::started(const StartOrder &O, StartAnswer Answer,
                            Instant Now) {
  const TaskKey &Key = O.Task_;
  const Attempt A = O.Attempt_;
  Worker *W = findWorker(O.Worker_);
  Run *R = findRun(W, Key, A);
  if (!R || R->Fence_ != O.Fence_)
    return;
  Job *J = findJob(Key.Job_);
  if (J && J->has(Key) &&
      (Answer == StartAnswer::Started || Answer == StartAnswer::Outdated))
    markSeen(*J, Key, A);
  // A report has shown the run: the worker carried out an earlier order for the
  // same attempt.
  if (R->Phase_ == RunPhase::Working)
    return;
  switch (Answer) {
  case StartAnswer::Started:
    R->Phase_ = RunPhase::Working;
    R->LeaseKnown_ = true;
    R->ConfirmedAt_ = Now;
    R->LastProgress_ = Now;
    return;
  case StartAnswer::Unknown:
    // A stop could be late, too, and end the run when it is at work. A raised
    // fence only prevents a start.
    R->Phase_ = RunPhase::Unresolved;
    R->StartSeen_ = false;
    raiseFence(*W, R->Fence_);
    logDecision("start-unanswered", Key, A, O.Worker_, "");
    return;
  case StartAnswer::NoRoom:
  case StartAnswer::Unhealthy:
  case StartAnswer::WrongInstance:
    W->PausedUntil_ = Now + RefusalPause;
    release(*W, Key, "refused");
    return;
  case StartAnswer::NoTicket:
    // The ticket belongs to an earlier incarnation of the worker or has
    // expired.
    Advice_.ticketRejected(stepOf(Key), W->Number_);
    release(*W, Key, "no-ticket");
    return;
  case StartAnswer::Fenced:
  case StartAnswer::Outdated:
  case StartAnswer::LeaseExpired:
  case StartAnswer::Malformed:
    release(*W, Key, "refused");
    return;
  }
}

void PoolScheduler::stopped(const StopOrder &O, StopAnswer Answer,
                            Instant Now) {
  Worker *W = findWorker(O.Worker_);
  Run *R = findRun(W, O.Task_, O.Attempt_);
  if (!R || R->StopFence_ != O.Fence_)
    return;
  R->StopInFlight_ = false;
  R->NextStopAt_ = Now + StopRetry;
  if (Answer == StopAnswer::Accepted)
    R->StopAcceptedAt_ = Now;
  if (Answer == StopAnswer::Unknown)
    raiseFence(*W, O.Fence_);
}

void PoolScheduler::throttled(const ThrottleOrder &O, bool Confirmed) {
  Worker *W = findWorker(O.Worker_);
  Run *R = findRun(W, O.Task_, O.Attempt_);
  if (!R || Confirmed)
    return;
  R->ThrottleKnown_ = false;
  raiseFence(*W, O.Fence_);
}

void PoolScheduler::evacuate(const std::set<InstanceId> &Workers,
                             Instant Until) {
  for (const InstanceId &Id : Workers)
    if (Worker *W = findWorker(Id))
      W->EvacuateUntil_ = Until;
}

} // namespace heathercross::schedule
