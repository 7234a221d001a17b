// The decisions of the duty "job-POOL", which runs the jobs of one pool.
#include "job/job-duty.h"

#include "core/json-node.h"

#include <algorithm>

namespace heathercross::job {

namespace {

/// Whether the stored row may differ from the known one after a failed write.
bool needsReadBack(const CommitResult &Result, const JobId &Job) {
  if (Result.Status_ == CommitStatus::Conflict)
    return std::ranges::find(Result.Conflicts_, rowKey(Job),
                             &Expectation::Key_) != Result.Conflicts_.end();
  return Result.Status_ == CommitStatus::Uncertain;
}

} // namespace

JobDuty::JobDuty(PoolId Pool, std::string AttemptPrefix, JobSettings Settings)
    : Pool_(std::move(Pool)), AttemptPrefix_(std::move(AttemptPrefix)),
      Settings_(Settings), FailureAttribution_(Settings.FailureAttribution_) {}

JobEffects JobDuty::onRows(Instant Now, const std::vector<Row> &Rows) {
  JobEffects Out;
  for (const Row &R : Rows) {
    // A malformed row must not block the other jobs.
    try {
      applyRow(Now, R, Out);
    } catch (const FormatError &) {
      ++UnreadableRows_;
    }
  }
  return Out;
}

JobEffects JobDuty::onReply(Instant Now, const TaskReply &Reply) {
  JobEffects Out;
  const auto I = Jobs_.find(Reply.Job_);
  if (I == Jobs_.end() || !I->second.isRunning())
    return Out;
  Job &J = I->second;
  if (J.Row_.Worker_ != Reply.Worker_ || J.Row_.Epoch_ != Reply.Epoch_)
    return Out;
  if (Reply.Answer_ == TaskAnswer::NoAnswer) {
    // A checkpoint request may be lost, so it may be sent again.
    J.CheckpointRequested_ = false;
    return Out;
  }
  J.LastResponseAt_ = Now;
  switch (Reply.Answer_) {
  case TaskAnswer::NoAnswer:
  case TaskAnswer::Running:
    break;
  case TaskAnswer::Duplicate:
    J.DuplicateReported_ = true;
    renew(Now, J, Out);
    break;
  case TaskAnswer::NotFound:
    handleNotFound(Now, J, Out);
    break;
  case TaskAnswer::StaleEpoch:
    Out.emplace_back(ReadJobs{{Reply.Job_}});
    break;
  case TaskAnswer::Done:
  case TaskAnswer::Failed:
  case TaskAnswer::Checkpointed:
  case TaskAnswer::Refused:
    recordOutcome(Now, J, Reply);
    break;
  }
  return Out;
}

JobEffects JobDuty::onWritten(Instant Now, const AttemptId &Attempt,
                              const CommitResult &Result) {
  JobEffects Out;
  const auto Batch = PendingPlans_.extract(Attempt);
  if (Batch.empty())
    return Out;
  if (Result.Status_ == CommitStatus::Committed) {
    for (const JobRow &Row : Batch.mapped())
      applyCommitted(Now, Row, Result.Version_, Out);
    return Out;
  }
  ReadJobs ReadBack;
  for (const JobRow &Row : Batch.mapped()) {
    const auto I = Jobs_.find(Row.Job_);
    if (I == Jobs_.end() || I->second.PendingWrite_ != Attempt)
      continue;
    // After an uncertain result the row stays blocked until it is read back.
    if (Result.Status_ != CommitStatus::Uncertain)
      I->second.PendingWrite_.reset();
    if (needsReadBack(Result, Row.Job_))
      ReadBack.Jobs_.push_back(Row.Job_);
  }
  if (!ReadBack.Jobs_.empty())
    Out.emplace_back(std::move(ReadBack));
  return Out;
}

JobEffects JobDuty::tick(Instant Now, const Expectation &Guard,
                         const std::vector<JobWorker> &Workers,
                         const std::map<TeamId, Quota> &Quotas) {
  JobEffects Out;
  renewTasks(Now, Out);
  readBackOverdue(Now, Out);
  Placement P = makePlacement(Now, Workers, Quotas);
  Plan Planned = planOutcomes(Now, Workers.size(), P);
  assignWaiting(P, Planned);
  writePlan(Now, Guard, std::move(Planned), Out);
  reportSuspects(Now, Workers, Out);
  return Out;
}

JobEffects JobDuty::preempt(const InstanceId &Worker) {
  Job *LastStarted = nullptr;
  for (auto &[Id, J] : Jobs_) {
    const bool Preemptible =
        J.isRunning() && J.Row_.Worker_ == Worker && !J.CheckpointRequested_;
    if (Preemptible &&
        (!LastStarted || J.AssignedAt_ > LastStarted->AssignedAt_))
      LastStarted = &J;
  }
  JobEffects Out;
  if (LastStarted)
    requestCheckpoint(*LastStarted, Out);
  return Out;
}

JobEffects JobDuty::evacuate(const InstanceId &Worker) {
  JobEffects Out;
  for (auto &[Id, J] : Jobs_)
    if (J.isRunning() && J.Row_.Worker_ == Worker && !J.CheckpointRequested_)
      requestCheckpoint(J, Out);
  return Out;
}

void JobDuty::setRow(Instant Now, Job &J, JobRow Row, RowVersion Version) {
  J = Job();
  J.Row_ = std::move(Row);
  J.Version_ = Version;
  J.AssignedAt_ = Now;
  J.LastResponseAt_ = Now;
}

void JobDuty::applyRow(Instant Now, const Row &R, JobEffects &Out) {
  JobRow Row = decodeJobRow(R.Value_);
  const auto Known = Jobs_.find(Row.Job_);
  if (Known != Jobs_.end() && R.Version_ <= Known->second.Version_) {
    // The row is unchanged. A write still in flight expects this version too,
    // so at most one of this write and the next one commits.
    if (R.Version_ == Known->second.Version_)
      Known->second.PendingWrite_.reset();
    return;
  }
  if (Row.Pool_ != Pool_ || isFinal(Row.State_))
    return removeJob(Row.Job_, Row, Out);
  Job &J = Jobs_[Row.Job_];
  setRow(Now, J, std::move(Row), R.Version_);
}

void JobDuty::removeJob(const JobId &Id, const JobRow &NewRow,
                        JobEffects &Out) {
  const auto Known = Jobs_.find(Id);
  if (Known == Jobs_.end())
    return;
  const JobRow &Row = Known->second.Row_;
  const bool MustStop =
      NewRow.State_ == JobState::Cancelled && Row.State_ == JobState::Running;
  if (MustStop)
    Out.emplace_back(StopTask{Row.Worker_, Id, Row.Epoch_});
  Jobs_.erase(Known);
}

void JobDuty::applyCommitted(Instant Now, const JobRow &Row, RowVersion Version,
                             JobEffects &Out) {
  const auto I = Jobs_.find(Row.Job_);
  if (I == Jobs_.end() || Version <= I->second.Version_)
    return;
  if (isFinal(Row.State_)) {
    Jobs_.erase(I);
    return;
  }
  setRow(Now, I->second, Row, Version);
  if (Row.State_ == JobState::Running)
    start(I->second, Out);
}

void JobDuty::handleNotFound(Instant Now, Job &J, JobEffects &Out) {
  // Either the start never arrived, or the task was started and is lost. The
  // same attempt is sent again, which the worker reports as Duplicate if it has
  // started it before.
  if (J.DuplicateReported_) {
    J.Outcome_ = TaskOutcome{TaskAnswer::NotFound, "", ""};
    return;
  }
  J.RenewedAt_ = Now;
  start(J, Out);
}

void JobDuty::recordOutcome(Instant Now, Job &J, const TaskReply &Reply) {
  J.Outcome_ = TaskOutcome{Reply.Answer_, Reply.Result_, Reply.Checkpoint_};
  if (Reply.Answer_ == TaskAnswer::Refused)
    ExcludedUntil_[Reply.Worker_] = Now + Settings_.RefusalBackoff_;
  if (Reply.Answer_ == TaskAnswer::Done)
    FailureAttribution_.recordSuccess(Reply.Worker_);
}

void JobDuty::start(const Job &J, JobEffects &Out) const {
  Out.emplace_back(StartTask{J.Row_.Worker_, J.Row_.Job_, J.Row_.Attempt_,
                             J.Row_.Epoch_, toMillis(Settings_.Lease_),
                             J.Row_.Size_.Work_, J.Row_.Checkpoint_});
}

void JobDuty::renew(Instant Now, Job &J, JobEffects &Out) const {
  J.RenewedAt_ = Now;
  Out.emplace_back(RenewTask{J.Row_.Worker_, J.Row_.Job_, J.Row_.Epoch_,
                             toMillis(Settings_.Lease_)});
}

void JobDuty::renewTasks(Instant Now, JobEffects &Out) {
  for (auto &[Id, J] : Jobs_) {
    if (!J.isRunning())
      continue;
    const Micros SinceResponse = Now - J.LastResponseAt_;
    const bool Due =
        !J.RenewedAt_ || Now - *J.RenewedAt_ >= Settings_.RenewInterval_;
    // A renewal may reach the worker although its response is lost. Renewals
    // stop after one lease without a response, and after a second one the
    // worker has stopped the task itself.
    if (SinceResponse >= 2 * Settings_.Lease_)
      markTaskLost(Now, J);
    else if (SinceResponse < Settings_.Lease_ && Due)
      renew(Now, J, Out);
  }
}

void JobDuty::markTaskLost(Instant Now, Job &J) {
  J.Outcome_ = TaskOutcome();
  ExcludedUntil_[J.Row_.Worker_] = Now + Settings_.Lease_;
}

void JobDuty::requestCheckpoint(Job &J, JobEffects &Out) {
  J.CheckpointRequested_ = true;
  Out.emplace_back(CheckpointTask{J.Row_.Worker_, J.Row_.Job_, J.Row_.Epoch_});
}

void JobDuty::readBackOverdue(Instant Now, JobEffects &Out) {
  ReadJobs ReadBack;
  for (auto &[Id, J] : Jobs_) {
    const bool Overdue =
        J.PendingWrite_ && Now - J.WriteSentAt_ >= Settings_.WriteTimeout_;
    if (!Overdue || ReadBack.Jobs_.size() == MaxBatch)
      continue;
    J.WriteSentAt_ = Now;
    ReadBack.Jobs_.push_back(Id);
  }
  if (!ReadBack.Jobs_.empty())
    Out.emplace_back(std::move(ReadBack));
}

Placement JobDuty::makePlacement(Instant Now,
                                 const std::vector<JobWorker> &Workers,
                                 const std::map<TeamId, Quota> &Quotas) {
  Placement P(Workers, Quotas);
  std::erase_if(ExcludedUntil_, [&](const auto &W) { return W.second <= Now; });
  for (const auto &[Worker, Until] : ExcludedUntil_)
    P.exclude(Worker);
  for (const auto &[Id, J] : Jobs_) {
    if (J.Row_.State_ != JobState::Running)
      continue;
    P.countRunning(J.Row_.Team_);
    // The worker's status doesn't include recently assigned jobs yet.
    if (Now - J.AssignedAt_ < Settings_.RenewInterval_)
      P.reserveSlot(J.Row_.Worker_);
  }
  return P;
}

JobDuty::Plan JobDuty::planOutcomes(Instant Now, std::size_t PoolSize,
                                    Placement &P) {
  Plan Planned;
  for (const auto &[Id, J] : Jobs_) {
    if (!J.Outcome_ || J.PendingWrite_ || Planned.size() == MaxBatch)
      continue;
    JobRow Row = J.Row_;
    applyOutcome(Now, *J.Outcome_, PoolSize, Row);
    if (Row.State_ == JobState::Waiting)
      assignWorker(P, Row);
    Planned.push_back(std::move(Row));
  }
  return Planned;
}

void JobDuty::assignWaiting(Placement &P, Plan &Planned) {
  std::map<TeamId, std::vector<const Job *>> Queues;
  for (const auto &[Id, J] : Jobs_)
    if (J.Row_.State_ == JobState::Waiting && !J.PendingWrite_)
      Queues[J.Row_.Team_].push_back(&J);
  // The oldest job is last, so that pop_back() removes jobs in order of age.
  for (auto &[Team, Queue] : Queues)
    std::ranges::sort(Queue, std::ranges::greater(), &Job::Version_);
  while (!Queues.empty() && Planned.size() < MaxBatch && P.hasFreeSlot()) {
    const auto Next = std::ranges::min_element(
        Queues, {}, [&](const auto &Q) { return P.weightedLoad(Q.first); });
    JobRow Row = Next->second.back()->Row_;
    Next->second.pop_back();
    if (Next->second.empty())
      Queues.erase(Next);
    if (assignWorker(P, Row))
      Planned.push_back(std::move(Row));
  }
}

void JobDuty::applyOutcome(Instant Now, const TaskOutcome &Outcome,
                           std::size_t PoolSize, JobRow &Row) {
  if (Outcome.Answer_ == TaskAnswer::Done) {
    Row.State_ = JobState::Done;
    Row.Result_ = Outcome.Result_;
    Row.Bills_ = 1;
    return;
  }
  Row.State_ = JobState::Waiting;
  if (Outcome.Answer_ == TaskAnswer::Failed)
    applyFailure(Now, PoolSize, Row);
  if (Outcome.Answer_ == TaskAnswer::Checkpointed &&
      !Outcome.Checkpoint_.empty())
    Row.Checkpoint_ = Outcome.Checkpoint_;
  Row.Worker_ = InstanceId();
  Row.Attempt_ = AttemptId();
}

void JobDuty::applyFailure(Instant Now, std::size_t PoolSize, JobRow &Row) {
  if (std::ranges::find(Row.FailedOn_, Row.Worker_) == Row.FailedOn_.end())
    Row.FailedOn_.push_back(Row.Worker_);
  for (const InstanceId &Worker : Row.FailedOn_)
    FailureAttribution_.recordFailure(Now, Row.Job_, Worker);
  // A smaller pool can't provide MaxFailedWorkers_ distinct workers.
  const std::size_t Limit =
      PoolSize == 0 ? Settings_.MaxFailedWorkers_
                    : std::min(Settings_.MaxFailedWorkers_, PoolSize);
  if (Row.FailedOn_.size() >= Limit)
    Row.State_ = JobState::SetAside;
}

bool JobDuty::assignWorker(Placement &P, JobRow &Row) {
  const auto Worker = P.chooseWorker(Row);
  if (!Worker)
    return false;
  Row.State_ = JobState::Running;
  Row.Worker_ = *Worker;
  Row.Epoch_ = Row.Epoch_.next();
  Row.Attempt_ = nextAttempt();
  return true;
}

void JobDuty::writePlan(Instant Now, const Expectation &Guard, Plan Planned,
                        JobEffects &Out) {
  if (Planned.empty())
    return;
  Transaction T;
  T.Attempt_ = nextAttempt();
  T.Expect_ = {Guard};
  for (const JobRow &Row : Planned) {
    Job &J = Jobs_.at(Row.Job_);
    J.PendingWrite_ = T.Attempt_;
    J.WriteSentAt_ = Now;
    T.Expect_.push_back({rowKey(Row.Job_), J.Version_});
    T.Put_.push_back({rowKey(Row.Job_), encode(Row)});
  }
  PendingPlans_[T.Attempt_] = std::move(Planned);
  Out.emplace_back(WriteJobs{std::move(T)});
}

void JobDuty::reportSuspects(Instant Now, const std::vector<JobWorker> &Workers,
                             JobEffects &Out) {
  std::set<InstanceId> Ejected;
  for (const JobWorker &W : Workers)
    if (W.Ejected_)
      Ejected.insert(W.Worker_);
  for (const InstanceId &I :
       FailureAttribution_.findSuspects(Now, Workers.size(), Ejected))
    Out.emplace_back(SuspectWorker{I});
}

AttemptId JobDuty::nextAttempt() {
  return AttemptId(AttemptPrefix_ + "." + std::to_string(++Attempts_));
}

std::string JobDuty::dump() const {
  std::map<JobState, std::uint64_t> Counts;
  for (const auto &[Id, J] : Jobs_)
    ++Counts[J.Row_.State_];
  QJsonObject States;
  for (const auto &[State, Count] : Counts)
    States[QString::fromStdString(std::string(name(State)))] = jsonValue(Count);
  return jsonText(
      {{"pool", jsonValue(Pool_.str())},
       {"jobs", States},
       {"writes_under_way", jsonValue(std::uint64_t{PendingPlans_.size()})},
       {"unreadable_rows", jsonValue(UnreadableRows_)}});
}

} // namespace heathercross::job
