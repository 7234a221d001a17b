// Runs the scheduler of one pool while this entry holds the pool's duty.
#include "entry/pool-holder.h"

#include "entry/pool-holder-detail.h"

#include <algorithm>
#include <ranges>
#include <utility>

namespace heathercross::entry {

using detail::LeaseMargin;
using detail::toQString;

namespace {

using schedule::Job;

/// Maximum number of unanswered start orders per core. An order costs about
/// 0.4 ms of processor time, so an entry can send this many in about 0.1 s.
constexpr double MaxOrdersPerCore = 250;
constexpr std::size_t MinOrderLimit = 24;
/// Events that arrive within this time are handled in one scheduling round.
constexpr int RoundDelayMs = 4;
/// The pause after a scheduling round is this multiple of the round's duration,
/// up to a maximum. It leaves processor time to other work.
constexpr int RoundPauseFactor = 3;
constexpr int MaxRoundPauseMs = 40;
/// A round runs at least this often, to check timeouts and pauses.
constexpr int RoundIntervalMs = 50;
/// Number of intervals over which the event loop's lag is averaged.
constexpr int LagSamples = 4;
/// Lease of a run: how long it continues without a renewal. A new holder takes
/// about 3 s to renew the leases, so the lease must be longer. Runs of a dead
/// worker restart elsewhere only after their lease has ended.
constexpr Millis RunLease{6000};
/// Factor by which a lease may last longer on a worker's clock, which may be 2%
/// slow.
constexpr double ClockSlack = 1.03;
/// A worker is reported as being evacuated only if the evacuation lasts at
/// least this much longer. Within this time the report must arrive and an order
/// for the worker's machine must be carried out.
constexpr Millis EvacuationMargin{900};
/// A handover waits this long for changes to be stored. On a loaded entry new
/// ones may always wait. Ends that aren't stored aren't acknowledged either, so
/// workers report them to the next holder; submissions are repeated by callers'
/// entries.
constexpr Millis MaxFlush{600};
/// Ended jobs are kept this much longer than their state must be available.
constexpr Millis PurgeMargin{5000};

/// How long a lease lasts at most, whatever the worker's clock.
Millis longestWait(Millis Lease) {
  const double Slow = static_cast<double>(Lease.count()) * ClockSlack;
  return Millis(static_cast<std::int64_t>(Slow)) + LeaseMargin;
}

} // namespace

PoolHolder::PoolHolder(Context &C, PoolId Pool, schedule::HeldDuty Duty,
                       std::function<void()> OnLost)
    : Context_(C), Pool_(std::move(Pool)), OnLost_(std::move(OnLost)),
      Duty_(std::move(Duty)), Writer_(C, Pool_, Duty_,
                                      {[this] {
                                         afterCommit();
                                         scheduleRound();
                                       },
                                       [this] { loseDuty("row-taken"); }}),
      Journal_(Writer_.journal()),
      Shares_(C, Pool_, Duty_.Self_.Epoch_, [this] { scheduleRound(); }),
      Ingresses_(Pool_), JobRows_(Journal_, Writer_.storeClock()) {
  NextRound_.setSingleShot(true);
  NextRound_.setTimerType(Qt::PreciseTimer);
  connect(&NextRound_, &QTimer::timeout, this, [this] { runRound(); });
  LastTick_ = C.Clock_.now();
  connect(&RoundTimer_, &QTimer::timeout, this, [this] {
    measureLag();
    runRound();
  });
  RoundTimer_.start(RoundIntervalMs);
  Scheduler_.setOrderLimit(std::max(
      MinOrderLimit, static_cast<std::size_t>(MaxOrdersPerCore *
                                              Context_.Settings_.CpuShare_)));
  Scheduler_.setLeases(leaseBound(), maxLease());
  JobMemory_.setLimit(jobMemoryBase(), 1);
  load();
}

// Input from the configuration and the worker registrations.

void PoolHolder::setConfiguration(const schedule::Configuration &C) {
  Configuration_ = C;
  Scheduler_.setQueues(C.queuesOf(Pool_));
  Ingresses_.configure(C.Version_, C.ingressesOf(Pool_));
  NextClaim_ = Instant();
  Shares_.setConfiguration(C);
  JobMemory_.setLimit(jobMemoryBase(), C.Pools_.size());
  AccountRates_.setAccounts(C.Accounts_.value_or(accounts::AccountDirectory()),
                            Context_.Clock_.now());
  if (Ready_ && !Lost_)
    updateQueues();
  scheduleRound();
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
    if (isRostered(Id))
      Scheduler_.setRostered(Id, true);
    Link &L = Links_[Id];
    L.Address_ = Info.Address_;
    if (Info.Incarnation_ && L.Incarnation_ != 0 &&
        *Info.Incarnation_ > L.Incarnation_)
      L.NextRenew_ = std::min(L.NextRenew_, Context_.Clock_.now());
  }
  for (const auto &[Id, W] : Scheduler_.workers())
    if (W.Registered_ && !All.contains(Id))
      Scheduler_.removeWorker(Id);
  std::erase_if(EndedInstances_,
                [&](const auto &Entry) { return !All.contains(Entry.first); });
  scheduleRound();
}

