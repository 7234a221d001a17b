// An in-memory model of the platform's table, the workers and the duty holders
// that executes the fleet duty's actions and checks their effects.
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

/// An in-memory version of the platform's table.
class ModelTable {
public:
  CommitResult commit(const Transaction &T) {
    for (const auto &E : T.Expect_)
      if (version(E.Key_) != E.Version_)
        return {CommitStatus::Conflict, {}, {}};
    LastVersion_ = LastVersion_.next();
    for (const auto &P : T.Put_)
      Rows_[P.Key_] = {P.Key_, LastVersion_, T.Attempt_, P.Value_};
    for (const auto &Key : T.Erase_)
      Rows_.erase(Key);
    return {CommitStatus::Committed, LastVersion_, {}};
  }

  RowVersion version(const std::string &Key) const {
    const auto Found = Rows_.find(Key);
    return Found == Rows_.end() ? RowVersion() : Found->second.Version_;
  }

  const std::map<std::string, Row> &rows() const { return Rows_; }

private:
  RowVersion LastVersion_;
  std::map<std::string, Row> Rows_;
};

/// The actual state of one worker.
struct ModelWorker {
  ListedInstance Listed_;
  bool Up_ = true;
  /// When the current reboot ends, if any.
  std::optional<Instant> RebootEnds_;
  std::uint32_t Boot_ = 1;
  std::uint32_t Busy_ = 0;
  bool Draining_ = false;
  bool Leaving_ = false;
  /// Whether the platform no longer lists it.
  bool Unlisted_ = false;
  std::vector<BatchTask> Tasks_;
  std::uint32_t Reboots_ = 0;
};

/// Counts of violated guarantees, which must remain zero.
struct ModelViolations {
  /// Reboots that interrupted a running request or task.
  std::uint32_t InterruptedWork_ = 0;
  /// Reboots decided on a status that wasn't idle and draining.
  std::uint32_t UnsafeReboots_ = 0;
  /// Further reboots of an instance by the same wave.
  std::uint32_t RepeatedReboots_ = 0;
  /// Transfers of an instance that wasn't idle and draining.
  std::uint32_t UnsafeTransfers_ = 0;
  /// Voluntary disruptions that left a pool below its availability budget.
  std::uint32_t BudgetViolations_ = 0;
  /// Committed writes of replaced holders.
  std::uint32_t StaleWrites_ = 0;
  auto operator<=>(const ModelViolations &) const = default;
};

