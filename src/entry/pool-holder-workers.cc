// PoolHolder's calls to workers and to the placement service.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <iterator>
#include <optional>
#include <string_view>
#include <utility>

namespace heathercross::entry {

using detail::RetryPause;
using detail::toQString;

namespace {

using platform_api::RenewReply;
using platform_api::WorkerCallOutcome;
using process::LineClass;
using schedule::StartAnswer;
using schedule::StopAnswer;

/// Workers usually answer within a few milliseconds.
constexpr Millis OrderTimeout{700};
/// Long poll: how long a worker may delay its answer until a run ends.
constexpr Millis RenewWait{700};
constexpr Millis RenewTimeout{800};
/// Time between renewals of a worker without runs.
constexpr Millis IdleRenewInterval{1500};
/// Minimum and maximum time between renewals of a worker with runs.
constexpr Millis MinBusyRenewInterval{12};
constexpr Millis MaxBusyRenewInterval{400};
/// Limits the renewals of all busy workers to a third of the processor time: a
/// renewal takes about 0.2 ms.
constexpr double RenewalsPerCoreSecond = 1600;
/// Renewals are delayed by this multiple of the event loop's lag, so that
/// orders come first.
constexpr int LagFactor = 4;
/// Typical duration of the long poll of a renewal.
constexpr double TypicalRenewWaitMs = 100;
/// Time between renewals of a worker whose reported run ends aren't stored yet.
/// An earlier renewal would only return the same ends again.
constexpr Millis UnstoredRenewInterval{90};

const char *answerName(StartAnswer A) {
  switch (A) {
  case StartAnswer::Started:
    return "started";
  case StartAnswer::NoRoom:
    return "no-room";
  case StartAnswer::Outdated:
    return "outdated";
  case StartAnswer::LeaseExpired:
    return "lease-expired";
  case StartAnswer::Fenced:
    return "fenced";
  case StartAnswer::NoTicket:
    return "no-ticket";
  case StartAnswer::Unhealthy:
    return "unhealthy";
  case StartAnswer::WrongInstance:
    return "wrong-instance";
  case StartAnswer::Malformed:
    return "malformed";
  case StartAnswer::Unknown:
    return "unknown";
  }
  return "unknown";
}

const char *answerName(StopAnswer A) {
  switch (A) {
  case StopAnswer::Accepted:
    return "accepted";
  case StopAnswer::Fenced:
    return "fenced";
  case StopAnswer::WrongInstance:
    return "wrong-instance";
  case StopAnswer::Malformed:
    return "malformed";
  case StopAnswer::Unknown:
    return "unknown";
  }
  return "unknown";
}

/// A counter of decisions of one kind.
struct DecisionMetric {
  std::string_view Kind_;
  const char *Name_;
  const char *Help_;
};

constexpr std::array<DecisionMetric, 8> DecisionMetrics{{
    {"copy-started", "heathercross_copies_started_total",
     "Second runs of tasks that took far longer than expected."},
    {"copy-won", "heathercross_copies_won_total",
     "Tasks that their second run completed first."},
    {"copy-stopped", "heathercross_copies_stopped_total",
     "Runs that were stopped because the task's other run was done."},
    {"worker-slow", "heathercross_slow_workers_total",
     "Workers on which tasks began to take far longer than on others."},
    {"worker-restarted", "heathercross_worker_restarts_total",
     "Workers that started again under their id."},
    {"start-unanswered", "heathercross_starts_unanswered_total",
     "Orders to start a task that got no clear answer."},
    {"start-late", "heathercross_starts_late_total",
     "Runs that were listed after their order had been given up."},
    {"busy-worker-unregistered", "heathercross_busy_workers_unregistered_total",
     "Workers that were no longer registered while they had runs."},
}};

} // namespace

Millis PoolHolder::busyRenewInterval() const {
  constexpr double MillisPerSecond = 1000;
  const auto Busy =
      std::ranges::count_if(Scheduler_.workers(), [](const auto &Entry) {
        return !Entry.second.runs().empty();
      });
  const double PerSecond = RenewalsPerCoreSecond * Context_.Settings_.CpuShare_;
  const double RenewalCycleMs =
      static_cast<double>(Busy) / PerSecond * MillisPerSecond;
  const Millis Spaced(
      static_cast<std::int64_t>(RenewalCycleMs - TypicalRenewWaitMs));
  return std::clamp(std::max(Spaced, MinBusyRenewInterval) +
                        LagFactor * toMillis(Lag_),
                    MinBusyRenewInterval, MaxBusyRenewInterval);
}

std::int64_t PoolHolder::leaseUntil(const schedule::WorkerClock &Clock) const {
  return (Clock.at(Context_.Clock_.now()) + runLease()).count();
}

void PoolHolder::checkClock(const InstanceId &Id,
                            const schedule::WorkerClock &Clock, Instant SentAt,
                            Millis Answered) {
  const Instant Now = Context_.Clock_.now();
  if (!Clock.known() || Clock.agrees(Answered, SentAt, Now))
    return;
  Context_.Log_.write(
      "worker-clock-differs",
      {{"worker", toQString(Id.str())},
       {"clock_ms", static_cast<qint64>(Answered.count())},
       {"expected_ms", static_cast<qint64>(Clock.at(SentAt).count())}});
  Scheduler_.suspectRestart(Id);
}

platform_api::WorkerAddress PoolHolder::addressOf(const InstanceId &Id) const {
  const auto It = Links_.find(Id);
  return {Id, It == Links_.end() ? std::string() : It->second.Address_};
}

bool PoolHolder::renewalDue(const InstanceId &Id, const Link &L,
                            Instant Now) const {
  if (Now < L.NextRenew_)
    return false;
  const bool Raised = L.RenewFence_ < Scheduler_.fence(Id);
  return L.RenewalsInFlight_ == 0 || (L.RenewalsInFlight_ == 1 && Raised);
}

void PoolHolder::renewLeases(const InstanceId &Id, Link &L) {
  const Instant Now = Context_.Clock_.now();
  const auto W = Scheduler_.workers().find(Id);
  const bool Known = W != Scheduler_.workers().end();
  const bool Busy = Known && W->second.isBusy(Now);
  const bool Unresponsive = Known && W->second.UnresponsiveSince_.has_value();
  const bool Confirmed = !Known || W->second.fenceConfirmed();
  const Renewal Sent{Id, L.Address_, Now, Scheduler_.fence(Id)};
  platform_api::RenewCall Call;
  Call.Fence_ = {self().Epoch_, Sent.Fence_};
  // A worker that doesn't answer may have started again. Its ends are numbered
  // anew, and its clock isn't the one that leases were counted on.
  const bool MayBeRestarted =
      Unresponsive || !Confirmed || (Known && !W->second.hasReported());
  if (!MayBeRestarted)
    Call.EndsStored_ = L.EndsStored_;
  // An unresponsive worker is polled without a lease: a lease, even if it never
  // reached the worker, would delay the restart of its tasks elsewhere. One
  // whose stored roster entry says when its runs end gets none before that
  // entry is replaced: a later holder relies on it.
  if (L.Clock_.known() && !MayBeRestarted && !RecordedSilent_.contains(Id) &&
      mayGiveOrders()) {
    Call.LeaseUntilMs_ = leaseUntil(L.Clock_);
    Call.Wait_ = Busy ? RenewWait : Millis(0);
    Scheduler_.leaseGranted(Id, Now, leaseBound());
  }
  ++L.RenewalsInFlight_;
  L.RenewFence_ = Sent.Fence_;
  Context_.Workers_.renew({Id, L.Address_}, Call, RenewTimeout,
                          guarded(this, [this, Sent](const RenewReply &R) {
                            handleRenewReply(Sent, R);
                          }));
}

bool PoolHolder::lostTo(const InstanceId &Id,
                        schedule::FenceGeneration Fence) const {
  return Fence == Scheduler_.fence(Id);
}

void PoolHolder::handleRenewReply(const Renewal &Sent, const RenewReply &R) {
  const InstanceId &Id = Sent.Worker_;
  const auto It = Links_.find(Id);
  if (Lost_ || It == Links_.end())
    return;
  Link &L = It->second;
  L.RenewalsInFlight_ = std::max(0, L.RenewalsInFlight_ - 1);
  if (R.Outcome_ == WorkerCallOutcome::Fenced && lostTo(Id, Sent.Fence_))
    return loseDuty("fenced-by-worker");
  const bool Overtaken =
      Sent.SentAt_ < L.ReportSentAt_ || Sent.Address_ != L.Address_;
  if (R.Outcome_ == WorkerCallOutcome::Fenced || Overtaken)
    return scheduleRound();
  const Instant Now = Context_.Clock_.now();
  switch (R.Outcome_) {
  case WorkerCallOutcome::Fenced:
    return;
  case WorkerCallOutcome::WrongInstance:
    EndedInstances_[Id] = It->second.Address_;
    Links_.erase(It);
    Scheduler_.instanceEnded(Id);
    return scheduleRound();
  case WorkerCallOutcome::Refused:
  case WorkerCallOutcome::Unknown:
    L.NextRenew_ = Now + RetryPause;
    Scheduler_.unresponsive(Id, Now);
    return scheduleRound();
  case WorkerCallOutcome::Ok:
    break;
  }
  if (L.Incarnation_ != R.Report_.Incarnation_)
    L.EndsStored_ = 0;
  L.Incarnation_ = R.Report_.Incarnation_;
  const bool FirstReply = !L.Clock_.known();
  L.Clock_.answered(Millis(R.ClockMs_), Now);
  if (FirstReply)
    Context_.Log_.writeRoutine("worker-first-report", [&] {
      return QJsonObject{
          {"worker", toQString(Id.str())},
          {"pool", toQString(Pool_.str())},
          {"epoch", static_cast<qint64>(self().Epoch_.value())},
          {"born", static_cast<qint64>(R.Report_.Incarnation_)},
          {"clock_ms", static_cast<qint64>(R.ClockMs_)},
          {"runs", static_cast<qint64>(R.Report_.Running_.size())}};
    });
  L.ReportSentAt_ = Sent.SentAt_;
  Scheduler_.report(Id, R.Report_, Sent.SentAt_, Sent.Fence_, Now,
                    Context_.Clock_.wall());
  if (!R.Report_.Ended_.empty())
    ReportedEnds_.insert(Id);
  const auto W = Scheduler_.workers().find(Id);
  if (W == Scheduler_.workers().end())
    return scheduleRound();
  const bool Busy = W->second.isBusy(Now);
  const bool Unstored = W->second.LastEnd_ > L.EndsStored_;
  L.NextRenew_ =
      Now + (Unstored ? std::max(UnstoredRenewInterval, busyRenewInterval())
                      : (Busy ? busyRenewInterval() : IdleRenewInterval));
  if (FirstReply || !W->second.fenceConfirmed())
    L.NextRenew_ = Now;
  scheduleRound();
}

void PoolHolder::askAdvice() {
  const Instant Now = Context_.Clock_.now();
  const auto &Address = Context_.Settings_.Advice_;
  if (AskingAdvice_ || Now < NextAdvice_ || !Address)
    return;
  const auto Request =
      Scheduler_.nextAdviceRequest(Now, Context_.Clock_.wall());
  if (!Request)
    return;
  AskingAdvice_ = true;
  std::vector<InstanceId> Workers;
  std::ranges::transform(Request->Workers_, std::back_inserter(Workers),
                         &schedule::AdvisedWorker::Id_);
  const Millis Timeout =
      schedule::AdviceBatch::timeout(Request->Times_, Workers.size());
  Context_.Advice_.ask(
      Address->str(), Request->Step_, std::move(Workers), Timeout,
      guarded(this, [this, R = *Request](const AdviceAnswer &A) {
        AskingAdvice_ = false;
        logAdvice(R, A);
        if (!A.Reply_)
          NextAdvice_ = A.AnsweredAt_ + RetryPause;
        Scheduler_.adviceAnswered(R, A.AnsweredAt_ - A.SentAt_,
                                  A.Reply_ ? std::optional(A.Reply_->Tickets_)
                                           : std::nullopt,
                                  A.validUntil());
        scheduleRound();
      }));
}

void PoolHolder::logAdvice(const schedule::AdviceRequest &R,
                           const AdviceAnswer &A) {
  Context_.Log_.writeRoutine("advice", [&] {
    QJsonObject F = jobFields(R.Step_.Job_);
    F["step"] = static_cast<qint64>(R.Step_.Step_);
    F["asked"] = static_cast<qint64>(R.Workers_.size());
    F["allowed"] =
        A.Reply_ ? static_cast<qint64>(A.Reply_->Tickets_.size()) : -1;
    F["took_ms"] =
        static_cast<qint64>(toMillis(A.AnsweredAt_ - A.SentAt_).count());
    return F;
  });
  Context_.Metrics_.add("heathercross_advice_queries_total",
                        "Queries to the placement service.");
  if (!A.Reply_)
    Context_.Metrics_.add("heathercross_advice_failures_total",
                          "Queries to the placement service that were refused "
                          "or not answered.");
}

void PoolHolder::sendOrders(const schedule::Orders &Orders) {
  for (const schedule::StopOrder &O : Orders.Stops_)
    sendStop(O);
  for (const schedule::ThrottleOrder &O : Orders.Throttles_) {
    QJsonObject F = jobFields(O.Task_.Job_);
    F["task"] = toQString(platform_api::taskName(O.Task_));
    F["worker"] = toQString(O.Worker_.str());
    F["percent"] = static_cast<qint64>(O.Percent_);
    Context_.Log_.write("pace-ordered", F, LineClass::Routine);
    Context_.Workers_.throttle(
        addressOf(O.Worker_), O, self().Epoch_, OrderTimeout,
        guarded(this, [this, O](WorkerCallOutcome R) {
          Scheduler_.throttled(O, R == WorkerCallOutcome::Ok);
          renewIfRaised(O.Worker_);
        }));
  }
  for (const schedule::StartOrder &O : Orders.Starts_)
    sendStart(O);
}

void PoolHolder::sendStart(const schedule::StartOrder &O) {
  const auto It = Links_.find(O.Worker_);
  const Instant Now = Context_.Clock_.now();
  if (It == Links_.end())
    return Scheduler_.started(O, StartAnswer::WrongInstance, Now);
  Link &L = It->second;
  Scheduler_.leaseGranted(O.Worker_, Now, leaseBound());
  L.NextRenew_ = std::min(L.NextRenew_, Now + busyRenewInterval());
  Context_.Workers_.start(
      {O.Worker_, L.Address_}, O, leaseUntil(L.Clock_), self().Epoch_,
      OrderTimeout,
      guarded(this, [this, O, Now,
                     Clock = L.Clock_](const platform_api::StartReply &Reply) {
        if (Lost_)
          return;
        const StartAnswer A = Reply.Answer_;
        const Instant AnsweredAt = Context_.Clock_.now();
        if (A != StartAnswer::Unknown)
          StartRate_.startAnswered(AnsweredAt);
        Context_.Metrics_.add("heathercross_starts_total",
                              "Orders to start a task.");
        const auto MakeFields = [&] {
          QJsonObject F = jobFields(O.Task_.Job_);
          F["task"] = toQString(platform_api::taskName(O.Task_));
          F["attempt"] = static_cast<qint64>(O.Attempt_);
          F["worker"] = toQString(O.Worker_.str());
          F["answer"] = answerName(A);
          if (Reply.Sent_ > 1)
            F["sent"] = static_cast<qint64>(Reply.Sent_);
          F["took_ms"] =
              static_cast<qint64>(toMillis(AnsweredAt - Now).count());
          return F;
        };
        if (A == StartAnswer::Started)
          Context_.Log_.writeRoutine("start-answered", MakeFields);
        else
          Context_.Log_.write("start-answered", MakeFields());
        if (A == StartAnswer::Fenced && lostTo(O.Worker_, O.Fence_))
          return loseDuty("fenced-by-worker");
        Scheduler_.started(O, Reply.orderAnswer(), AnsweredAt);
        if (Reply.ClockMs_)
          checkClock(O.Worker_, Clock, Now, Millis(*Reply.ClockMs_));
        renewIfRaised(O.Worker_);
        if (A != StartAnswer::Started || Scheduler_.heldBack())
          scheduleRound();
      }));
}

void PoolHolder::sendStop(const schedule::StopOrder &O) {
  const Instant Now = Context_.Clock_.now();
  Context_.Workers_.stop(
      addressOf(O.Worker_), O, self().Epoch_, OrderTimeout,
      guarded(this, [this, O, Now](StopAnswer A) {
        if (Lost_)
          return;
        QJsonObject F = jobFields(O.Task_.Job_);
        F["task"] = toQString(platform_api::taskName(O.Task_));
        F["attempt"] = static_cast<qint64>(O.Attempt_);
        F["worker"] = toQString(O.Worker_.str());
        F["answer"] = answerName(A);
        F["took_ms"] =
            static_cast<qint64>(toMillis(Context_.Clock_.now() - Now).count());
        Context_.Log_.write("stop-answered", F,
                            A == StopAnswer::Accepted ? LineClass::Routine
                                                      : LineClass::Decision);
        if (A == StopAnswer::Fenced && lostTo(O.Worker_, O.Fence_))
          return loseDuty("fenced-by-worker");
        Scheduler_.stopped(O, A, Context_.Clock_.now());
        if (const auto It = Links_.find(O.Worker_); It != Links_.end())
          It->second.NextRenew_ =
              std::min(It->second.NextRenew_, Context_.Clock_.now());
        scheduleRound();
      }));
}

void PoolHolder::renewIfRaised(const InstanceId &Id) {
  const auto W = Scheduler_.workers().find(Id);
  const auto L = Links_.find(Id);
  if (W != Scheduler_.workers().end() && L != Links_.end() &&
      !W->second.fenceConfirmed())
    L->second.NextRenew_ =
        std::min(L->second.NextRenew_, Context_.Clock_.now());
}

void PoolHolder::logDecisions() {
  countInterference();
  for (const schedule::Decision &D : Scheduler_.takeDecisions()) {
    const auto MakeFields = [&] {
      QJsonObject F{{"pool", toQString(Pool_.str())},
                    {"epoch", static_cast<qint64>(self().Epoch_.value())}};
      if (!D.Task_.Job_.empty()) {
        F["job"] = toQString(D.Task_.Job_.str());
        F["task"] = toQString(platform_api::taskName(D.Task_));
        F["attempt"] = static_cast<qint64>(D.Attempt_);
      }
      if (!D.Worker_.empty())
        F["worker"] = toQString(D.Worker_.str());
      if (!D.Cause_.empty())
        F["cause"] = toQString(D.Cause_);
      return F;
    };
    const std::string_view Kind = D.Kind_;
    if (Kind == "run-ended" || Kind == "run-adopted" || Kind == "advice-state")
      Context_.Log_.writeRoutine(D.Kind_, MakeFields);
    else
      Context_.Log_.write(D.Kind_, MakeFields());
    Context_.Metrics_.add("heathercross_decisions_total",
                          "Decisions of schedulers.");
    const auto M =
        std::ranges::find(DecisionMetrics, Kind, &DecisionMetric::Kind_);
    if (M != DecisionMetrics.end())
      Context_.Metrics_.add(M->Name_, M->Help_);
  }
}

} // namespace heathercross::entry
