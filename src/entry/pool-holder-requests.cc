// PoolHolder's requests of callers: submissions, cancels and queries.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"
#include "platform/documents.h"
#include "schedule/long-value.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace heathercross::entry {

using accounts::mayAccess;
using detail::toQString;
using schedule::Job;

namespace {

/// Submissions are rejected once the store hasn't answered for this long.
constexpr Millis StoreUnavailableAfter{400};
/// Retry-After of a submission that the pool can't accept at the moment.
constexpr Millis RetryAfterBurst{4000};

} // namespace

void PoolHolder::submit(const JobId &Id, const schedule::QueueId &Queue,
                        const AccountId &Account, const QByteArray &Body,
                        const IngressCall &Ingress, AnswerHandler OnAnswer) {
  using Kind = JobAnswer::Kind;
  if (!Ready_ || Lost_ || HandingOver_)
    return OnAnswer(Kind::NotHolder);
  if (const Job *Known = Scheduler_.find(Id))
    return OnAnswer(mayAccess(Account, Known->account()) ? Kind::Accepted
                                                         : Kind::Forbidden);
  if (const auto It = Submissions_.find(Id); It != Submissions_.end()) {
    if (!mayAccess(Account, It->second.Row_.Account_))
      return OnAnswer(Kind::Forbidden);
    It->second.Handlers_.push_back(std::move(OnAnswer));
    return;
  }
  if (UnreadableJobs_.contains(Id))
    return OnAnswer(Kind::NotHolder);
  if (answerUnknown(Ingress, true, OnAnswer))
    return;
  auto Spec = platform_api::parseJob(Body);
  if (!Spec)
    return OnAnswer(Kind::Malformed);
  const Instant Now = Context_.Clock_.now();
  Job J(Id, Queue, *Spec, Now, Account);
  J.setShare(shareOf(J, Now));
  const bool OverShare = J.share() == accounts::RateShare::OverShare;
  const schedule::PoolLoad Load =
      Scheduler_.loadAhead(J, Now, Context_.Clock_.wall());
  const Micros StartWait =
      StartRate_.startWait(Load.TasksAhead_ + J.waitingTasks(), Now);
  const auto Reject = [&](const char *Cause, Millis RetryAfter) {
    JobAnswer A{Kind::Rejected};
    A.RetryAfter_ = RetryAfter;
    A.Cause_ = Cause;
    QJsonObject F = jobFields(Id);
    F["queue"] = toQString(Queue.str());
    if (!Account.empty())
      F["account"] = toQString(Account.str());
    F["cause"] = Cause;
    F["cores"] = std::round(Load.Cores_);
    F["work_ahead_core_s"] = std::round(Load.WorkAhead_);
    F["arriving_cores"] = std::round(Load.GuaranteedArriving_);
    F["start_wait_ms"] = static_cast<qint64>(toMillis(StartWait).count());
    F["store_away_ms"] = static_cast<qint64>(
        Journal_.failingSince()
            ? toMillis(Now - *Journal_.failingSince()).count()
            : 0);
    Context_.Log_.write("job-rejected", F);
    Context_.Metrics_.add("heathercross_jobs_rejected_total",
                          "Jobs that were turned away.");
    if (OverShare)
      Context_.Metrics_.add("heathercross_over_share_jobs_rejected_total",
                            "Jobs beyond their account's guaranteed rate that "
                            "were turned away.");
    OnAnswer(A);
  };
  if (Journal_.failingSince() &&
      Now - *Journal_.failingSince() > StoreUnavailableAfter)
    return Reject("store-away",
                  schedule::retryAfterOutage(Now - *Journal_.failingSince()));
  if (!std::ranges::all_of(Spec->Steps_, [this](const schedule::StepSpec &S) {
        return Scheduler_.fitsKnownCapacity(S);
      }))
    return Reject("larger-than-any-worker", RetryAfterBurst);
  const schedule::QueueSettings &Settings = Scheduler_.settings(Queue);
  if (OverShare && !schedule::fitsBehindGuaranteed(J, Settings, Load))
    return Reject("over-share", AccountRates_.retryAfter(Account, Now));
  if (!schedule::worthAccepting(J, Settings, Load.WorkAhead_, Load.Cores_))
    return Reject("too-much-ahead",
                  schedule::retryAfterBacklog(J, Settings, Load));
  if (!schedule::endsInTime(J, Settings, StartWait)) {
    Context_.Metrics_.add("heathercross_jobs_beyond_start_rate_total",
                          "Jobs turned away because this entry couldn't start "
                          "them in time.");
    return Reject("start-rate", schedule::retryAfterStarts(StartWait));
  }
  Submission S;
  S.Row_ = {Queue, Body, Context_.Clock_.wall(), self().Epoch_, Account};
  std::string Row = encodeJob(S.Row_);
  if (Row.size() > schedule::MaxValueBytes) {
    QJsonObject F = jobFields(Id);
    F["bytes"] = static_cast<qint64>(Row.size());
    Context_.Log_.write("job-too-long", F);
    return OnAnswer(Kind::Malformed);
  }
  const std::size_t Memory = schedule::memoryOf(*Spec, Row.size());
  if (Memory > JobMemory_.limit()) {
    QJsonObject F = jobFields(Id);
    F["memory"] = static_cast<qint64>(Memory);
    Context_.Log_.write("job-too-large", F);
    return OnAnswer(Kind::Malformed);
  }
  if (!JobMemory_.fits(Memory))
    return Reject("memory-full", RetryAfterBurst);
  JobMemory_.add(Id, Memory);
  S.Spec_ = std::move(*Spec);
  S.Share_ = J.share();
  S.ReceivedAt_ = Now;
  S.Handlers_.push_back(std::move(OnAnswer));
  // Batches are applied in order, so that the settings are stored with the job
  // or before it.
  storeQueue(Queue);
  S.Ticket_ = JobRows_.add(Id, std::move(Row), Now);
  Submissions_.emplace(Id, std::move(S));
  scheduleRound();
}

