// A small model of table, workers and duty holders that carries out actions.
#pragma once

#include "fleet/fleet-duty.h"
#include "fleet/rows.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::fleet::test {

/// The platform's table, in memory.
class ModelTable {
public:
  CommitResult commit(const Transaction &T) {
    for (const auto &E : T.Expect_)
      if (version(E.Key_) != E.Version_)
        return {CommitStatus::Conflict, {}, {}};
    Counter_ = Counter_.next();
    for (const auto &P : T.Put_)
      Rows_[P.Key_] = {P.Key_, Counter_, T.Attempt_, P.Value_};
    for (const auto &Key : T.Erase_)
      Rows_.erase(Key);
    return {CommitStatus::Committed, Counter_, {}};
  }

  RowVersion version(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? RowVersion() : Found->second.Version_;
  }

  const std::map<std::string, Row> &rows() const { return Rows_; }

private:
  RowVersion Counter_;
  std::map<std::string, Row> Rows_;
};

/// One worker as it really is.
struct ModelWorker {
  ListedInstance Listed_;
  bool Up_ = true;
  /// The end of a reboot that is going on.
  std::optional<Instant> BackAt_;
  std::uint32_t Boot_ = 1;
  std::uint32_t Busy_ = 0;
  bool Draining_ = false;
  bool Leaving_ = false;
  /// Whether it has left: the platform lists it no more.
  bool Gone_ = false;
  std::vector<BatchTask> Tasks_;
  std::uint32_t Reboots_ = 0;
};

/// What a run of the model must never show.
struct ModelFaults {
  /// A running request or task was cut by a reboot.
  std::uint32_t WorkCut_ = 0;
  /// A reboot was decided on a status that didn't say idle and draining.
  std::uint32_t RashReboots_ = 0;
  /// One wave rebooted an instance more than once.
  std::uint32_t RebootedTwice_ = 0;
  /// An instance changed its pool while it wasn't idle and draining.
  std::uint32_t RashMoves_ = 0;
  /// A voluntary disruption left a pool under its budget.
  std::uint32_t BudgetBroken_ = 0;
  /// A write of a holder that had been replaced took effect.
  std::uint32_t StaleWrites_ = 0;
  auto operator<=>(const ModelFaults &) const = default;
};

