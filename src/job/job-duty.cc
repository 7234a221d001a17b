// Reconciliation of a pool's jobs with their workers.
#include "job/job-duty.h"

#include "core/json-place.h"

#include <algorithm>

namespace heathercross::job {

namespace {

/// Whether a row may differ from what is known, after a write that failed.
bool mustReadBack(const CommitResult &Result, const JobId &Job) {
  if (Result.Status_ == CommitStatus::Conflict)
    return std::ranges::find(Result.Conflicts_, rowKey(Job),
                             &Expectation::Key_) != Result.Conflicts_.end();
  return Result.Status_ == CommitStatus::Uncertain;
}

} // namespace

JobDuty::JobDuty(PoolId Pool, std::string AttemptPrefix, JobSettings Settings)
    : Pool_(std::move(Pool)), AttemptPrefix_(std::move(AttemptPrefix)),
      Settings_(Settings), Blame_(Settings.Blame_) {}

JobEffects JobDuty::onRows(Instant Now, const std::vector<Row> &Rows) {
  JobEffects Out;
  for (const Row &R : Rows) {
    // One row that can't be read mustn't stop the others.
    try {
      takeRow(Now, R, Out);
    } catch (const FormatError &) {
      ++UnreadableRows_;
    }
  }
  return Out;
}

JobEffects JobDuty::onReply(Instant Now, const TaskReply &Reply) {
  JobEffects Out;
  const auto I = Jobs_.find(Reply.Job_);
  if (I == Jobs_.end() || !I->second.runs())
    return Out;
  Job &J = I->second;
  if (J.Row_.Worker_ != Reply.Worker_ || J.Row_.Epoch_ != Reply.Epoch_)
    return Out;
  if (Reply.Answer_ == TaskAnswer::NoAnswer) {
    J.CheckpointAsked_ = false;
    return Out;
  }
  J.HeardAt_ = Now;
  switch (Reply.Answer_) {
  case TaskAnswer::NoAnswer:
  case TaskAnswer::Running:
    break;
  case TaskAnswer::Duplicate:
    J.DuplicateSeen_ = true;
    renew(Now, J, Out);
    break;
  case TaskAnswer::NotFound:
    taskMissing(Now, J, Out);
    break;
  case TaskAnswer::StaleEpoch:
    Out.emplace_back(ReadJobs{{Reply.Job_}});
    break;
  case TaskAnswer::Done:
  case TaskAnswer::Failed:
  case TaskAnswer::Checkpointed:
  case TaskAnswer::Refused:
    endTask(Now, J, Reply);
    break;
  }
  return Out;
}

JobEffects JobDuty::onWritten(Instant Now, const AttemptId &Attempt,
                              const CommitResult &Result) {
  JobEffects Out;
  const auto Batch = Batches_.extract(Attempt);
  if (Batch.empty())
    return Out;
  if (Result.Status_ == CommitStatus::Committed) {
    for (const JobRow &Row : Batch.mapped())
      committed(Now, Row, Result.Version_, Out);
    return Out;
  }
  ReadJobs ReadBack;
  for (const JobRow &Row : Batch.mapped()) {
    const auto I = Jobs_.find(Row.Job_);
    if (I == Jobs_.end() || I->second.Writing_ != Attempt)
      continue;
    // After an uncertain answer the row stays blocked until it is read back.
    if (Result.Status_ != CommitStatus::Uncertain)
      I->second.Writing_.reset();
    if (mustReadBack(Result, Row.Job_))
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
  renewDue(Now, Out);
  readBackOverdue(Now, Out);
  Placement P = placement(Now, Workers, Quotas);
  Plan Planned = planEndings(Now, Workers.size(), P);
  planWaiting(P, Planned);
  write(Now, Guard, std::move(Planned), Out);
  suspectWorkers(Now, Workers, Out);
  return Out;
}

JobEffects JobDuty::preempt(const InstanceId &Worker) {
  Job *Youngest = nullptr;
  for (auto &[Id, J] : Jobs_) {
    const bool MayStop =
        J.runs() && J.Row_.Worker_ == Worker && !J.CheckpointAsked_;
    if (MayStop && (!Youngest || J.PlacedAt_ > Youngest->PlacedAt_))
      Youngest = &J;
  }
  JobEffects Out;
  if (Youngest)
    askCheckpoint(*Youngest, Out);
  return Out;
}

JobEffects JobDuty::vacate(const InstanceId &Worker) {
  JobEffects Out;
  for (auto &[Id, J] : Jobs_)
    if (J.runs() && J.Row_.Worker_ == Worker && !J.CheckpointAsked_)
      askCheckpoint(J, Out);
  return Out;
}

void JobDuty::take(Instant Now, Job &J, JobRow Row, RowVersion Version) {
  J = Job();
  J.Row_ = std::move(Row);
  J.Version_ = Version;
  J.PlacedAt_ = Now;
  J.HeardAt_ = Now;
}

void JobDuty::takeRow(Instant Now, const Row &R, JobEffects &Out) {
  JobRow Row = decodeJobRow(R.Value_);
  const auto Held = Jobs_.find(Row.Job_);
  if (Held != Jobs_.end() && R.Version_ <= Held->second.Version_) {
    // Read back unchanged. A write that is still under way expects this
    // version too, so at most one of it and the next plan succeeds.
    if (R.Version_ == Held->second.Version_)
      Held->second.Writing_.reset();
    return;
  }
  if (Row.Pool_ != Pool_ || isFinal(Row.State_))
    return drop(Row.Job_, Row, Out);
  Job &J = Jobs_[Row.Job_];
  take(Now, J, std::move(Row), R.Version_);
}

void JobDuty::drop(const JobId &Id, const JobRow &Final, JobEffects &Out) {
  const auto Held = Jobs_.find(Id);
  if (Held == Jobs_.end())
    return;
  const JobRow &Row = Held->second.Row_;
  const bool StillRuns =
      Final.State_ == JobState::Cancelled && Row.State_ == JobState::Running;
  if (StillRuns)
    Out.emplace_back(StopTask{Row.Worker_, Id, Row.Epoch_});
  Jobs_.erase(Held);
}

void JobDuty::committed(Instant Now, const JobRow &Row, RowVersion Version,
                        JobEffects &Out) {
  const auto I = Jobs_.find(Row.Job_);
  if (I == Jobs_.end() || Version <= I->second.Version_)
    return;
  if (isFinal(Row.State_)) {
    Jobs_.erase(I);
    return;
  }
  take(Now, I->second, Row, Version);
  if (Row.State_ == JobState::Running)
    start(I->second, Out);
}

void JobDuty::taskMissing(Instant Now, Job &J, JobEffects &Out) {
  // Either the start never arrived, and the same attempt may go again, or the
  // task was started and is lost.
  if (J.DuplicateSeen_) {
    J.Ending_ = Ending{TaskAnswer::NotFound, "", ""};
    return;
  }
  J.RenewedAt_ = Now;
  start(J, Out);
}

void JobDuty::endTask(Instant Now, Job &J, const TaskReply &Reply) {
  J.Ending_ = Ending{Reply.Answer_, Reply.Result_, Reply.Checkpoint_};
  if (Reply.Answer_ == TaskAnswer::Refused)
    PausedUntil_[Reply.Worker_] = Now + Settings_.RefusedPause_;
  if (Reply.Answer_ == TaskAnswer::Done)
    Blame_.succeeded(Reply.Worker_);
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

void JobDuty::renewDue(Instant Now, JobEffects &Out) {
  for (auto &[Id, J] : Jobs_) {
    if (!J.runs())
      continue;
    const Micros Silent = Now - J.HeardAt_;
    const bool Due =
        !J.RenewedAt_ || Now - *J.RenewedAt_ >= Settings_.RenewEvery_;
    // A renewal may arrive without its answer. Once renewals have stopped for
    // a whole lease, the worker has stopped the task by itself.
    if (Silent >= 2 * Settings_.Lease_)
      loseTask(Now, J);
    else if (Silent < Settings_.Lease_ && Due)
      renew(Now, J, Out);
  }
}

void JobDuty::loseTask(Instant Now, Job &J) {
  J.Ending_ = Ending();
  PausedUntil_[J.Row_.Worker_] = Now + Settings_.Lease_;
}

void JobDuty::askCheckpoint(Job &J, JobEffects &Out) {
  J.CheckpointAsked_ = true;
  Out.emplace_back(CheckpointTask{J.Row_.Worker_, J.Row_.Job_, J.Row_.Epoch_});
}

void JobDuty::readBackOverdue(Instant Now, JobEffects &Out) {
  ReadJobs Overdue;
  for (auto &[Id, J] : Jobs_) {
    const bool Late =
        J.Writing_ && Now - J.WritingSince_ >= Settings_.WriteTimeout_;
    if (!Late || Overdue.Jobs_.size() == MaxBatch)
      continue;
    J.WritingSince_ = Now;
    Overdue.Jobs_.push_back(Id);
  }
  if (!Overdue.Jobs_.empty())
    Out.emplace_back(std::move(Overdue));
}

Placement JobDuty::placement(Instant Now, const std::vector<JobWorker> &Workers,
                             const std::map<TeamId, Quota> &Quotas) {
  Placement P(Workers, Quotas);
  std::erase_if(PausedUntil_, [&](const auto &W) { return W.second <= Now; });
  for (const auto &[Worker, Until] : PausedUntil_)
    P.exclude(Worker);
  for (const auto &[Id, J] : Jobs_) {
    if (J.Row_.State_ != JobState::Running)
      continue;
    P.countRunning(J.Row_.Team_);
    // The worker's report lags behind what was placed just now.
    if (Now - J.PlacedAt_ < Settings_.RenewEvery_)
      P.occupy(J.Row_.Worker_);
  }
  return P;
}

JobDuty::Plan JobDuty::planEndings(Instant Now, std::size_t PoolSize,
                                   Placement &P) {
  Plan Planned;
  for (const auto &[Id, J] : Jobs_) {
    if (!J.Ending_ || J.Writing_ || Planned.size() == MaxBatch)
      continue;
    JobRow Row = J.Row_;
    applyEnding(Now, *J.Ending_, PoolSize, Row);
    if (Row.State_ == JobState::Waiting)
      place(P, Row);
    Planned.push_back(std::move(Row));
  }
  return Planned;
}

void JobDuty::planWaiting(Placement &P, Plan &Planned) {
  std::map<TeamId, std::vector<const Job *>> Queues;
  for (const auto &[Id, J] : Jobs_)
    if (J.Row_.State_ == JobState::Waiting && !J.Writing_)
      Queues[J.Row_.Team_].push_back(&J);
  // Oldest at the back, so that each is taken off in turn.
  for (auto &[Team, Queue] : Queues)
    std::ranges::sort(Queue, std::ranges::greater(), &Job::Version_);
  while (!Queues.empty() && Planned.size() < MaxBatch && P.anyFree()) {
    const auto Next = std::ranges::min_element(
        Queues, {}, [&](const auto &Q) { return P.load(Q.first); });
    JobRow Row = Next->second.back()->Row_;
    Next->second.pop_back();
    if (Next->second.empty())
      Queues.erase(Next);
    if (place(P, Row))
      Planned.push_back(std::move(Row));
  }
}

void JobDuty::applyEnding(Instant Now, const Ending &E, std::size_t PoolSize,
                          JobRow &Row) {
  if (E.Answer_ == TaskAnswer::Done) {
    Row.State_ = JobState::Done;
    Row.Result_ = E.Result_;
    Row.Bills_ = 1;
    return;
  }
  Row.State_ = JobState::Waiting;
  if (E.Answer_ == TaskAnswer::Failed)
    applyFailure(Now, PoolSize, Row);
  if (E.Answer_ == TaskAnswer::Checkpointed && !E.Checkpoint_.empty())
    Row.Checkpoint_ = E.Checkpoint_;
  Row.Worker_ = InstanceId();
  Row.Attempt_ = AttemptId();
}

void JobDuty::applyFailure(Instant Now, std::size_t PoolSize, JobRow &Row) {
  if (std::ranges::find(Row.FailedOn_, Row.Worker_) == Row.FailedOn_.end())
    Row.FailedOn_.push_back(Row.Worker_);
  for (const InstanceId &Worker : Row.FailedOn_)
    Blame_.failed(Now, Row.Job_, Worker);
  // A pool with fewer workers than that can't give more of them.
  const std::size_t Limit = PoolSize == 0
                                ? Settings_.MaxFailedOn_
                                : std::min(Settings_.MaxFailedOn_, PoolSize);
  if (Row.FailedOn_.size() >= Limit)
    Row.State_ = JobState::SetAside;
}

bool JobDuty::place(Placement &P, JobRow &Row) {
  const auto Worker = P.choose(Row);
  if (!Worker)
    return false;
  Row.State_ = JobState::Running;
  Row.Worker_ = *Worker;
  Row.Epoch_ = Row.Epoch_.next();
  Row.Attempt_ = nextAttempt();
  return true;
}

void JobDuty::write(Instant Now, const Expectation &Guard, Plan Planned,
                    JobEffects &Out) {
  if (Planned.empty())
    return;
  Transaction T;
  T.Attempt_ = nextAttempt();
  T.Expect_ = {Guard};
  for (const JobRow &Row : Planned) {
    Job &J = Jobs_.at(Row.Job_);
    J.Writing_ = T.Attempt_;
    J.WritingSince_ = Now;
    T.Expect_.push_back({rowKey(Row.Job_), J.Version_});
    T.Put_.push_back({rowKey(Row.Job_), encode(Row)});
  }
  Batches_[T.Attempt_] = std::move(Planned);
  Out.emplace_back(WriteJobs{std::move(T)});
}

void JobDuty::suspectWorkers(Instant Now, const std::vector<JobWorker> &Workers,
                             JobEffects &Out) {
  std::set<InstanceId> Ejected;
  for (const JobWorker &W : Workers)
    if (W.Ejected_)
      Ejected.insert(W.Worker_);
  for (const InstanceId &I : Blame_.suspects(Now, Workers.size(), Ejected))
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
       {"writes_under_way", jsonValue(std::uint64_t{Batches_.size()})},
       {"unreadable_rows", jsonValue(UnreadableRows_)}});
}

} // namespace heathercross::job
