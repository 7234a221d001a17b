// How a pool's holder talks to workers: leases, orders, advice.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"
#include "platform/names.h"

#include <algorithm>
#include <utility>

namespace heathercross::entry {

using detail::RetryPause;
using detail::text;

namespace {

using platform_api::RenewReply;
using platform_api::WorkerCallOutcome;
using process::LineClass;
using schedule::StartAnswer;
using schedule::StopAnswer;

/// Workers answer in a few milliseconds.
constexpr Millis OrderTimeout{700};
/// The placement service takes a while for each worker that it is asked about.
constexpr Millis AdviceTimeout{3000};
/// How long a renewal waits at a worker for an end of a run.
constexpr Millis RenewWait{700};
constexpr Millis RenewTimeout{800};
/// Between renewals of a worker on which nothing runs.
constexpr Millis IdleRenew{1500};
/// Between renewals of a worker on which something runs: at least the first
/// figure, and longer where so many busy workers would take too much of the
/// processor. One renewal takes about 0.2 ms; a third of the processor goes to
/// them.
constexpr Millis BusyRenew{12};
constexpr Millis LongestBusyRenew{400};
constexpr double RenewalsPerCoreSecond = 1600;
/// Renewals make room when the event loop is late: orders come first.
constexpr int LagFactor = 4;
/// A renewal waits about this long at the worker for an end.
constexpr double UsualRenewWaitMs = 100;
/// While ends that were just listed are being stored, asking again would only
/// list them again.
constexpr Millis UnstoredRenew{90};

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

} // namespace

Millis PoolHolder::busyRenewPause() const {
  constexpr double MillisPerSecond = 1000;
  const auto Busy =
      std::ranges::count_if(Scheduler_.workers(), [](const auto &Entry) {
        return !Entry.second.runs().empty();
      });
  const double PerSecond = RenewalsPerCoreSecond * Context_.Settings_.CpuShare_;
  const double Round = static_cast<double>(Busy) / PerSecond * MillisPerSecond;
  const Millis Spaced(static_cast<std::int64_t>(Round - UsualRenewWaitMs));
  return std::clamp(std::max(Spaced, BusyRenew) + LagFactor * toMillis(Lag_),
                    BusyRenew, LongestBusyRenew);
}

std::int64_t PoolHolder::clockOf(const Link &L) const {
  return L.ClockMs_ + toMillis(Context_.Clock_.now() - L.ClockAt_).count();
}

platform_api::WorkerAddress PoolHolder::addressOf(const InstanceId &Id) const {
  const auto It = Links_.find(Id);
  return {Id, It == Links_.end() ? std::string() : It->second.Address_};
}

void PoolHolder::renew(const InstanceId &Id, Link &L) {
  const Instant Now = Context_.Clock_.now();
  const auto W = Scheduler_.workers().find(Id);
  const bool Busy =
      W != Scheduler_.workers().end() && !W->second.runs().empty();
  const bool Silent =
      W != Scheduler_.workers().end() && W->second.SilentSince_.has_value();
  platform_api::RenewCall Call;
  Call.Epoch_ = self().Epoch_;
  Call.EndsStored_ = L.EndsStored_;
  // A silent worker is only looked at: leases that nobody confirms would keep
  // what it may run from being started elsewhere.
  if (L.ClockMs_ > 0 && !Silent && mayOrder()) {
    Call.LeaseUntilMs_ = clockOf(L) + runLease().count();
    Call.Wait_ = Busy ? RenewWait : Millis(0);
    Scheduler_.leaseGranted(Id, leaseEnd(Now));
  }
  L.RenewInFlight_ = true;
  Context_.Workers_.renew({Id, L.Address_}, Call, RenewTimeout,
                          guarded(this, [this, Id, Now](const RenewReply &R) {
                            renewed(Id, R, Now);
                          }));
}

void PoolHolder::renewed(const InstanceId &Id, const RenewReply &R,
                         Instant SentAt) {
  const auto It = Links_.find(Id);
  if (Lost_ || It == Links_.end())
    return;
  Link &L = It->second;
  L.RenewInFlight_ = false;
  const Instant Now = Context_.Clock_.now();
  switch (R.Outcome_) {
  case WorkerCallOutcome::Fenced:
    return lose("fenced-by-worker");
  case WorkerCallOutcome::WrongInstance:
    EndedInstances_[Id] = It->second.Address_;
    Links_.erase(It);
    Scheduler_.instanceEnded(Id);
    return kick();
  case WorkerCallOutcome::Refused:
  case WorkerCallOutcome::Unknown:
    L.NextRenew_ = Now + RetryPause;
    Scheduler_.silent(Id, Now);
    return kick();
  case WorkerCallOutcome::Ok:
    break;
  }
  if (L.Born_ != R.Report_.Born_)
    L.EndsStored_ = 0;
  L.Born_ = R.Report_.Born_;
  const bool First = L.ClockMs_ == 0;
  L.ClockMs_ = R.ClockMs_;
  L.ClockAt_ = Now;
  // What runs there may have a lease of an earlier holder.
  if (First)
    Scheduler_.leaseGranted(Id, leaseEnd(Now));
  Scheduler_.report(Id, R.Report_, SentAt, Now);
  const auto W = Scheduler_.workers().find(Id);
  if (W == Scheduler_.workers().end())
    return kick();
  const bool Busy = !W->second.runs().empty();
  const bool Unstored = W->second.LastEnd_ > L.EndsStored_;
  L.NextRenew_ = Now + (Unstored ? std::max(UnstoredRenew, busyRenewPause())
                                 : (Busy ? busyRenewPause() : IdleRenew));
  if (First)
    L.NextRenew_ = Now;
  kick();
}

void PoolHolder::askAdvice() {
  const Instant Now = Context_.Clock_.now();
  const auto &Address = Context_.Settings_.Advice_;
  if (AskingAdvice_ || Now < NextAdvice_ || !Address)
    return;
  const auto Wish = Scheduler_.adviceWish(Now, Context_.Clock_.wall());
  if (!Wish)
    return;
  AskingAdvice_ = true;
  Context_.Advice_.ask(
      Address->str(), Wish->Step_, Wish->Workers_, AdviceTimeout,
      guarded(this, [this, Step = Wish->Step_,
                     Now](std::optional<platform_api::AdviceReply> R) {
        AskingAdvice_ = false;
        QJsonObject F = fields(Step.Job_);
        F["step"] = static_cast<qint64>(Step.Step_);
        F["allowed"] = R ? static_cast<qint64>(R->Tickets_.size()) : -1;
        Context_.Log_.write("advice", F, LineClass::Routine);
        const Instant At = Context_.Clock_.now();
        if (!R)
          NextAdvice_ = At + RetryPause;
        else
          // Validity counts from the service's answer, which came after the
          // question left.
          Scheduler_.advised(Step, std::move(R->Tickets_), Now + R->Valid_);
        kick();
      }));
}

void PoolHolder::deliver(const schedule::Orders &Orders) {
  for (const schedule::StopOrder &O : Orders.Stops_)
    deliverStop(O);
  for (const schedule::PaceOrder &O : Orders.Paces_) {
    QJsonObject F = fields(O.Task_.Job_);
    F["task"] = text(platform_api::taskName(O.Task_));
    F["worker"] = text(O.Worker_.str());
    F["percent"] = static_cast<qint64>(O.Percent_);
    Context_.Log_.write("pace-ordered", F, LineClass::Routine);
    Context_.Workers_.pace(addressOf(O.Worker_), O, self().Epoch_, OrderTimeout,
                           [](WorkerCallOutcome) {});
  }
  for (const schedule::StartOrder &O : Orders.Starts_)
    deliverStart(O);
}

void PoolHolder::deliverStart(const schedule::StartOrder &O) {
  const auto It = Links_.find(O.Worker_);
  const Instant Now = Context_.Clock_.now();
  if (It == Links_.end())
    return Scheduler_.started(O.Worker_, O.Task_, O.Attempt_,
                              StartAnswer::WrongInstance, Now);
  Link &L = It->second;
  Scheduler_.leaseGranted(O.Worker_, leaseEnd(Now));
  L.NextRenew_ = std::min(L.NextRenew_, Now + busyRenewPause());
  Context_.Workers_.start(
      {O.Worker_, L.Address_}, O, clockOf(L) + runLease().count(),
      self().Epoch_, OrderTimeout, guarded(this, [this, O, Now](StartAnswer A) {
        if (Lost_)
          return;
        const Instant At = Context_.Clock_.now();
        Context_.Metrics_.add("heathercross_starts_total",
                              "Orders to start a task.");
        QJsonObject F = fields(O.Task_.Job_);
        F["task"] = text(platform_api::taskName(O.Task_));
        F["attempt"] = static_cast<qint64>(O.Attempt_);
        F["worker"] = text(O.Worker_.str());
        F["answer"] = answerName(A);
        F["took_ms"] = static_cast<qint64>(toMillis(At - Now).count());
        Context_.Log_.write("start-answered", F,
                            A == StartAnswer::Started ? LineClass::Routine
                                                      : LineClass::Decision);
        if (A == StartAnswer::Fenced)
          return lose("fenced-by-worker");
        Scheduler_.started(O.Worker_, O.Task_, O.Attempt_, A, At);
        if (A != StartAnswer::Started || Scheduler_.heldBack())
          kick();
      }));
}

void PoolHolder::deliverStop(const schedule::StopOrder &O) {
  Context_.Workers_.stop(
      addressOf(O.Worker_), O, self().Epoch_, OrderTimeout,
      guarded(this, [this, O](StopAnswer A) {
        if (Lost_)
          return;
        if (A == StopAnswer::Fenced)
          return lose("fenced-by-worker");
        Scheduler_.stopped(O.Worker_, O.Task_, O.Attempt_, A,
                           Context_.Clock_.now());
        if (const auto It = Links_.find(O.Worker_); It != Links_.end())
          It->second.NextRenew_ =
              std::min(It->second.NextRenew_, Context_.Clock_.now());
        kick();
      }));
}

void PoolHolder::logDecisions() {
  for (const schedule::Decision &D : Scheduler_.takeDecisions()) {
    QJsonObject F{{"pool", text(Pool_.str())},
                  {"epoch", static_cast<qint64>(self().Epoch_.value())}};
    if (!D.Task_.Job_.empty()) {
      F["job"] = text(D.Task_.Job_.str());
      F["task"] = text(platform_api::taskName(D.Task_));
      F["attempt"] = static_cast<qint64>(D.Attempt_);
    }
    if (!D.Worker_.empty())
      F["worker"] = text(D.Worker_.str());
    if (!D.Cause_.empty())
      F["cause"] = text(D.Cause_);
    const std::string Kind = D.Kind_;
    const bool Routine = Kind == "run-ended" || Kind == "run-adopted";
    Context_.Log_.write(D.Kind_, F,
                        Routine ? LineClass::Routine : LineClass::Decision);
    Context_.Metrics_.add("heathercross_decisions_total",
                          "Decisions of schedulers.");
  }
}

} // namespace heathercross::entry
