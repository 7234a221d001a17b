// A pool whose workers start again under their ids while its holder knows
// nothing of it, in virtual time.
#pragma once

#include "schedule/model-pool.h"
#include "schedule/pool-journal.h"
#include "schedule/worker-clock.h"

#include <memory>
#include <optional>

namespace heathercross::schedule::test {

/// The steady clock of one life of a worker.
struct LifeClock {
  /// What the clock shows when the life begins.
  Millis Start_{1};
  Instant BeganAt_;
  int SlowPercent_ = 0;

  Millis at(Instant Now) const {
    return Start_ + toMillis((Now - BeganAt_) * (100 - SlowPercent_) / 100);
  }
  /// How long a time on this clock lasts.
  Micros lasts(Millis Time) const {
    return Micros(Time) * 100 / (100 - SlowPercent_);
  }
};

/// How a worker is cut off from the holder and the store.
struct CutOff {
  Micros For_{0};
  /// If it is cut off for longer than this, it loses its registration.
  std::optional<Micros> LapseAfter_;
  /// It registers again this long after it is back.
  Micros RegisterAfter_{0};
};

/// What the network, the store and the worker itself do to a worker.
struct Conditions {
  LifeClock Clock_;
  /// By how much the worker's time of day is ahead.
  Millis WallSkew_{0};
  /// How long answers are under way.
  Millis AnswerDelay_{0};
  bool Registered_ = true;
  std::optional<std::pair<Micros, CutOff>> CutOffAfterStart_;
  std::optional<std::pair<Instant, CutOff>> CutOff_;
  std::optional<Instant> ReconnectsAt_;
  std::optional<Instant> RegistrationLapsesAt_;
  std::optional<Instant> RegistersAt_;
};

/// A pool whose holder calls its workers as PoolHolder does: it renews the
/// leases of idle workers seldom and counts all leases on their clocks.
class RestartingPool : public ModelPool {
public:
  RestartingPool() { Scheduler_.setLeases(LeaseBound, MaxLeaseBound); }

  /// Adds a worker in a rack of the same name.
  void add(const std::string &Id, LifeClock Clock, Millis WallSkew) {
    const ModelWorker &W = addWorker(Id, Id);
    Clock.BeganAt_ = Now_;
    Conditions &C = Conditions_[W.Info_.Id_];
    C.Clock_ = Clock;
    C.WallSkew_ = WallSkew;
    Links_[W.Info_.Id_];
    Roster_[W.Info_.Id_];
  }

  Conditions &conditions(const ModelWorker &W) {
    return Conditions_.at(W.Info_.Id_);
  }

  /// Begins the worker's next life.
  void restart(ModelWorker &W, LifeClock Clock) {
    const std::int64_t Former = W.Incarnation_;
    Conditions &C = conditions(W);
    crash(W);
    W.Incarnation_ = std::max(Former + 1, W.Incarnation_ + C.WallSkew_.count());
    C.Clock_ = Clock;
    C.Clock_.BeganAt_ = Now_;
  }

  /// Cuts a worker off.
  void cutOff(ModelWorker &W, const CutOff &Cut) {
    W.Partitioned_ = true;
    Conditions &C = conditions(W);
    C.ReconnectsAt_ = Now_ + Cut.For_;
    C.RegistersAt_ = Now_ + Cut.For_ + Cut.RegisterAfter_;
    if (Cut.LapseAfter_)
      C.RegistrationLapsesAt_ = Now_ + *Cut.LapseAfter_;
  }
  /// Cuts a worker off this long after it has started a task.
  void cutOffAfterStart(ModelWorker &W, Micros Delay, const CutOff &Cut) {
    conditions(W).CutOffAfterStart_ = {Delay, Cut};
  }

  /// The pool has no holder for a while, then another one, for which the former
  /// one may have gone on granting leases for ActsFor. Calls of the former one
  /// that are under way go on.
  void loseHolder(Micros For, Micros ActsFor) {
    if (TakeoverAt_)
      return;
    TakeoverAt_ = Now_ + For;
    Duty_.FormerActsUntil_ = Now_ + ActsFor;
  }