QJsonObject PoolHolder::jobFields(const JobId &Id) const {
  return {{"job", toQString(Id.str())},
          {"pool", toQString(Pool_.str())},
          {"epoch", static_cast<qint64>(self().Epoch_.value())}};
}

Millis PoolHolder::runLease() const {
  return std::min(RunLease, Context_.Settings_.RunLeaseMax_);
}

Millis PoolHolder::leaseBound() const { return longestWait(runLease()); }

Millis PoolHolder::maxLease() const {
  return longestWait(Context_.Settings_.RunLeaseMax_);
}

std::uint64_t PoolHolder::jobMemoryBase() const {
  return std::min(Context_.Settings_.Memory_, LeastMemory).Count_;
}

bool PoolHolder::mayGiveOrders() const {
  return !Lost_ && !GivingBack_ &&
         Context_.Clock_.now() - Journal_.renewedAt() < schedule::MaxRenewalAge;
}

// Requests of the fleet controller.

void PoolHolder::evacuate(const std::set<InstanceId> &Workers,
                          Millis Duration) {
  Scheduler_.evacuate(Workers, Context_.Clock_.now() + Duration);
  scheduleRound();
}

std::optional<PoolSnapshot> PoolHolder::snapshot() const {
  if (!Ready_ || Lost_ || HandingOver_)
    return std::nullopt;
  PoolSnapshot P;
  P.Demand_ = Scheduler_.demand(Context_.Clock_.now(), Context_.Clock_.wall());
  P.Cores_ = Scheduler_.cores();
  P.AccountRates_ = AccountRates_.arrivalRates(Context_.Clock_.now());
  for (const auto &[Id, W] : Scheduler_.workers()) {
    // The runs of a worker that hasn't responded yet are unknown.
    if (!W.hasReported())
      continue;
    PoolSnapshot::Load L;
    L.Runs_ = static_cast<std::uint32_t>(W.runs().size());
    L.Evacuating_ = W.EvacuateUntil_ > Context_.Clock_.now() + EvacuationMargin;
    L.LongRunning_ = W.longRunningRuns();
    P.Loads_[Id] = L;
  }
  return P;
}

// A scheduling round: give orders, store changes, renew leases.

void PoolHolder::scheduleRound() {
  if (!NextRound_.isActive())
    NextRound_.start(std::max(RoundDelayMs, RoundPauseMs_));
}

void PoolHolder::measureLag() {
  const Instant Now = Context_.Clock_.now();
  const Micros Late = Now - LastTick_ - Millis(RoundIntervalMs);
  LastTick_ = Now;
  // Exponential moving average, so that one late interval counts little.
  Lag_ += (std::max(Micros(0), Late) - Lag_) / LagSamples;
}