/// Workers, table and agreed view. Checks every effect of an action.
class ModelFleet {
public:
  static constexpr Millis RebootTime{30'000};

  Instant Now_{Seconds(1'000)};
  ModelTable Table_;
  View View_;
  std::map<InstanceId, ModelWorker> Workers_;
  ModelViolations Violations_;
  bool PlatformUp_ = true;
  /// Whether workers refuse to reboot unless they are draining and idle.
  bool WorkersRejectUnsafeReboots_ = false;
  std::map<InstanceId, InstanceOutcomes> Evidence_;
  std::map<PoolId, PoolDemand> Demand_;

  void addPool(const std::string &Name, std::uint32_t Size,
               std::uint32_t MinAvailable, bool Spare = false) {
    const PoolId Id(Name);
    View_.Pools_[Id] = {Id, Size, Spare, true, false};
    View_.Budgets_[Id] = {Id, MinAvailable};
  }

  /// Adds Count workers with RackSize of them per rack. Racks are assigned to
  /// zones in turn.
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

  /// Acquires the lease of a pool's duty with the next epoch.
  HeldLease acquireLease(const PoolId &Pool) {
    const Epoch E(++LastEpoch_[Pool]);
    Transaction T;
    T.Put_ = {{leaseKey(Pool), std::to_string(E.value())}};
    return {E, Table_.commit(T).Version_};
  }

  Snapshot snapshot(const std::map<PoolId, HeldLease> &Leases) const {
    Snapshot S;
    S.Now_ = Now_;
    S.PlatformReachable_ = PlatformUp_;
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
      if (!W.Unlisted_)
        S.Listed_->emplace(Name, W.Listed_);
      S.Workers_[Name] = statusOf(W);
    }
    return S;
  }

  /// Commits a write and checks its disruptions against the budget, with the
  /// worker statuses of the snapshot that it was decided on.
  CommitStatus commit(const Write &W, const Snapshot &DecidedOn) {
    if (!PlatformUp_)
      return CommitStatus::Refused;
    const auto Before = snapshot({});
    const auto Status = Table_.commit(W.Transaction_).Status_;
    if (Status == CommitStatus::Committed) {
      const auto Held = DecidedOn.Leases_.at(W.Pool_).Epoch_.value();
      Violations_.StaleWrites_ += Held != LastEpoch_[W.Pool_] ? 1 : 0;
      checkBudget(W.Pool_, Before, DecidedOn);
      checkTransfers(Before);
    }
    return Status;
  }

  void executeCommand(const WorkerCommand &C, const Snapshot &DecidedOn) {
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

  /// Advances the clock and completes the reboots that have ended.
  void advanceTime(Micros D) {
    Now_ += D;
    for (auto &[Name, W] : Workers_) {
      if (!W.RebootEnds_ || *W.RebootEnds_ > Now_)
        continue;
      W.RebootEnds_.reset();
      W.Up_ = !W.Unlisted_;
      ++W.Boot_;
    }
  }

  /// Returns the rows of a pool's members.
  std::vector<InstanceRow> members(const std::string &Pool) const {
    std::vector<InstanceRow> Result;
    for (const auto &[Name, Record] : snapshot({}).Instances_)
      if (Record.Row_.Pool_ == PoolId(Pool))
        Result.push_back(Record.Row_);
    return Result;
  }

  unsigned completedCount(const std::string &Wave) const {
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
    Status.ReceivedAt_ = Now_;
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
    if (WorkersRejectUnsafeReboots_ && !(Idle && W.Draining_))
      return;
    Violations_.InterruptedWork_ += Idle ? 0 : 1;
    const auto Row = snapshot({}).Instances_.at(W.Listed_.Name_).Row_;
    const bool FirstReboot =
        Rebooted_.insert({Row.Name_, Row.DoneWave_}).second;
    Violations_.RepeatedReboots_ += FirstReboot ? 0 : 1;
    W.Up_ = false;
    W.Draining_ = false;
    W.Busy_ = 0;
    W.RebootEnds_ = Now_ + RebootTime;
    ++W.Reboots_;
  }

  void checkReboot(const WorkerCommand &C, const Snapshot &DecidedOn) {
    const auto &Status = DecidedOn.Workers_.at(C.Instance_);
    const auto State = DecidedOn.Instances_.at(C.Instance_).Row_.State_;
    const bool Safe =
        Status.Draining_ && idle(Status) && State == InstanceState::Rebooting;
    Violations_.UnsafeReboots_ += Safe ? 0 : 1;
  }

  /// Checks that each instance that changed its pool had drained before.
  void checkTransfers(const Snapshot &Before) {
    for (const auto &[Name, Record] : snapshot({}).Instances_) {
      const auto Old = Before.Instances_.find(Name);
      if (Old == Before.Instances_.end() ||
          Old->second.Row_.Pool_ == Record.Row_.Pool_)
        continue;
      const auto &W = Workers_.at(Name);
      const bool Drained = W.Draining_ && W.Busy_ == 0 && W.Tasks_.empty();
      Violations_.UnsafeTransfers_ += Drained ? 0 : 1;
    }
  }

  /// Returns the available members. Computed independently of the code under
  /// test.
  std::set<InstanceId> availableMembers(const PoolId &Pool,
                                        const Snapshot &Rows,
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

  /// Checks that a write that disrupts an available member leaves the pool
  /// within its budget. A removed pool has no budget.
  void checkBudget(const PoolId &Pool, const Snapshot &Before,
                   const Snapshot &DecidedOn) {
    const auto Available = availableMembers(Pool, Before, DecidedOn);
    const auto StillAvailable = availableMembers(Pool, snapshot({}), DecidedOn);
    const bool Disrupted = !std::ranges::includes(StillAvailable, Available);
    const bool WithinBudget =
        View_.Pools_.at(Pool).Removed_ ||
        StillAvailable.size() >= View_.Budgets_.at(Pool).MinAvailable_;
    Violations_.BudgetViolations_ += Disrupted && !WithinBudget ? 1 : 0;
  }

  std::map<PoolId, std::uint64_t> LastEpoch_;
  std::set<std::pair<InstanceId, WaveId>> Rebooted_;
};

/// An entry that holds pool duties, with the duty's soft state.
template <class Duty = FleetDuty> class ModelHolder {
public:
  ModelHolder(ModelFleet &Fleet, const std::vector<std::string> &Pools)
      : Fleet_(Fleet) {
    for (const auto &Pool : Pools)
      Leases_[PoolId(Pool)] = Fleet.acquireLease(PoolId(Pool));
  }

  /// Takes a snapshot and decides. execute() executes the actions.
  void decide() {
    DecidedOn_ = Fleet_.snapshot(Leases_);
    Pending_ = Duty_.step(DecidedOn_);
  }

  /// Drops every second pending action.
  void dropEverySecondAction() {
    std::vector<Action> Kept;
    for (std::size_t I = 0; I < Pending_.size(); I += 2)
      Kept.push_back(Pending_[I]);
    Pending_ = std::move(Kept);
  }

  /// Executes the actions of the last decide().
  void execute() {
    executeActions(Pending_, DecidedOn_);
    Pending_.clear();
  }

  /// Delays the pending actions, like calls that time out but still arrive
  /// later.
  void delayActions() {
    Delayed_ = std::exchange(Pending_, {});
    DelayedDecidedOn_ = DecidedOn_;
  }

  /// Executes the delayed actions.
  void executeDelayed() {
    executeActions(Delayed_, DelayedDecidedOn_);
    Delayed_.clear();
  }

  void step() {
    decide();
    execute();
  }

  CommitStatus lastCommitStatus() const { return LastCommitStatus_; }
  std::size_t pendingCount() const { return Pending_.size(); }
  bool hasPendingWrite() const {
    return std::ranges::any_of(Pending_, [](const Action &A) {
      return std::holds_alternative<Write>(A);
    });
  }
  const WaveReport &waveReport() const { return Duty_.report().Waves_.at(0); }
  const Duty &duty() const { return Duty_; }

private:
  void executeActions(const std::vector<Action> &Actions,
                      const Snapshot &DecidedOn) {
    for (const auto &A : Actions) {
      if (const auto *W = std::get_if<Write>(&A))
        LastCommitStatus_ = Fleet_.commit(*W, DecidedOn);
      else
        Fleet_.executeCommand(std::get<WorkerCommand>(A), DecidedOn);
    }
  }

  ModelFleet &Fleet_;
  Duty Duty_;
  std::map<PoolId, HeldLease> Leases_;
  Snapshot DecidedOn_;
  std::vector<Action> Pending_;
  Snapshot DelayedDecidedOn_;
  std::vector<Action> Delayed_;
  CommitStatus LastCommitStatus_ = CommitStatus::Committed;
};

/// Time between two steps of a holder.
constexpr Millis StepInterval{500};

/// Steps until the condition holds or the time limit is reached. Returns the
/// elapsed time, or nothing if the condition didn't hold in time.
template <class Holder, class Condition>
std::optional<Micros> runUntil(ModelFleet &Fleet, Holder &H, Micros Limit,
                               Condition &&C) {
  const auto Start = Fleet.Now_;
  while (Fleet.Now_ - Start < Limit) {
    if (C())
      return Fleet.Now_ - Start;
    H.step();
    Fleet.advanceTime(StepInterval);
  }
  return std::nullopt;
}

} // namespace heathercross::fleet::test
