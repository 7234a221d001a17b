// Carries out the decisions for one pool while this entry holds its duty.
#include "entry/pool-holder.h"

#include "platform/documents.h"
#include "platform/names.h"

#include <QJsonArray>

#include <algorithm>
#include <cmath>
#include <ranges>
#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::RenewReply;
using platform_api::StoreOutcome;
using platform_api::StoreReply;
using platform_api::WorkerCallOutcome;
using process::LineClass;
using schedule::Job;
using schedule::StartAnswer;
using schedule::StopAnswer;

/// Events that come together are decided together.
constexpr int KickMs = 4;
/// Timeouts and pauses are looked at this often.
constexpr int PumpMs = 50;
/// The store answers in 5 ms, and in 60 times that on its slow days.
constexpr Millis ReadTimeout{1500};
/// Workers answer in a few milliseconds.
constexpr Millis OrderTimeout{700};
/// The placement service takes a while for each worker that it is asked about.
constexpr Millis AdviceTimeout{3000};
/// How long a renewal waits at a worker for an end of a run.
constexpr Millis RenewWait{700};
constexpr Millis RenewTimeout{800};
/// Between renewals of a worker on which nothing runs.
constexpr Millis IdleRenew{1500};
/// Between renewals of a worker on which something runs.
constexpr Millis BusyRenew{12};
/// While ends that were just listed are being stored, asking again would only
/// list them again.
constexpr Millis UnstoredRenew{90};
constexpr Millis RenewRetry{250};
/// What runs goes on this long without a renewal: a new holder takes about
/// 3 s, and what a dead worker ran is started again only after it.
constexpr Millis RunLease{6000};
/// A holder whose row wasn't renewed for this long grants no more leases and
/// starts nothing: another one may have taken the duty. With the lease it
/// bridges an outage of the store of 10 s.
constexpr Millis MaxRenewalAge{4000};
/// A worker's clock may be 2% slow.
constexpr double ClockSlack = 1.03;
/// Room for the way of a renewal to the worker.
constexpr Millis LeaseMargin{300};
/// The store doesn't answer: submissions are rejected after this long.
constexpr Millis StoreAwayAfter{400};
/// When a caller may come again.
constexpr Millis RetrySoon{1000};
constexpr Millis RetryAfterBurst{4000};
/// Attempts of tasks restored by a later holder go on in steps of this, since
/// the last attempt of an earlier holder isn't stored.
constexpr std::uint64_t AttemptsPerEpoch = 16;
/// A worker is reported as being emptied only while that lasts long enough for
/// the report to arrive and an order for its machine to be carried out.
constexpr Millis VacateMargin{900};
constexpr Millis PurgeInterval{5000};
/// Beyond the time for which a state can be asked.
constexpr Millis PurgeMargin{5000};

QString text(const std::string &T) { return QString::fromStdString(T); }

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
  connect(&Regular_, &QTimer::timeout, this, [this] { pump(); });
  Regular_.start(PumpMs);
  load();
}

// Loading what earlier holders stored.

void PoolHolder::load() {
  Loaded_.clear();
  readRows(RosterTable, "", [this] {
    readRows(JobTable, "", [this] {
      readRows(ProgressTable, "", [this] { restoreJobs(); });
    });
  });
}

void PoolHolder::readRows(const std::string &Table, const std::string &From,
                          std::function<void()> Then) {
  Context_.Store_.read(
      Table, Pool_.str(), From, ReadTimeout,
      guarded(this, [this, Table, From,
                     Then = std::move(Then)](const StoreReply &R) {
        if (Lost_)
          return;
        if (R.Outcome_ != StoreOutcome::Ok) {
          Context_.Log_.write(
              "load-retry",
              {{"pool", text(Pool_.str())},
               {"table", text(Table)},
               {"outcome", platform_api::outcomeName(R.Outcome_)}});
          QTimer::singleShot(RenewRetry, this, [this, Table, From, Then] {
            readRows(Table, From, Then);
          });
          return;
        }
        auto &Rows = Loaded_[Table];
        Rows.insert(Rows.end(), R.Rows_.begin(), R.Rows_.end());
        if (R.More_ && !R.Rows_.empty())
          return readRows(Table, R.Rows_.back().Place_.Key_ + '\0', Then);
        Then();
      }));
}