void PoolHolder::runRound() {
  if (Lost_)
    return;
  const Instant RoundStart = Context_.Clock_.now();
  if (Ready_) {
    Scheduler_.dutyHeldAt(Journal_.renewedAt());
    Scheduler_.setAllowances(Shares_.allowances());
    if (!HandingOver_ && mayGiveOrders())
      sendOrders(
          Scheduler_.step(Context_.Clock_.now(), Context_.Clock_.wall()));
    StartRate_.roundEnded(heldBack(), Context_.Clock_.now());
    if (!HandingOver_)
      Shares_.update(Scheduler_.accountNeeds());
    askAdvice();
    claimIngress();
    storeChanges();
    logDecisions();
    logAccountShares();
    updateRoster();
    purgeEndedJobs();
    // Every known worker has a link, so there are more links only if a worker
    // was removed.
    if (Links_.size() > Scheduler_.workers().size())
      std::erase_if(Links_, [this](const auto &Entry) {
        return !Scheduler_.workers().contains(Entry.first) &&
               Entry.second.RenewalsInFlight_ == 0;
      });
    const Instant Now = Context_.Clock_.now();
    for (auto &[Id, L] : Links_)
      if (renewalDue(Id, L, Now))
        renewLeases(Id, L);
    if (Scheduler_.highestFence().value() + 1 >=
        platform_api::Fence::MaxGeneration)
      return loseDuty("fences-used-up");
  }
  const auto Took = toMillis(Context_.Clock_.now() - RoundStart).count();
  RoundPauseMs_ = static_cast<int>(
      std::min<std::int64_t>(Took * RoundPauseFactor, MaxRoundPauseMs));
  const bool Flushed =
      HandingOver_ && !Journal_.hasUnsettledBatch() &&
      (Journal_.waiting() == 0 || Context_.Clock_.now() > FlushUntil_);
  // A batch must not overtake the row that gives the duty back.
  if (!Flushed && !GivingBack_)
    Writer_.sendNextBatch();
  if (Flushed && !GivingBack_)
    giveBack();
}

void PoolHolder::storeChanges() {
  for (const JobId &Id : Scheduler_.takeChanged()) {
    if (const Job *J = Scheduler_.find(Id))
      JobRows_.putProgress(Id, J->encodeProgress(), isFinal(J->state()),
                           Context_.Clock_.now());
  }
  // All run ends reported so far are durable once the journal's last change is.
  UnstoredEnds N;
  N.Ticket_ = Journal_.last();
  for (const InstanceId &Id : std::exchange(ReportedEnds_, {})) {
    const auto W = Scheduler_.workers().find(Id);
    if (W != Scheduler_.workers().end())
      N.Ends_[Id] = {W->second.Incarnation_.value_or(0), W->second.LastEnd_};
  }
  if (!UnstoredEnds_.empty() && UnstoredEnds_.back().Ticket_ == N.Ticket_)
    for (auto &[Id, End] : N.Ends_)
      UnstoredEnds_.back().Ends_[Id] = End;
  else if (!N.Ends_.empty())
    UnstoredEnds_.push_back(std::move(N));
  afterCommit();
}