/// Workers, table and view, with the checks that look at every effect.
class ModelFleet {
public:
  static constexpr Millis RebootTime{30'000};

  Instant Now_{Seconds(1'000)};
  ModelTable Table_;
  View View_;
  std::map<InstanceId, ModelWorker> Workers_;
  ModelFaults Faults_;
  bool PlatformUp_ = true;
  /// Whether workers refuse to reboot unless they drain and are idle.
  bool WorkersRefuse_ = false;
  std::map<InstanceId, InstanceEvidence> Evidence_;
  std::map<PoolId, PoolDemand> Demand_;

  void addPool(const std::string &Name, std::uint32_t Size,
               std::uint32_t MinAvailable, bool Spare = false) {
    const PoolId Id(Name);
    View_.Pools_[Id] = {Id, Size, Spare, true, false};
    View_.Budgets_[Id] = {Id, MinAvailable};
  }

  /// Adds Count workers, RackSize to a rack, the racks over the zones in turn.
  void addWorkers(unsigned Count, unsigned RackSize = 4, unsigned Zones = 3) {
    for (unsigned I = 0; I < Count; ++I) {
      const auto Number = std::to_string(Workers_.size() + 101);
      const auto Rack = static_cast<unsigned>(Workers_.size()) / RackSize;
      ModelWorker W;
      W.Listed_.Name_ = InstanceId("i" + Number);
      W.Listed_.Rack_ = RackId("r" + std::to_string(Rack));
      W.Listed_.Zone_ = ZoneId("z" + std::to_string(Rack % Zones));
      W.Listed_.Address_ = "127.0.0.1:" + Number;
      Workers_[W.Listed_.Name_] = W;
    }
  }

  void setWave(const std::string &Name, const std::string &Pool,
               WaveMode Mode = WaveMode::Running) {
    View_.Waves_[WaveId(Name)] = {WaveId(Name), PoolId(Pool), Mode,
                                  Millis(10'000)};
  }

  /// Takes the duty of a pool with the next epoch.
  LeaseHold takeLease(const PoolId &Pool) {
    const Epoch E(++LastEpoch_[Pool]);
    Transaction T;
    T.Put_ = {{leaseKey(Pool), std::to_string(E.value())}};
    return {E, Table_.commit(T).Version_};
  }

  Snapshot snapshot(const std::map<PoolId, LeaseHold> &Leases) const {
    Snapshot S;
    S.Now_ = Now_;
    S.PlatformAnswers_ = PlatformUp_;
    S.View_ = View_;
    S.Leases_ = Leases;
    S.Evidence_ = Evidence_;
    S.Demand_ = Demand_;
    for (const auto &[Key, R] : Table_.rows()) {
      if (Key.starts_with("instance/"))
        S.Instances_[InstanceId(Key.substr(9))] = decodeInstance(R);
      if (Key.starts_with("permit/"))
        S.Permits_[PoolId(Key.substr(7))] = decodePermit(R);
    }
    S.Listed_.emplace();
    for (const auto &[Name, W] : Workers_) {
      if (!W.Gone_)
        S.Listed_->emplace(Name, W.Listed_);
      S.Workers_[Name] = statusOf(W);
    }
    return S;
  }

  /// Commits a write, and checks the rows that it disrupts against the budget
  /// as the snapshot that it was decided on has the workers.
  CommitStatus commit(const Write &W, const Snapshot &DecidedOn) {
    if (!PlatformUp_)
      return CommitStatus::Refused;
    const auto Before = snapshot({});
    const auto Status = Table_.commit(W.Transaction_).Status_;
    if (Status == CommitStatus::Committed) {
      const auto Held = DecidedOn.Leases_.at(W.Pool_).Epoch_.value();
      Faults_.StaleWrites_ += Held != LastEpoch_[W.Pool_] ? 1 : 0;
      checkBudget(W.Pool_, Before, DecidedOn);
      checkMoves(Before);
    }
    return Status;
  }

  void command(const WorkerCommand &C, const Snapshot &DecidedOn) {
    auto &W = Workers_.at(C.Instance_);
    if (!W.Up_)
      return;
    switch (C.Kind_) {
    case CommandKind::Drain:
      W.Draining_ = true;
      return;
    case CommandKind::Undrain:
      W.Draining_ = false;
      return;
    case CommandKind::CheckpointTasks:
      W.Tasks_.clear();
      return;
    case CommandKind::Reboot:
      checkReboot(C, DecidedOn);
      reboot(W, C.Boot_);
      return;
    }
  }

  /// Lets time pass: reboots end, and running requests finish.
  void pass(Micros D) {
    Now_ += D;
    for (auto &[Name, W] : Workers_) {
      if (!W.BackAt_ || *W.BackAt_ > Now_)
        continue;
      W.BackAt_.reset();
      W.Up_ = !W.Gone_;
      ++W.Boot_;
    }
  }

  /// The members of a pool by their rows.
  std::vector<InstanceRow> members(const std::string &Pool) const {
    std::vector<InstanceRow> Result;
    for (const auto &[Name, Record] : snapshot({}).Instances_)
      if (Record.Row_.Pool_ == PoolId(Pool))
        Result.push_back(Record.Row_);
    return Result;
  }

  unsigned doneWith(const std::string &Wave) const {
    const auto All = snapshot({}).Instances_;
    return static_cast<unsigned>(
        std::ranges::count_if(All, [&](const auto &Entry) {
          const auto &Row = Entry.second.Row_;
          return Row.DoneWave_ == WaveId(Wave) &&
                 Row.State_ == InstanceState::Active;
        }));
  }

private:
  WorkerStatus statusOf(const ModelWorker &W) const {
    WorkerStatus Status;
    Status.Reachable_ = W.Up_;
    Status.SeenAt_ = Now_;
    Status.Boot_ = std::to_string(W.Boot_);
    Status.Slots_ = 8;
    Status.Busy_ = W.Busy_;
    Status.Draining_ = W.Draining_;
    Status.Leaving_ = W.Leaving_;
    Status.Tasks_ = W.Tasks_;
    return Status;
  }

  void reboot(ModelWorker &W, const std::string &Boot) {
    const bool Idle = W.Busy_ == 0 && W.Tasks_.empty();
    if (Boot != std::to_string(W.Boot_))
      return;
    if (WorkersRefuse_ && !(Idle && W.Draining_))
      return;
    Faults_.WorkCut_ += Idle ? 0 : 1;
    const auto Row = snapshot({}).Instances_.at(W.Listed_.Name_).Row_;
    const bool First = Rebooted_.insert({Row.Name_, Row.DoneWave_}).second;
    Faults_.RebootedTwice_ += First ? 0 : 1;
    W.Up_ = false;
    W.Draining_ = false;
    W.Busy_ = 0;
    W.BackAt_ = Now_ + RebootTime;
    ++W.Reboots_;
  }

  void checkReboot(const WorkerCommand &C, const Snapshot &DecidedOn) {
    const auto &Status = DecidedOn.Workers_.at(C.Instance_);
    const auto State = DecidedOn.Instances_.at(C.Instance_).Row_.State_;
    const bool Safe =
        Status.Draining_ && idle(Status) && State == InstanceState::Rebooting;
    Faults_.RashReboots_ += Safe ? 0 : 1;
  }

  /// An instance that changes its pool must have drained.
  void checkMoves(const Snapshot &Before) {
    for (const auto &[Name, Record] : snapshot({}).Instances_) {
      const auto Was = Before.Instances_.find(Name);
      if (Was == Before.Instances_.end() ||
          Was->second.Row_.Pool_ == Record.Row_.Pool_)
        continue;
      const auto &W = Workers_.at(Name);
      const bool Drained = W.Draining_ && W.Busy_ == 0 && W.Tasks_.empty();
      Faults_.RashMoves_ += Drained ? 0 : 1;
    }
  }

  /// The members that may be counted on, worked out apart from the product.
  std::set<InstanceId> countedOn(const PoolId &Pool, const Snapshot &Rows,
                                 const Snapshot &Statuses) const {
    std::set<InstanceId> Result;
    const auto Permit = Rows.Permits_.find(Pool);
    for (const auto &[Name, Record] : Rows.Instances_) {
      const auto Status = Statuses.Workers_.find(Name);
      if (Record.Row_.Pool_ != Pool || Status == Statuses.Workers_.end() ||
          Record.Row_.State_ != InstanceState::Active)
        continue;
      const auto &W = Status->second;
      if (W.Reachable_ && !W.Draining_ && !W.Leaving_)
        Result.insert(Name);
    }
    if (Permit != Rows.Permits_.end())
      for (const auto &Name : Permit->second.Held_)
        Result.erase(Name);
    return Result;
  }

  /// A write that takes out a member that was counted on must leave the budget
  /// whole; a removed pool has none.
  void checkBudget(const PoolId &Pool, const Snapshot &Before,
                   const Snapshot &DecidedOn) {
    const auto Was = countedOn(Pool, Before, DecidedOn);
    const auto Is = countedOn(Pool, snapshot({}), DecidedOn);
    const bool Took = !std::ranges::includes(Is, Was);
    const bool Kept = View_.Pools_.at(Pool).Removed_ ||
                      Is.size() >= View_.Budgets_.at(Pool).MinAvailable_;
    Faults_.BudgetBroken_ += Took && !Kept ? 1 : 0;
  }

  std::map<PoolId, std::uint64_t> LastEpoch_;
  std::set<std::pair<InstanceId, WaveId>> Rebooted_;
};

/// One entry that holds duties, with its memory.
template <class Duty = FleetDuty> class ModelHolder {
public:
  ModelHolder(ModelFleet &Fleet, const std::vector<std::string> &Pools)
      : Fleet_(Fleet) {
    for (const auto &Pool : Pools)
      Leases_[PoolId(Pool)] = Fleet.takeLease(PoolId(Pool));
  }

  /// Takes a snapshot and decides; the actions are carried out by act().
  void think() {
    Seen_ = Fleet_.snapshot(Leases_);
    Pending_ = Duty_.step(Seen_);
  }

  /// Drops the share of what was decided that has an odd place.
  void loseHalf() {
    std::vector<Action> Kept;
    for (std::size_t I = 0; I < Pending_.size(); I += 2)
      Kept.push_back(Pending_[I]);
    Pending_ = std::move(Kept);
  }

  /// Carries out what the last think() decided.
  void act() {
    carryOut(Pending_, Seen_);
    Pending_.clear();
  }

  /// Puts what was decided on its way without an answer, as a timeout does.
  void delay() {
    Delayed_ = std::exchange(Pending_, {});
    DelayedSeen_ = Seen_;
  }

  /// Carries out what was delayed, after whatever has happened since.
  void arrive() {
    carryOut(Delayed_, DelayedSeen_);
    Delayed_.clear();
  }

  void step() {
    think();
    act();
  }

  CommitStatus last() const { return Last_; }
  std::size_t pending() const { return Pending_.size(); }
  bool wantsToWrite() const {
    return std::ranges::any_of(Pending_, [](const Action &A) {
      return std::holds_alternative<Write>(A);
    });
  }
  const WaveReport &wave() const { return Duty_.report().Waves_.at(0); }
  const Duty &duty() const { return Duty_; }

private:
  void carryOut(const std::vector<Action> &Actions, const Snapshot &Seen) {
    for (const auto &A : Actions) {
      if (const auto *W = std::get_if<Write>(&A))
        Last_ = Fleet_.commit(*W, Seen);
      else
        Fleet_.command(std::get<WorkerCommand>(A), Seen);
    }
  }

  ModelFleet &Fleet_;
  Duty Duty_;
  std::map<PoolId, LeaseHold> Leases_;
  Snapshot Seen_;
  std::vector<Action> Pending_;
  Snapshot DelayedSeen_;
  std::vector<Action> Delayed_;
  CommitStatus Last_ = CommitStatus::Committed;
};

/// How often a holder steps.
constexpr Millis StepInterval{500};

/// Steps until the condition holds or the time is up. Returns the time that
/// it took, or nothing when it didn't come to hold.
template <class Holder, class Condition>
std::optional<Micros> runUntil(ModelFleet &Fleet, Holder &H, Micros Limit,
                               Condition &&C) {
  const auto Start = Fleet.Now_;
  while (Fleet.Now_ - Start < Limit) {
    if (C())
      return Fleet.Now_ - Start;
    H.step();
    Fleet.pass(StepInterval);
  }
  return std::nullopt;
}

} // namespace heathercross::fleet::test