void PoolHolder::restoreJobs() {
  const Instant Now = Context_.Clock_.now();
  const schedule::WallTime Wall = Context_.Clock_.wall();
  std::map<std::string, std::string> Progress;
  for (const auto &Row : Loaded_[ProgressTable])
    Progress[Row.Place_.Key_] = Row.Value_;
  std::size_t Open = 0;
  for (const auto &Row : Loaded_[JobTable]) {
    const JobId Id(Row.Place_.Key_);
    const auto Stored = decodeJob(Row.Value_);
    const auto Spec =
        Stored ? platform_api::parseJob(Stored->Body_) : std::nullopt;
    if (!Spec) {
      Context_.Log_.write("job-unreadable", fields(Id));
      continue;
    }
    Job J(Id, Stored->Queue_, *Spec, Now - (Wall - Stored->Accepted_));
    const auto Known = Progress.find(Row.Place_.Key_);
    try {
      if (Known != Progress.end())
        J.decodeProgress(Known->second);
    } catch (const FormatError &E) {
      QJsonObject F = fields(Id);
      F["error"] = E.what();
      Context_.Log_.write("progress-unreadable", F);
      continue;
    }
    const std::uint64_t Epochs =
        self().Epoch_.value() -
        std::min(self().Epoch_.value(), Stored->Epoch_.value());
    if (isFinal(J.state()))
      Endings_[Id] = {0, Now};
    else
      ++Open;
    Scheduler_.restore(std::move(J), static_cast<schedule::Attempt>(
                                         Epochs * AttemptsPerEpoch));
  }
  std::set<InstanceId> Awaited;
  for (const auto &Row : Loaded_[RosterTable])
    for (const auto &[Id, Address] : decodeRoster(Row.Value_)) {
      Awaited.insert(Id);
      Roster_[Id] = Address;
      if (Links_.contains(Id)) {
        Scheduler_.setRostered(Id, true);
        continue;
      }
      schedule::WorkerInfo Info;
      Info.Id_ = Id;
      Info.Pool_ = Pool_;
      Info.Address_ = Address;
      Scheduler_.setWorker(Info);
      Scheduler_.removeWorker(Id);
      Links_[Id].Address_ = Address;
    }
  // The holder before may have granted leases for a while after its last
  // renewal of the duty, which was before this one began.
  Scheduler_.awaitWorkers(Awaited, leaseEnd(Now + MaxRenewalAge));
  Context_.Log_.write("duty-loaded",
                      {{"pool", text(Pool_.str())},
                       {"epoch", static_cast<qint64>(self().Epoch_.value())},
                       {"jobs", static_cast<qint64>(Loaded_[JobTable].size())},
                       {"open", static_cast<qint64>(Open)},
                       {"awaited", static_cast<qint64>(Awaited.size())}});
  Loaded_.clear();
  Ready_ = true;
  kick();
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
    return Reject("store-away", RetrySoon);
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
    L.Lasting_ = Scheduler_.lastingOn(W);
    P.Loads_[Id] = L;
  }
  return P;
}

// The pump: decide, store, renew.

void PoolHolder::kick() {
  if (!Soon_.isActive())
    Soon_.start(KickMs);
}

void PoolHolder::pump() {
  if (Lost_)
    return;
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
  if (!N.Ends_.empty())
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
    Scheduler_.noteArrival(J, Now);
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

// Workers.

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
                            renewed(Id, R, Now, 0);
                          }));
}

void PoolHolder::renewed(const InstanceId &Id, const RenewReply &R,
                         Instant SentAt, std::int64_t) {
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
    ++L.Failures_;
    L.NextRenew_ = Now + RenewRetry;
    Scheduler_.silent(Id, Now);
    return kick();
  case WorkerCallOutcome::Ok:
    break;
  }
  L.Failures_ = 0;
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
  L.NextRenew_ =
      Now + (Unstored ? UnstoredRenew : (Busy ? BusyRenew : IdleRenew));
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
          NextAdvice_ = At + RenewRetry;
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
  L.NextRenew_ = std::min(L.NextRenew_, Now + BusyRenew);
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
        if (A != StartAnswer::Started)
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
