// Carries out the decisions for one pool while this entry holds its duty.
#include "entry/pool-holder.h"

#include "entry/pool-holder-detail.h"
#include "platform/documents.h"

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace heathercross::entry {

using detail::MaxRenewalAge;
using detail::text;

namespace {

using process::LineClass;
using schedule::Job;

/// Orders to start without an answer: about 0.1 s of what an entry can send
/// with its share of the processor (one order takes about 0.4 ms with all that
/// follows from it).
constexpr double OrdersPerCore = 250;
constexpr std::size_t LeastOrders = 24;
/// Events that come together are decided together.
constexpr int KickMs = 4;
/// After a round of decisions others may use the processor for so many times as
/// long, up to a bound.
constexpr int PumpPauseFactor = 3;
constexpr int MaxPumpPauseMs = 40;
/// Timeouts and pauses are looked at this often.
constexpr int PumpMs = 50;
/// The lag of the event loop is averaged over so many of these looks.
constexpr int LagTicks = 4;
/// What runs goes on this long without a renewal: a new holder takes about
/// 3 s, and what a dead worker ran is started again only after it.
constexpr Millis RunLease{6000};
/// A worker's clock may be 2% slow.
constexpr double ClockSlack = 1.03;
/// Room for the way of a renewal to the worker.
constexpr Millis LeaseMargin{300};
/// The store doesn't answer: submissions are rejected after this long.
constexpr Millis StoreAwayAfter{400};
/// When a caller may come again.
constexpr Millis RetryAfterBurst{4000};
/// A worker is reported as being emptied only while that lasts long enough for
/// the report to arrive and an order for its machine to be carried out.
constexpr Millis VacateMargin{900};
constexpr Millis PurgeInterval{5000};
/// Beyond the time for which a state can be asked.
constexpr Millis PurgeMargin{5000};

} // namespace

PoolHolder::PoolHolder(Context &C, PoolId Pool, schedule::HolderRow Self,
                       RowVersion Guard, std::function<void()> OnLost)
    : Context_(C), Pool_(std::move(Pool)), OnLost_(std::move(OnLost)),
      Writer_(C, Pool_, std::move(Self), Guard,
              {[this] {
                 afterCommit();
                 kick();
               },
               [this] { lose("row-taken"); }}),
      Journal_(Writer_.journal()) {
  Soon_.setSingleShot(true);
  Soon_.setTimerType(Qt::PreciseTimer);
  connect(&Soon_, &QTimer::timeout, this, [this] { pump(); });
  LastRegular_ = C.Clock_.now();
  connect(&Regular_, &QTimer::timeout, this, [this] {
    noteLag();
    pump();
  });
  Regular_.start(PumpMs);
  Scheduler_.setOrderLimit(std::max(
      LeastOrders,
      static_cast<std::size_t>(OrdersPerCore * Context_.Settings_.CpuShare_)));
  load();
}

// What others tell.

void PoolHolder::setConfiguration(const schedule::Configuration &C) {
  Configuration_ = C;
  Scheduler_.setQueues(C.queuesOf(Pool_));
  kick();
}

void PoolHolder::setWorkers(
    const std::map<InstanceId, schedule::WorkerInfo> &All) {
  for (const auto &[Id, Info] : All) {
    if (Info.Pool_ != Pool_)
      continue;
    const auto Ended = EndedInstances_.find(Id);
    if (Ended != EndedInstances_.end() && Ended->second == Info.Address_)
      continue;
    Scheduler_.setWorker(Info);
    if (Roster_.contains(Id) && Journal_.durable() >= RosterTicket_)
      Scheduler_.setRostered(Id, true);
    Links_[Id].Address_ = Info.Address_;
  }
  for (const auto &[Id, W] : Scheduler_.workers())
    if (W.Registered_ && !All.contains(Id))
      Scheduler_.removeWorker(Id);
  std::erase_if(EndedInstances_,
                [&](const auto &Entry) { return !All.contains(Entry.first); });
  kick();
}

QJsonObject PoolHolder::fields(const JobId &Id) const {
  return {{"job", text(Id.str())},
          {"pool", text(Pool_.str())},
          {"epoch", static_cast<qint64>(self().Epoch_.value())}};
}

Millis PoolHolder::runLease() const {
  return std::min(RunLease, Context_.Settings_.RunLeaseMax_);
}

Instant PoolHolder::leaseEnd(Instant GrantedAt) const {
  const double Slow =
      static_cast<double>(Micros(runLease()).count()) * ClockSlack;
  return GrantedAt + Micros(static_cast<std::int64_t>(Slow)) + LeaseMargin;
}

bool PoolHolder::mayOrder() const {
  return !Lost_ && Context_.Clock_.now() - Journal_.renewedAt() < MaxRenewalAge;
}

// Requests of callers.

void PoolHolder::submit(const JobId &Id, const schedule::QueueId &Queue,
                        const QByteArray &Body, Answer OnAnswer) {
  using Kind = JobAnswer::Kind;
  if (!Ready_ || Lost_ || Leaving_)
    return OnAnswer(Kind::NotHolder);
  if (Scheduler_.find(Id))
    return OnAnswer(Kind::Accepted);
  if (const auto It = Submissions_.find(Id); It != Submissions_.end()) {
    It->second.Answers_.push_back(std::move(OnAnswer));
    return;
  }
  auto Spec = platform_api::parseJob(Body);
  if (!Spec)
    return OnAnswer(Kind::Malformed);
  const Instant Now = Context_.Clock_.now();
  const Job J(Id, Queue, *Spec, Now);
  const double Ahead = Scheduler_.workAhead(J, Now, Context_.Clock_.wall());
  const auto Reject = [&](const char *Cause, Millis RetryAfter) {
    JobAnswer A{Kind::Rejected};
    A.RetryAfter_ = RetryAfter;
    A.Cause_ = Cause;
    QJsonObject F = fields(Id);
    F["queue"] = text(Queue.str());
    F["cause"] = Cause;
    F["cores"] = std::round(Scheduler_.cores());
    F["work_ahead_core_s"] = std::round(Ahead);
    F["store_away_ms"] = static_cast<qint64>(
        Journal_.failingSince()
            ? toMillis(Now - *Journal_.failingSince()).count()
            : 0);
    Context_.Log_.write("job-rejected", F);
    Context_.Metrics_.add("heathercross_jobs_rejected_total",
                          "Jobs that were turned away.");
    OnAnswer(A);
  };
  if (Journal_.failingSince() &&
      Now - *Journal_.failingSince() > StoreAwayAfter)
    return Reject("store-away",
                  schedule::returnAfterOutage(Now - *Journal_.failingSince()));
  if (!std::ranges::all_of(Spec->Steps_, [this](const schedule::StepSpec &S) {
        return Scheduler_.everFits(S);
      }))
    return Reject("larger-than-any-worker", RetryAfterBurst);
  if (!schedule::worthAccepting(J, Scheduler_.settings(Queue), Ahead,
                                Scheduler_.cores()))
    return Reject("too-much-ahead", RetryAfterBurst);
  Submission S;
  S.Row_ = {Queue, Body, Context_.Clock_.wall(), self().Epoch_};
  S.Spec_ = std::move(*Spec);
  S.Since_ = Now;
  S.Answers_.push_back(std::move(OnAnswer));
  S.Ticket_ = Journal_.put(
      {schedule::RowKind::Job, Id.str(), encodeJob(S.Row_)}, true, Now);
  Submissions_.emplace(Id, std::move(S));
  kick();
}

void PoolHolder::state(const JobId &Id, const Answer &OnAnswer) {
  using Kind = JobAnswer::Kind;
  if (!Ready_ || Lost_)
    return OnAnswer(Kind::NotHolder);
  const Job *J = Scheduler_.find(Id);
  if (!J)
    return OnAnswer(
        {Submissions_.contains(Id) ? Kind::Known : Kind::NoSuchJob});
  JobAnswer A{Kind::Known};
  A.State_ = J->state();
  const auto End = Endings_.find(Id);
  // An end that isn't durable yet could be forgotten with this holder.
  if (isFinal(A.State_) &&
      (End == Endings_.end() || End->second.Ticket_ > Journal_.durable()))
    A.State_ = schedule::JobState::Active;
  OnAnswer(A);
}

void PoolHolder::cancel(const JobId &Id, Answer OnAnswer) {
  using Kind = JobAnswer::Kind;
  if (!Ready_ || Lost_ || Leaving_)
    return OnAnswer(Kind::NotHolder);
  if (Submissions_.contains(Id))
    return OnAnswer(Kind::NotHolder);
  const Job *J = Scheduler_.find(Id);
  if (!J)
    return OnAnswer(Kind::NoSuchJob);
  if (Scheduler_.cancel(Id))
    storeChanges();
  const auto End = Endings_.find(Id);
  const auto Ticket = End == Endings_.end() ? 0 : End->second.Ticket_;
  if (Ticket <= Journal_.durable())
    return OnAnswer(Kind::Accepted);
  Waiters_.push_back({Ticket, std::move(OnAnswer), {Kind::Accepted}});
  kick();
}

void PoolHolder::queued(const schedule::QueueId &Queue,
                        const Answer &OnAnswer) {
  if (!Ready_ || Lost_)
    return OnAnswer(JobAnswer::Kind::NotHolder);
  JobAnswer A{JobAnswer::Kind::Known};
  A.Queued_ = Scheduler_.queued(Queue);
  OnAnswer(A);
}

void PoolHolder::vacate(const std::set<InstanceId> &Workers, Millis For) {
  Scheduler_.vacate(Workers, Context_.Clock_.now() + For);
  kick();
}

std::optional<PoolPicture> PoolHolder::picture() const {
  if (!Ready_ || Lost_ || Leaving_)
    return std::nullopt;
  PoolPicture P;
  P.Demand_ = Scheduler_.demand(Context_.Clock_.now(), Context_.Clock_.wall());
  P.Cores_ = Scheduler_.cores();
  for (const auto &[Id, W] : Scheduler_.workers()) {
    // What runs on a worker that hasn't answered yet isn't known.
    if (!W.heard())
      continue;
    PoolPicture::Load L;
    L.Runs_ = static_cast<std::uint32_t>(W.runs().size());
    L.Vacating_ = W.VacateUntil_ > Context_.Clock_.now() + VacateMargin;
    L.Lasting_ = W.lasting();
    P.Loads_[Id] = L;
  }
  return P;
}

// The pump: decide, store, renew.

void PoolHolder::kick() {
  if (!Soon_.isActive())
    Soon_.start(std::max(KickMs, PumpPauseMs_));
}

void PoolHolder::noteLag() {
  const Instant Now = Context_.Clock_.now();
  const Micros Late = Now - LastRegular_ - Millis(PumpMs);
  LastRegular_ = Now;
  // The mean over some ticks: a single late one says little.
  Lag_ += (std::max(Micros(0), Late) - Lag_) / LagTicks;
}

void PoolHolder::pump() {
  if (Lost_)
    return;
  const Instant Began = Context_.Clock_.now();
  if (Ready_) {
    if (!Leaving_ && mayOrder())
      deliver(Scheduler_.step(Context_.Clock_.now(), Context_.Clock_.wall()));
    askAdvice();
    storeChanges();
    logDecisions();
    updateRoster();
    purge();
    const Instant Now = Context_.Clock_.now();
    std::erase_if(Links_, [this](const auto &Entry) {
      return !Scheduler_.workers().contains(Entry.first) &&
             !Entry.second.RenewInFlight_;
    });
    for (auto &[Id, L] : Links_)
      if (!L.RenewInFlight_ && Now >= L.NextRenew_)
        renew(Id, L);
  }
  const auto Took = toMillis(Context_.Clock_.now() - Began).count();
  PumpPauseMs_ = static_cast<int>(
      std::min<std::int64_t>(Took * PumpPauseFactor, MaxPumpPauseMs));
  Writer_.pump();
  if (Leaving_ && !Journal_.inFlight() && Journal_.waiting() == 0 &&
      OnHandedOver_)
    std::exchange(OnHandedOver_, nullptr)();
}

void PoolHolder::storeChanges() {
  for (const JobId &Id : Scheduler_.takeChanged()) {
    const Job *J = Scheduler_.find(Id);
    if (J)
      putProgress(Id, isFinal(J->state()));
  }
  // Ends seen until now are covered by the changes put until now.
  Noted N;
  N.Ticket_ = Journal_.last();
  for (const auto &[Id, W] : Scheduler_.workers()) {
    const auto L = Links_.find(Id);
    if (L != Links_.end() && W.LastEnd_ > L->second.EndsStored_)
      N.Ends_[Id] = {W.Born_.value_or(0), W.LastEnd_};
  }
  if (!Noted_.empty() && Noted_.back().Ticket_ == N.Ticket_)
    Noted_.back() = std::move(N);
  else if (!N.Ends_.empty())
    Noted_.push_back(std::move(N));
  afterCommit();
}

void PoolHolder::putProgress(const JobId &Id, bool Urgent) {
  const Instant Now = Context_.Clock_.now();
  const Job *J = Scheduler_.find(Id);
  const auto Ticket =
      Journal_.put({schedule::RowKind::Progress, Id.str(), J->encodeProgress()},
                   Urgent, Now);
  if (isFinal(J->state()))
    Endings_[Id] = {Ticket, Now};
}

void PoolHolder::updateRoster() {
  const Instant Now = Context_.Clock_.now();
  bool Added = false;
  std::vector<InstanceId> Dropped;
  for (const auto &[Id, Address] : Roster_) {
    const auto W = Scheduler_.workers().find(Id);
    if (W == Scheduler_.workers().end() || !W->second.mayHold(Now))
      Dropped.push_back(Id);
  }
  for (const InstanceId &Id : Dropped) {
    Scheduler_.setRostered(Id, false);
    Roster_.erase(Id);
  }
  for (const auto &[Id, W] : Scheduler_.workers())
    if (W.mayHold(Now) && !Roster_.contains(Id)) {
      Roster_[Id] = W.info().Address_;
      Added = true;
    }
  if (!Added && Dropped.empty())
    return;
  const auto Ticket = Journal_.put(
      {schedule::RowKind::Roster, RosterKey, encodeRoster(Roster_)}, Added,
      Now);
  // Without additions the roster that is stored is larger than needed.
  if (Added)
    RosterTicket_ = Ticket;
}

void PoolHolder::purge() {
  const Instant Now = Context_.Clock_.now();
  if (Now - LastPurge_ < PurgeInterval)
    return;
  LastPurge_ = Now;
  std::erase_if(Endings_, [&](const auto &Entry) {
    const auto &[Id, End] = Entry;
    if (Now - End.At_ < Context_.Settings_.StatusKept_ + PurgeMargin ||
        End.Ticket_ > Journal_.durable())
      return false;
    Journal_.put({schedule::RowKind::Progress, Id.str(), std::nullopt}, false,
                 Now);
    Journal_.put({schedule::RowKind::Job, Id.str(), std::nullopt}, false, Now);
    Scheduler_.forget(Id);
    return true;
  });
}

void PoolHolder::afterCommit() {
  const auto Durable = Journal_.durable();
  const Instant Now = Context_.Clock_.now();
  for (auto It = Submissions_.begin(); It != Submissions_.end();) {
    if (It->second.Ticket_ > Durable) {
      ++It;
      continue;
    }
    auto Node = Submissions_.extract(It++);
    Submission &S = Node.mapped();
    QJsonObject F = fields(Node.key());
    F["queue"] = text(S.Row_.Queue_.str());
    F["stored_ms"] = static_cast<qint64>(toMillis(Now - S.Since_).count());
    Context_.Log_.write("job-stored", F, LineClass::Routine);
    Context_.Metrics_.add("heathercross_jobs_accepted_total",
                          "Jobs that were stored and accepted.");
    Job J(Node.key(), S.Row_.Queue_, std::move(S.Spec_), S.Since_);
    Scheduler_.noteArrival(J, S.Since_);
    Scheduler_.admit(std::move(J));
    for (const Answer &A : S.Answers_)
      A(JobAnswer::Kind::Accepted);
    kick();
  }
  const auto Due = [Durable](const Waiter &W) { return W.Ticket_ <= Durable; };
  std::vector<Waiter> Answered;
  std::ranges::copy_if(Waiters_, std::back_inserter(Answered), Due);
  std::erase_if(Waiters_, Due);
  for (const Waiter &W : Answered)
    W.Answer_(W.Then_);
  std::erase_if(Noted_, [&](const Noted &N) {
    if (N.Ticket_ > Durable)
      return false;
    for (const auto &[Id, End] : N.Ends_) {
      const auto L = Links_.find(Id);
      if (L != Links_.end() && L->second.Born_ == End.first)
        L->second.EndsStored_ = std::max(L->second.EndsStored_, End.second);
    }
    return true;
  });
  if (Durable >= RosterTicket_)
    for (const auto &[Id, Address] : Roster_)
      Scheduler_.setRostered(Id, true);
}

void PoolHolder::lose(const char *Cause) {
  if (std::exchange(Lost_, true))
    return;
  Regular_.stop();
  Soon_.stop();
  logDecisions();
  Context_.Log_.write("duty-lost",
                      {{"pool", text(Pool_.str())},
                       {"epoch", static_cast<qint64>(self().Epoch_.value())},
                       {"cause", Cause}});
  Context_.Metrics_.add("heathercross_duties_lost_total",
                        "Duties that another entry took.");
  JobAnswer Moved(JobAnswer::Kind::NotHolder);
  for (auto &[Id, S] : Submissions_) {
    Moved.Uncertain_ = !Journal_.withdraw(S.Ticket_);
    for (const Answer &A : S.Answers_)
      A(Moved);
  }
  Moved.Uncertain_ = true;
  for (const Waiter &W : Waiters_)
    W.Answer_(Moved);
  Submissions_.clear();
  Waiters_.clear();
  OnLost_();
}

void PoolHolder::handOver(std::function<void()> OnDone) {
  Leaving_ = true;
  OnHandedOver_ = [this, OnDone = std::move(OnDone)] {
    Writer_.giveBack(guarded(this, [this, OnDone] {
      lose("handed-over");
      OnDone();
    }));
  };
  kick();
}

QJsonObject PoolHolder::dump() const {
  QJsonObject Workers;
  for (const auto &[Id, W] : Scheduler_.workers())
    Workers[text(Id.str())] =
        QJsonObject{{"runs", static_cast<qint64>(W.runs().size())},
                    {"used_cpu_milli", static_cast<qint64>(W.used().CpuMilli_)},
                    {"registered", W.Registered_},
                    {"draining", W.info().Draining_},
                    {"silent", W.SilentSince_.has_value()},
                    {"last_end", static_cast<qint64>(W.LastEnd_)}};
  return {{"epoch", static_cast<qint64>(self().Epoch_.value())},
          {"ready", Ready_},
          {"jobs", static_cast<qint64>(Scheduler_.jobs().size())},
          {"unstored", static_cast<qint64>(Journal_.waiting())},
          {"workers", Workers}};
}

} // namespace heathercross::entry