void PoolHolder::purgeEndedJobs() {
  const auto Purged = JobRows_.purge(
      Context_.Clock_.now(), Context_.Settings_.StatusKept_ + PurgeMargin);
  for (const JobId &Id : Purged) {
    Scheduler_.forget(Id);
    JobMemory_.remove(Id);
  }
  if (!Purged.empty())
    updateQueues();
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
    Context_.Log_.writeRoutine("job-stored", [&] {
      QJsonObject F = jobFields(Node.key());
      F["queue"] = toQString(S.Row_.Queue_.str());
      if (S.Share_ == accounts::RateShare::OverShare)
        F["over_share"] = true;
      F["stored_ms"] =
          static_cast<qint64>(toMillis(Now - S.ReceivedAt_).count());
      return F;
    });
    Context_.Metrics_.add("heathercross_jobs_accepted_total",
                          "Jobs that were stored and accepted.");
    if (S.Share_ == accounts::RateShare::OverShare)
      Context_.Metrics_.add("heathercross_over_share_jobs_accepted_total",
                            "Jobs beyond their account's guaranteed rate that "
                            "were stored and accepted.");
    Job J(Node.key(), S.Row_.Queue_, std::move(S.Spec_), S.ReceivedAt_,
          S.Row_.Account_);
    J.setShare(S.Share_);
    Scheduler_.recordArrival(J, S.ReceivedAt_);
    Scheduler_.admit(std::move(J));
    for (const AnswerHandler &Handler : S.Handlers_)
      Handler(JobAnswer::Kind::Accepted);
    scheduleRound();
  }
  const auto IsDurable = [Durable](const Waiter &W) {
    return W.Ticket_ <= Durable;
  };
  std::vector<Waiter> Answered;
  std::ranges::copy_if(Waiters_, std::back_inserter(Answered), IsDurable);
  std::erase_if(Waiters_, IsDurable);
  for (const Waiter &W : Answered)
    W.OnAnswer_(W.Result_);
  std::erase_if(UnstoredEnds_, [&](const UnstoredEnds &N) {
    if (N.Ticket_ > Durable)
      return false;
    for (const auto &[Id, End] : N.Ends_) {
      const auto L = Links_.find(Id);
      if (L != Links_.end() && L->second.Incarnation_ == End.first)
        L->second.EndsStored_ = std::max(L->second.EndsStored_, End.second);
    }
    return true;
  });
  if (Durable >= RosterTicket_ && !std::exchange(RosterApplied_, true))
    applyRoster();
}

void PoolHolder::loseDuty(const char *Cause) {
  if (std::exchange(Lost_, true))
    return;
  RoundTimer_.stop();
  NextRound_.stop();
  logDecisions();
  Context_.Log_.write("duty-lost",
                      {{"pool", toQString(Pool_.str())},
                       {"epoch", static_cast<qint64>(self().Epoch_.value())},
                       {"cause", Cause}});
  Context_.Metrics_.add("heathercross_duties_lost_total",
                        "Duties that another entry took.");
  JobAnswer NotHolder(JobAnswer::Kind::NotHolder);
  for (auto &[Id, S] : Submissions_) {
    NotHolder.Uncertain_ = !Journal_.withdraw(S.Ticket_);
    for (const AnswerHandler &Handler : S.Handlers_)
      Handler(NotHolder);
  }
  NotHolder.Uncertain_ = true;
  for (const Waiter &W : Waiters_)
    W.OnAnswer_(NotHolder);
  Submissions_.clear();
  Waiters_.clear();
  OnLost_();
  for (const auto &Handler : std::exchange(HandoverHandlers_, {}))
    Handler();
}

void PoolHolder::handOver(std::function<void()> OnDone) {
  if (Lost_)
    return OnDone();
  HandoverHandlers_.push_back(std::move(OnDone));
  if (std::exchange(HandingOver_, true))
    return;
  FlushUntil_ = Context_.Clock_.now() + MaxFlush;
  scheduleRound();
}

void PoolHolder::giveBack() {
  GivingBack_ = true;
  Shares_.release();
  Writer_.giveBack(guarded(this, [this] { loseDuty("handed-over"); }));
}

QJsonObject PoolHolder::dump() const {
  QJsonObject Workers;
  for (const auto &[Id, W] : Scheduler_.workers())
    Workers[toQString(Id.str())] =
        QJsonObject{{"runs", static_cast<qint64>(W.runs().size())},
                    {"used_cpu_milli", static_cast<qint64>(W.used().CpuMilli_)},
                    {"registered", W.Registered_},
                    {"draining", W.info().Draining_},
                    {"silent", W.UnresponsiveSince_.has_value()},
                    {"last_end", static_cast<qint64>(W.LastEnd_)}};
  return {{"epoch", static_cast<qint64>(self().Epoch_.value())},
          {"ready", Ready_},
          {"jobs", static_cast<qint64>(Scheduler_.jobs().size())},
          {"unstored", static_cast<qint64>(Journal_.waiting())},
          {"interference", interferenceDump()},
          {"account_shares", Shares_.dump()},
          {"workers", Workers}};
}

} // namespace heathercross::entry