void PoolHolder::state(const JobId &Id, const AccountId &Account,
                       const IngressCall &Ingress,
                       const AnswerHandler &OnAnswer) {
  using Kind = JobAnswer::Kind;
  if (!Ready_ || Lost_)
    return OnAnswer(Kind::NotHolder);
  const Job *J = Scheduler_.find(Id);
  if (!J) {
    const auto It = Submissions_.find(Id);
    if (It == Submissions_.end()) {
      if (UnreadableJobs_.contains(Id))
        return OnAnswer(Kind::NotHolder);
      answerUnknown(Ingress, false, OnAnswer);
      return;
    }
    return OnAnswer(mayAccess(Account, It->second.Row_.Account_)
                        ? Kind::Known
                        : Kind::Forbidden);
  }
  if (!mayAccess(Account, J->account()))
    return OnAnswer(Kind::Forbidden);
  JobAnswer A{Kind::Known};
  A.State_ = J->state();
  // An end that isn't durable yet would be lost if this holder failed now.
  if (isFinal(A.State_) && !JobRows_.isEndStored(Id))
    A.State_ = schedule::JobState::Active;
  OnAnswer(A);
}

void PoolHolder::cancel(const JobId &Id, const AccountId &Account,
                        const IngressCall &Ingress, AnswerHandler OnAnswer) {
  using Kind = JobAnswer::Kind;
  if (!Ready_ || Lost_ || HandingOver_)
    return OnAnswer(Kind::NotHolder);
  // A job that isn't stored yet can't be cancelled. After NotHolder the request
  // is repeated.
  if (Submissions_.contains(Id))
    return OnAnswer(Kind::NotHolder);
  const Job *J = Scheduler_.find(Id);
  if (!J) {
    if (UnreadableJobs_.contains(Id))
      return OnAnswer(Kind::NotHolder);
    answerUnknown(Ingress, false, OnAnswer);
    return;
  }
  if (!mayAccess(Account, J->account()))
    return OnAnswer(Kind::Forbidden);
  if (Scheduler_.cancel(Id))
    storeChanges();
  const auto Ticket = JobRows_.endTicket(Id);
  if (Ticket <= Journal_.durable())
    return OnAnswer(Kind::Accepted);
  Waiters_.push_back({Ticket, std::move(OnAnswer), {Kind::Accepted}});
  scheduleRound();
}

void PoolHolder::queued(const schedule::QueueId &Queue,
                        const IngressCall &Ingress,
                        const AnswerHandler &OnAnswer) {
  if (!Ready_ || Lost_)
    return OnAnswer(JobAnswer::Kind::NotHolder);
  JobAnswer A{JobAnswer::Kind::Known};
  A.Queued_ = Scheduler_.queuedJobs(Queue, Ingress.Ingress_);
  const schedule::IngressState *S = Ingresses_.find(Ingress.Ingress_);
  if (S && Ingress.FormerFor_ == 0) {
    A.Former_ = S->Former_;
    A.ClaimedFor_ = S->Claimed_;
  }
  OnAnswer(A);
}

} // namespace heathercross::entry