  /// Ends everything that is done to the workers.
  void endFaults() {
    for (auto &[Id, W] : Workers_) {
      W.RenewalDelay_ = Millis(0);
      W.LosesAnswers_ = false;
      Conditions &C = Conditions_.at(Id);
      C.AnswerDelay_ = Millis(0);
      C.CutOffAfterStart_.reset();
      C.CutOff_.reset();
      C.RegistrationLapsesAt_.reset();
      if (C.ReconnectsAt_)
        C.ReconnectsAt_ = C.RegistersAt_ = Now_;
    }
  }

private:
  /// How long a lease lasts at most, and the longest one that a worker grants:
  /// its clock may be slow, and a call takes time to arrive.
  static constexpr Millis LeaseBound{6480};
  static constexpr Millis MaxLeaseBound{10'600};
  static constexpr Millis LeaseMargin{300};
  static constexpr Millis IdleRenewInterval{1500};
  static constexpr Millis BusyRenewInterval{400};
  static constexpr Millis RetryPause{250};
  static constexpr Millis OrderTimeout{700};
  static constexpr Millis RenewWait{700};
  static constexpr Millis RenewTimeout{800};

  /// The holder's state of the calls to one worker.
  struct Link {
    WorkerClock Clock_;
    int RenewalsInFlight_ = 0;
    FenceGeneration RenewFence_;
    Instant NextRenew_;
    Instant ReportSentAt_;
  };

  /// A call that renews the leases of a worker.
  struct Renewal {
    InstanceId Worker_;
    ModelFence Fence_;
    Instant SentAt_;
    /// The ends up to this one are stored.
    std::uint64_t EndsStored_ = 0;
    /// The end of the lease, on the worker's clock.
    std::optional<Millis> Until_ = std::nullopt;
    Millis Wait_{0};
    std::shared_ptr<bool> Answered_ = std::make_shared<bool>(false);
  };

  /// A renewal whose answer waits for the end of a run.
  struct WaitingRenewal {
    Renewal Call_;
    std::int64_t Incarnation_ = 0;
    Instant Until_;
  };

  void tick() override {
    for (auto &[Id, W] : Workers_) {
      changeConditions(W);
      advance(W);
    }
    carryOutLateCalls();
    answerRenewals();
    if (TakeoverAt_ && *TakeoverAt_ <= Now_)
      takeOver();
    if (!TakeoverAt_)
      runRound();
  }

  /// Whether a time has come; it comes once.
  static bool due(std::optional<Instant> &At, Instant Now) {
    if (!At || *At > Now)
      return false;
    At.reset();
    return true;
  }

  /// Applies what happens to a worker now.
  void changeConditions(ModelWorker &W) {
    Conditions &C = conditions(W);
    if (C.CutOff_ && C.CutOff_->first <= Now_)
      cutOff(W, std::exchange(C.CutOff_, std::nullopt)->second);
    if (due(C.RegistrationLapsesAt_, Now_)) {
      C.Registered_ = false;
      Scheduler_.removeWorker(W.Info_.Id_);
    }
    if (due(C.ReconnectsAt_, Now_)) {
      W.Partitioned_ = false;
      C.RegistrationLapsesAt_.reset();
    }
    if (due(C.RegistersAt_, Now_)) {
      C.Registered_ = true;
      Scheduler_.setWorker(W.Info_);
      Links_[W.Info_.Id_];
    }
  }

  /// A new holder knows what is stored, and awaits the workers of the roster.
  void takeOver() {
    TakeoverAt_.reset();
    ++HolderChanges_;
    Scheduler_ = PoolScheduler();
    Scheduler_.setLeases(LeaseBound, MaxLeaseBound);
    configure();
    Links_.clear();
    for (const auto &[Id, W] : Workers_)
      if (Conditions_.at(Id).Registered_) {
        Scheduler_.setWorker(W.Info_);
        Links_[Id];
      }
    restoreJobs();
    const Instant LastLeaseEnd = Duty_.formerLeasesEnd(Now_, MaxLeaseBound);
    std::map<InstanceId, Instant> Awaited;
    for (const auto &[Id, RunsEndBy] : Roster_) {
      Awaited[Id] = RunsEndBy.value_or(LastLeaseEnd);
      if (Links_.contains(Id))
        continue;
      // The worker may have runs but gets no new ones.
      Scheduler_.setWorker(Workers_.at(Id).Info_);
      Scheduler_.removeWorker(Id);
      Links_[Id];
    }
    applyRoster();
    Scheduler_.awaitWorkers(std::move(Awaited));
  }

  /// A round of the holder: orders, changes to store, and renewals.
  void runRound() {
    const Orders O = Scheduler_.step(Now_, wall());
    for (const StopOrder &S : O.Stops_) {
      deliver(S);
      renewSoon(S.Worker_, Now_);
    }
    for (const StartOrder &S : O.Starts_)
      order(S);
    store();
    updateRoster();
    std::erase_if(Links_, [this](const auto &Entry) {
      return !Scheduler_.workers().contains(Entry.first) &&
             Entry.second.RenewalsInFlight_ == 0;
    });
    for (auto &[Id, L] : Links_)
      if (renewalDue(Id, L))
        renewLeases(Id, L);
  }

  /// Changes of the roster are stored at once.
  void updateRoster() {
    const auto MayHoldRuns = [this](const InstanceId &Id) {
      const auto W = Scheduler_.workers().find(Id);
      return W != Scheduler_.workers().end() &&
             W->second.mayHoldRuns(Now_, MaxLeaseBound);
    };
    std::erase_if(Roster_,
                  [&](const auto &Entry) { return !MayHoldRuns(Entry.first); });
    for (const auto &[Id, W] : Scheduler_.workers()) {
      if (!MayHoldRuns(Id))
        continue;
      std::optional<Instant> &RunsEndBy = Roster_[Id];
      const auto End = Scheduler_.silentRunsEnd(Id, Now_);
      if (End && (!RunsEndBy || *End > *RunsEndBy))
        RunsEndBy = *End + LeaseMargin;
      else if (!End && W.hasReported() && !W.UnresponsiveSince_)
        RunsEndBy.reset();
    }
    applyRoster();
  }

  /// Lets the scheduler start tasks on the workers that the roster lists.
  void applyRoster() {
    for (const auto &[Id, W] : Scheduler_.workers()) {
      const auto Listed = Roster_.find(Id);
      Scheduler_.setRostered(Id, Listed != Roster_.end() && !Listed->second);
    }
  }

  bool renewalDue(const InstanceId &Id, const Link &L) const {
    const bool Raised = L.RenewFence_ < Scheduler_.fence(Id);
    return Now_ >= L.NextRenew_ &&
           (L.RenewalsInFlight_ == 0 || (L.RenewalsInFlight_ == 1 && Raised));
  }

  /// Renews a worker's leases then at the latest.
  void renewSoon(const InstanceId &Id, Instant At) {
    if (const auto L = Links_.find(Id); L != Links_.end())
      L->second.NextRenew_ = std::min(L->second.NextRenew_, At);
  }

  /// Has a worker confirm a fence that was raised.
  void renewIfRaised(const InstanceId &Id) {
    const auto W = Scheduler_.workers().find(Id);
    if (W != Scheduler_.workers().end() && !W->second.fenceConfirmed())
      renewSoon(Id, Now_);
  }

  /// Sends a renewal, without a lease if the worker's clock may be another one.
  void renewLeases(const InstanceId &Id, Link &L) {
    const auto Known = Scheduler_.workers().find(Id);
    const FenceGeneration Generation = Scheduler_.fence(Id);
    Renewal Call{Id, {HolderChanges_, Generation.value()}, Now_};
    const bool KnownLife = Known != Scheduler_.workers().end() &&
                           !Known->second.UnresponsiveSince_ &&
                           Known->second.fenceConfirmed() &&
                           Known->second.hasReported();
    if (KnownLife)
      Call.EndsStored_ = Known->second.LastEnd_;
    const auto Listed = Roster_.find(Id);
    const bool RecordedSilent = Listed != Roster_.end() && Listed->second;
    if (KnownLife && L.Clock_.known() && !RecordedSilent) {
      Call.Until_ = L.Clock_.at(Now_) + Lease;
      Call.Wait_ = Known->second.isBusy(Now_) ? RenewWait : Millis(0);
      Scheduler_.leaseGranted(Id, Now_, LeaseBound);
    }
    ++L.RenewalsInFlight_;
    L.RenewFence_ = Generation;
    ModelWorker &W = Workers_.at(Id);
    later(W, RenewTimeout,
          [this, Call](ModelWorker &) { renewed(Call, nullptr, Millis(0)); });
    if (!W.Partitioned_)
      later(W, W.RenewalDelay_,
            [this, Call](ModelWorker &To) { take(To, Call); });
  }

  /// Takes a renewal in as a worker does.
  void take(ModelWorker &W, const Renewal &Call) {
    if (!accepts(W, Call.Fence_))
      return;
    std::erase_if(W.Ended_, [&](const EndReport &E) {
      return E.Sequence_ <= Call.EndsStored_;
    });
    if (Call.Until_)
      grantLease(W, W.Incarnation_, leaseEnd(W, *Call.Until_));
    Waiting_.push_back({Call, W.Incarnation_, Now_ + Call.Wait_});
  }

  /// When a lease until a time on the worker's clock ends.
  Instant leaseEnd(const ModelWorker &W, Millis Until) {
    const LifeClock &Clock = conditions(W).Clock_;
    return Now_ +
           Clock.lasts(std::min(Until - Clock.at(Now_), Millis(MaxLease)));
  }

  /// Answers the renewals that waited for long enough, or for an end. A restart
  /// or a cut-off leaves them without an answer.
  void answerRenewals() {
    for (const WaitingRenewal &R : std::exchange(Waiting_, {})) {
      const ModelWorker &W = Workers_.at(R.Call_.Worker_);
      if (W.Incarnation_ != R.Incarnation_ || W.Partitioned_)
        continue;
      if (Now_ < R.Until_ && W.Ended_.empty()) {
        Waiting_.push_back(R);
        continue;
      }
      const Conditions &C = conditions(W);
      const auto Report = std::make_shared<const WorkerReport>(reportOf(W));
      later(W, C.AnswerDelay_,
            [this, Call = R.Call_, Report, Clock = C.Clock_.at(Now_)](
                ModelWorker &) { renewed(Call, Report, Clock); });
    }
  }

  /// Whether a call is from the current holder.
  bool isFromHolder(const ModelFence &Fence) const {
    return !TakeoverAt_ && Fence.Holder_ == HolderChanges_;
  }

  /// Takes in the answer to a renewal, or that there is none in time.
  void renewed(const Renewal &Call,
               const std::shared_ptr<const WorkerReport> &Report,
               Millis Clock) {
    const InstanceId &Id = Call.Worker_;
    const auto It = Links_.find(Id);
    if (std::exchange(*Call.Answered_, true) || !isFromHolder(Call.Fence_) ||
        It == Links_.end())
      return;
    Link &L = It->second;
    L.RenewalsInFlight_ = std::max(0, L.RenewalsInFlight_ - 1);
    if (Call.SentAt_ < L.ReportSentAt_)
      return;
    if (!Report) {
      L.NextRenew_ = Now_ + RetryPause;
      return Scheduler_.unresponsive(Id, Now_);
    }
    const bool FirstReply = !L.Clock_.known();
    L.Clock_.answered(Clock, Now_);
    L.ReportSentAt_ = Call.SentAt_;
    Scheduler_.report(Id, *Report, Call.SentAt_,
                      FenceGeneration(Call.Fence_.Generation_), Now_, wall());
    const auto W = Scheduler_.workers().find(Id);
    if (W == Scheduler_.workers().end())
      return;
    L.NextRenew_ =
        Now_ + (W->second.isBusy(Now_) ? BusyRenewInterval : IdleRenewInterval);
    if (FirstReply || !W->second.fenceConfirmed())
      L.NextRenew_ = Now_;
  }

  /// Sends an order to start a task. The worker carries it out at once, if at
  /// all; the answer takes longer.
  void order(const StartOrder &O) {
    ++Starts_;
    ModelWorker &W = Workers_.at(O.Worker_);
    Conditions &C = conditions(W);
    const WorkerClock Counted = Links_.at(O.Worker_).Clock_;
    const Millis Until = Counted.at(Now_) + Lease;
    const Instant SentAt = Now_;
    Scheduler_.leaseGranted(O.Worker_, Now_, LeaseBound);
    renewSoon(O.Worker_, Now_ + BusyRenewInterval);
    const ModelFence Fence = fenceOf(O);
    const auto Unknown = [this, O, Fence](ModelWorker &) {
      if (isFromHolder(Fence))
        started(O, StartAnswer::Unknown);
    };
    if (W.Partitioned_)
      return later(W, OrderTimeout, Unknown);
    const Instant End = leaseEnd(W, Until);
    const StartAnswer A = start(W, O, Fence, W.Incarnation_, End);
    if (A == StartAnswer::Started || A == StartAnswer::Outdated)
      grantLease(W, W.Incarnation_, End);
    if (const auto Cut = std::exchange(C.CutOffAfterStart_, std::nullopt))
      C.CutOff_ = {Now_ + Cut->first, Cut->second};
    if (W.LosesAnswers_)
      return later(W, OrderTimeout, Unknown);
    later(W, C.AnswerDelay_,
          [this, O, A, Counted, SentAt, Fence,
           Clock = C.Clock_.at(Now_)](ModelWorker &) {
            if (!isFromHolder(Fence))
              return;
            started(O, A);
            if (!Counted.agrees(Clock, SentAt, Now_)) {
              Scheduler_.suspectRestart(O.Worker_);
              renewIfRaised(O.Worker_);
            }
          });
  }

  /// Takes in the answer to an order, or that there is none in time.
  void started(const StartOrder &O, StartAnswer A) {
    Scheduler_.started(O, A, Now_);
    renewIfRaised(O.Worker_);
  }

  std::map<InstanceId, Conditions> Conditions_;
  std::map<InstanceId, Link> Links_;
  /// The stored roster: workers that may have runs, and until when if they are
  /// silent.
  std::map<InstanceId, std::optional<Instant>> Roster_;
  std::vector<WaitingRenewal> Waiting_;
  /// The duty as the next holder claims it.
  HeldDuty Duty_;
  /// When the pool has a holder again.
  std::optional<Instant> TakeoverAt_;
};

} // namespace heathercross::schedule::test
