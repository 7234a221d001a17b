// Gives machine orders (upkeep and moves) while this entry holds the fleet
// duty.
#include "entry/fleet-controller.h"
#include "entry/fleet-controller-detail.h"
#include "entry/peer-calls.h"
#include "entry/rows.h"
#include "schedule/long-value.h"

#include <cmath>
#include <utility>

namespace heathercross::entry {

using detail::CallTimeout;
using detail::OrderRetryDelay;
using detail::retryDelay;
using detail::toQString;

namespace {

using platform_api::MachineOutcome;
using platform_api::StoreOutcome;
using platform_api::StoreReply;
using schedule::Machine;
using schedule::MachineId;
using schedule::MachineState;
using schedule::OrderState;
using schedule::OrderToken;

constexpr int TickIntervalMs = 100;
/// Pause between two listings of all machines.
constexpr Millis ListInterval{500};
/// A holder whose row wasn't renewed for this long gives no orders, since
/// another entry may have taken the duty.
constexpr Millis MaxRenewalAge{1500};
/// Older snapshots are dropped. This age plus the time for an order stays
/// within the time for which a pool's holder keeps an evacuated worker empty.
constexpr Millis MaxSnapshotAge{500};
/// Extra time after the duration of a move until the machine is listed in its
/// new pool and its new instance is registered.
constexpr Millis MoveMargin{400};
/// Key of the row that lists the machines for which a holder gave orders
/// shortly before it gave the duty back. The other rows' keys are wave numbers.
constexpr const char *RecentOrdersKey = "late-orders";
/// Key of the row that lists the machines of waves that the holder may order,
/// and those whose orders may be open.
constexpr const char *OpenOrdersKey = "open-orders";
/// Added to the platform's order lease for clock differences and call times.
constexpr Millis OrderLeaseMargin{300};

} // namespace

FleetController::FleetController(Context &C, const ClusterState &K,
                                 schedule::HeldDuty Duty,
                                 schedule::ClaimCause Cause,
                                 FindLocalHolder FindHolder,
                                 std::function<void()> OnLost)
    : Context_(C), ClusterState_(K), FindLocalHolder_(std::move(FindHolder)),
      OnLost_(std::move(OnLost)),
      Writer_(C, FleetDuty, std::move(Duty),
              {[] {}, [this] { loseDuty("row-taken"); }}),
      Cause_(Cause), Turns_(C.Settings_.OrderLease_ + OrderLeaseMargin,
                            CallTimeout, C.Clock_.now()),
      Orders_(Writer_.journal().self().Epoch_, C.Settings_.OrderFencing_) {
  connect(&TickTimer_, &QTimer::timeout, this, [this] { tick(); });
  TickTimer_.start(TickIntervalMs);
  // A holder that gave the duty back has stored the recent orders; of others
  // nothing is known.
  if (Cause_ == schedule::ClaimCause::OwnRestart)
    Turns_.adoptOwn({schedule::AnyMachine});
  else if (Cause_ != schedule::ClaimCause::Vacant)
    Turns_.adopt({schedule::AnyMachine});
  load();
}

void FleetController::load() {
  Context_.Store_.read(
      WaveTable, FleetDuty.str(), "", CallTimeout,
      guarded(this, [this](const StoreReply &R) {
        if (R.Outcome_ != StoreOutcome::Ok) {
          QTimer::singleShot(OrderRetryDelay, this, [this] { load(); });
          return;
        }
        std::map<std::string, std::string> Rows;
        for (const auto &Row : R.Rows_)
          Rows[Row.Place_.Key_] = Row.Value_;
        const schedule::JoinedValues Joined = schedule::joinValues(Rows);
        for (const std::string &Key : Joined.Incomplete_)
          Context_.Log_.write(
              "value-incomplete",
              {{"table", WaveTable}, {"key", QString::fromStdString(Key)}});
        for (const auto &[Key, Stored] : Joined.Values_) {
          Writer_.journal().restoreParts(schedule::RowKind::Wave, Key,
                                         Stored.Parts_);
          if (Key == RecentOrdersKey) {
            Turns_.adopt(decodeMachines(Stored.Value_));
            continue;
          }
          if (Key == OpenOrdersKey) {
            FormerOpen_ = decodeMachines(Stored.Value_);
            Orders_.adopt(FormerOpen_);
            continue;
          }
          StoredWaves_[std::strtoull(Key.c_str(), nullptr, 10)] =
              decodeMachines(Stored.Value_);
        }
        Loaded_ = true;
        Context_.Log_.write(
            "duty-loaded",
            {{"pool", toQString(FleetDuty.str())},
             {"epoch",
              static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
             {"waves", static_cast<qint64>(StoredWaves_.size())},
             {"open_orders", static_cast<qint64>(FormerOpen_.size())}});
      }));
}

void FleetController::loseDuty(const char *Cause) {
  if (std::exchange(Lost_, true))
    return;
  TickTimer_.stop();
  Context_.Log_.write(
      "duty-lost",
      {{"pool", toQString(FleetDuty.str())},
       {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
       {"cause", Cause}});
  OnLost_();
}

bool FleetController::mayGiveOrders() const {
  return Loaded_ && !HandingOver_ &&
         Context_.Clock_.now() - Writer_.journal().renewedAt() < MaxRenewalAge;
}

void FleetController::tick() {
  if (Lost_)
    return;
  Writer_.sendNextBatch();
  auto &J = Writer_.journal();
  // Its successor relies on what is stored before the duty is given back.
  if (HandingOver_ && OnHandedOver_ && !J.hasUnsettledBatch() &&
      J.waiting() == 0)
    return std::exchange(OnHandedOver_, nullptr)();
  if (!Loaded_ || HandingOver_)
    return;
  addNewWaves();
  if (!ListInFlight_ && Context_.Clock_.now() >= NextList_) {
    Listing_.clear();
    listMachines("");
  }
  dropOldSnapshots();
  Evacuating_.clear();
  Reserved_.clear();
  for (auto &[Number, W] : Waves_)
    if (!W.CompleteWritten_)
      runWave(W);
  settleFormerOrders();
  announceOrders();
  sizePools();
  pollHolders();
}

void FleetController::dropOldSnapshots() {
  const Instant Now = Context_.Clock_.now();
  std::erase_if(Snapshots_, [&](const auto &Entry) {
    return Now - Entry.second.TakenAt_ > MaxSnapshotAge;
  });
}

void FleetController::evacuate(const MachineId &Id) {
  const Machine &M = Machines_.at(Id);
  if (!M.Instance_.empty())
    Evacuating_[M.Pool_].insert(M.Instance_);
}

PoolId FleetController::standbyPool() const {
  const auto &C = ClusterState_.configuration();
  if (!C)
    return PoolId();
  const auto It =
      std::ranges::find(C->Pools_, true, &schedule::PoolSettings::Standby_);
  return It == C->Pools_.end() ? PoolId() : It->Pool_;
}

std::vector<schedule::SizedMachine> FleetController::sizedMachines() const {
  constexpr double MilliPerCore = 1000;
  const auto Loads = machineLoads();
  std::vector<schedule::SizedMachine> All;
  for (const auto &[Id, M] : Machines_) {
    schedule::SizedMachine S;
    S.Id_ = Id;
    S.Pool_ = M.Pool_;
    S.Up_ = M.State_ == MachineState::Up;
    S.Cores_ = static_cast<double>(M.Capacity_.CpuMilli_) / MilliPerCore;
    const schedule::MachineLoad &L = Loads.at(Id);
    S.Runs_ = L.Runs_;
    S.LongRunning_ = L.LongRunning_;
    S.Evacuating_ = L.Evacuating_;
    S.Reported_ = L.Reported_;
    S.Reserved_ =
        Reserved_.contains(Id) || Turns_.mustWait(Id, Context_.Clock_.now());
    if (const auto It = PendingMoves_.find(Id); It != PendingMoves_.end()) {
      S.Pool_ = It->second.To_;
      S.Up_ = false;
      S.Arriving_ = true;
    }
    All.push_back(std::move(S));
  }
  return All;
}

void FleetController::settleFormerOrders() {
  const std::set<MachineId> Unsettled = FormerOpen_;
  for (const MachineId &Id : Unsettled) {
    const auto M = Machines_.find(Id);
    if (M == Machines_.end())
      continue;
    evacuate(Id);
    Reserved_.insert(Id);
    if (PendingMoves_.contains(Id) || !mayGiveOrders() ||
        Turns_.mustWait(Id, Context_.Clock_.now()) ||
        M->second.State_ != MachineState::Up)
      continue;
    PendingMoves_[Id] = {M->second.Pool_, std::nullopt};
    Turns_.ordered(Id, Context_.Clock_.now());
    orderMove({Id, M->second.Pool_});
  }
}

void FleetController::announceOrders() {
  std::set<MachineId> Machines = FormerOpen_;
  Machines.insert(Reserved_.begin(), Reserved_.end());
  for (const auto &[Number, W] : Waves_)
    Machines.insert(W.Plan_.ordered().begin(), W.Plan_.ordered().end());
  if (Announced_.set(Machines))
    Announced_.put(Writer_.journal().put(
        {schedule::RowKind::Wave, OpenOrdersKey, encodeMachines(Machines)},
        true, Context_.Clock_.now()));
}

void FleetController::sizePools() {
  const Instant Now = Context_.Clock_.now();
  std::erase_if(PendingMoves_, [&](const auto &Entry) {
    const auto &[Id, M] = Entry;
    return M.AnsweredAt_ &&
           Now - *M.AnsweredAt_ > Context_.Settings_.Move_ + MoveMargin;
  });
  std::map<PoolId, schedule::PoolNeed> Needs;
  for (const auto &[Pool, Dated] : Snapshots_) {
    const PoolSnapshot &P = Dated.Snapshot_;
    // The cores for waiting tasks are added to those that the arrival rate
    // needs; otherwise waiting tasks would wait until no more arrive.
    Needs[Pool] = {std::max(P.Demand_.Running_, P.Demand_.Arriving_) +
                       P.Demand_.WaitingInTime_ + P.Demand_.LongRunning_,
                   P.Demand_.WaitingLate_, P.Demand_.MinWorkers_};
  }
  const auto Step = Sizing_.step(Needs, sizedMachines(), standbyPool(), Now);
  logSizes(Step.Sizes_, Needs);
  for (const MachineId &Id : Step.Evacuate_)
    evacuate(Id);
  if (mayGiveOrders())
    for (const schedule::MachineMove &M : Step.Moves_) {
      PendingMoves_[M.Machine_] = {M.To_, std::nullopt};
      Turns_.ordered(M.Machine_, Context_.Clock_.now());
      orderMove(M);
    }
  // No run starts on a machine with a pending move until the outcome of the
  // move is known.
  for (const auto &[Id, M] : PendingMoves_)
    if (Machines_.contains(Id))
      evacuate(Id);
}

void FleetController::logSizes(
    const std::map<PoolId, schedule::PoolSize> &Sizes,
    const std::map<PoolId, schedule::PoolNeed> &Needs) {
  for (const auto &[Pool, Size] : Sizes) {
    if (LoggedSizes_[Pool] == Size)
      continue;
    LoggedSizes_[Pool] = Size;
    const schedule::PoolNeed &N = Needs.at(Pool);
    Context_.Log_.write("pool-sized",
                        {{"pool", toQString(Pool.str())},
                         {"have", static_cast<int>(Size.Current_)},
                         {"target", static_cast<int>(Size.Target_)},
                         {"keep", static_cast<int>(Size.Retained_)},
                         {"in_time_cores", std::round(N.InTimeCores_)},
                         {"late_cores", std::round(N.LateCores_)},
                         {"min_machines", static_cast<int>(N.MinMachines_)}},
                        process::LineClass::Routine);
  }
}

void FleetController::orderMove(const schedule::MachineMove &M) {
  if (Lost_)
    return;
  if (!mayGiveOrders()) {
    QTimer::singleShot(OrderRetryDelay, this, [this, M] { orderMove(M); });
    return;
  }
  const OrderToken Token = Orders_.nextCall(M.Machine_);
  Context_.Machines_.move({Context_.Incarnation_, Token}, M.Machine_, M.To_,
                          CallTimeout,
                          guarded(this, [this, M, Token](MachineOutcome O) {
                            handleMoveAnswer(M, Token, O);
                          }));
}

void FleetController::handleMoveAnswer(const schedule::MachineMove &M,
                                       OrderToken Token, MachineOutcome O) {
  Context_.Log_.write(
      "move-answered",
      {{"machine", toQString(M.Machine_.str())},
       {"to", toQString(M.To_.str())},
       {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
       {"outcome", platform_api::outcomeName(O)}});
  if (Lost_)
    return;
  switch (Orders_.handleAnswer(M.Machine_, Token, O)) {
  case OrderState::Done:
    FormerOpen_.erase(M.Machine_);
    PendingMoves_[M.Machine_].AnsweredAt_ = Context_.Clock_.now();
    Context_.Metrics_.add("heathercross_moves_total",
                          "Machines that were moved to another pool.");
    break;
  case OrderState::DutyLost:
    return loseDuty("fenced-by-machine");
  case OrderState::NotDone:
    FormerOpen_.erase(M.Machine_);
    PendingMoves_.erase(M.Machine_);
    break;
  case OrderState::Uncertain:
    QTimer::singleShot(retryDelay(O), this, [this, M] { orderMove(M); });
    break;
  }
}

void FleetController::listMachines(const std::string &Token) {
  ListInFlight_ = true;
  Context_.Machines_.list(
      Token, CallTimeout,
      guarded(this, [this](const std::optional<platform_api::MachinePage> &P) {
        ListInFlight_ = false;
        NextList_ = Context_.Clock_.now() + ListInterval;
        if (!P)
          return;
        for (const Machine &M : P->Machines_)
          Listing_[M.Id_] = M;
        if (!P->Next_.empty())
          return listMachines(P->Next_);
        Machines_ = Listing_;
      }));
}

std::map<MachineId, schedule::MachineLoad>
FleetController::machineLoads() const {
  std::map<MachineId, schedule::MachineLoad> Loads;
  for (const auto &[Id, M] : Machines_) {
    schedule::MachineLoad L;
    const auto P = Snapshots_.find(M.Pool_);
    const bool Unscheduled = !ClusterState_.duties().pools().contains(M.Pool_);
    // No pool holder starts runs on such a machine, so it counts as evacuated.
    if (Unscheduled || M.Instance_.empty()) {
      L.Reported_ = true;
      L.Evacuating_ = true;
    } else if (P != Snapshots_.end()) {
      const auto &Known = P->second.Snapshot_.Loads_;
      const auto Found = Known.find(M.Instance_);
      if (Found != Known.end())
        L = {Found->second.Runs_, Found->second.LongRunning_,
             Found->second.Evacuating_, true};
    }
    Loads[Id] = L;
  }
  return Loads;
}

accounts::ArrivalRates FleetController::otherPoolsOf(const PoolId &P) const {
  accounts::ArrivalRates Sum;
  for (const auto &[Pool, Dated] : Snapshots_)
    if (Pool != P)
      accounts::addRates(Sum, Dated.Snapshot_.AccountRates_);
  return Sum;
}

void FleetController::pollHolders() {
  // Pools without machines are polled, too, as they may need some.
  for (const PoolId &P : ClusterState_.duties().pools()) {
    if (P == FleetDuty)
      continue;
    const std::set<InstanceId> &Workers = Evacuating_[P];
    const accounts::ArrivalRates OtherPools = otherPoolsOf(P);
    if (PoolHolder *H = FindLocalHolder_(P)) {
      if (!Workers.empty())
        H->evacuate(Workers, EvacuationDuration);
      H->setOtherPools(OtherPools);
      if (auto Snapshot = H->snapshot())
        Snapshots_[P] = {std::move(*Snapshot), Context_.Clock_.now()};
      continue;
    }
    const auto Known = ClusterState_.duties().holder(P);
    if (!Known || AskedPools_.contains(P))
      continue;
    AskedPools_.insert(P);
    const Instant AskedAt = Context_.Clock_.now();
    callEvacuate(
        Context_, Known->Row_.Address_, {P, Workers, OtherPools}, CallTimeout,
        guarded(this, [this, P, AskedAt](std::optional<PoolSnapshot> Snapshot) {
          AskedPools_.erase(P);
          if (Snapshot)
            Snapshots_[P] = {std::move(*Snapshot), AskedAt};
        }));
  }
}

void FleetController::handOver(std::function<void()> OnDone) {
  HandingOver_ = true;
  const Instant Now = Context_.Clock_.now();
  std::set<MachineId> Recent = Turns_.recent(Now);
  Recent.merge(Orders_.open());
  // The orders of former holders are unknown until they are loaded, and their
  // open orders stay in the store.
  if (!Loaded_) {
    Recent.insert(schedule::AnyMachine);
  } else {
    for (auto &[Number, W] : Waves_)
      storeWave(W);
    Writer_.journal().put({schedule::RowKind::Wave, OpenOrdersKey,
                           encodeMachines(Orders_.open())},
                          true, Now);
  }
  Writer_.journal().put(
      {schedule::RowKind::Wave, RecentOrdersKey, encodeMachines(Recent)}, true,
      Now);
  OnHandedOver_ = [this, OnDone = std::move(OnDone)] {
    Writer_.giveBack(guarded(this, [this, OnDone] {
      loseDuty("handed-over");
      OnDone();
    }));
  };
}

QJsonObject FleetController::dump() const {
  return {
      {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
      {"machines", static_cast<qint64>(Machines_.size())},
      {"waves", static_cast<qint64>(Waves_.size())}};
}

} // namespace heathercross::entry
