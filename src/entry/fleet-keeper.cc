// Machine orders: upkeep waves, while this entry holds the fleet's duty.
#include "entry/fleet-keeper.h"

#include "entry/peer-calls.h"
#include "platform/documents.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <cmath>
#include <utility>

namespace heathercross::entry {

namespace {

using platform_api::MachineOutcome;
using platform_api::StoreOutcome;
using platform_api::StoreReply;
using schedule::Machine;
using schedule::MachineId;
using schedule::MachineState;

constexpr int TickMs = 100;
constexpr Millis CallTimeout{900};
/// Between lists of all machines while there is a wave.
constexpr Millis ListPause{500};
/// An order without an answer is given again after this long.
constexpr Millis OrderRetry{300};
/// A holder whose row wasn't renewed for this long gives no orders: another
/// one may have taken the duty.
constexpr Millis MaxRenewalAge{1500};
/// Decisions rest on reports that aren't older; with the time for an order it
/// is within what holders promise for a worker that is being emptied.
constexpr Millis MaxPictureAge{500};
/// A machine that moved is listed in its pool, and its new instance
/// registered, this much later than the move takes.
constexpr Millis MoveMargin{400};
/// The row with the machines that a holder ordered before it gave the duty
/// back; other rows of the table are named by a wave's number.
constexpr const char *LateOrdersKey = "late-orders";
/// Room for clocks and calls on top of the platform's order lease.
constexpr Millis OrderLeaseMargin{300};

QString text(const std::string &T) { return QString::fromStdString(T); }

std::string encodeMachines(const std::set<MachineId> &Ids) {
  QJsonArray A;
  for (const MachineId &Id : Ids)
    A.append(text(Id.str()));
  return QJsonDocument(A).toJson(QJsonDocument::Compact).toStdString();
}

std::set<MachineId> decodeMachines(const std::string &Text) {
  std::set<MachineId> Ids;
  const auto A =
      QJsonDocument::fromJson(QByteArray::fromStdString(Text)).array();
  for (const auto V : A)
    Ids.insert(MachineId(V.toString().toStdString()));
  return Ids;
}

} // namespace

FleetKeeper::FleetKeeper(Context &C, const Knowledge &K,
                         schedule::HolderRow Self, RowVersion Guard,
                         schedule::ClaimCause Cause, LocalHolder Local,
                         std::function<void()> OnLost)
    : Context_(C), Knowledge_(K), Local_(std::move(Local)),
      OnLost_(std::move(OnLost)),
      Writer_(C, FleetDuty, std::move(Self), Guard,
              {[] {}, [this] { lose("row-taken"); }}),
      Since_(C.Clock_.now()), Cause_(Cause) {
  connect(&Tick_, &QTimer::timeout, this, [this] { tick(); });
  Tick_.start(TickMs);
  load();
}

void FleetKeeper::load() {
  Context_.Store_.read(
      WaveTable, FleetDuty.str(), "", CallTimeout,
      guarded(this, [this](const StoreReply &R) {
        if (R.Outcome_ != StoreOutcome::Ok) {
          QTimer::singleShot(OrderRetry, this, [this] { load(); });
          return;
        }
        for (const auto &Row : R.Rows_) {
          if (Row.Place_.Key_ == LateOrdersKey) {
            FormerOrders_ = decodeMachines(Row.Value_);
            continue;
          }
          Stored_[std::strtoull(Row.Place_.Key_.c_str(), nullptr, 10)] =
              decodeMachines(Row.Value_);
        }
        Loaded_ = true;
        Context_.Log_.write(
            "duty-loaded",
            {{"pool", text(FleetDuty.str())},
             {"epoch",
              static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
             {"waves", static_cast<qint64>(Stored_.size())}});
      }));
}

void FleetKeeper::lose(const char *Cause) {
  if (std::exchange(Lost_, true))
    return;
  Tick_.stop();
  Context_.Log_.write(
      "duty-lost",
      {{"pool", text(FleetDuty.str())},
       {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
       {"cause", Cause}});
  OnLost_();
}

bool FleetKeeper::mayOrder() const {
  return Loaded_ && !Leaving_ &&
         Context_.Clock_.now() - Writer_.journal().renewedAt() < MaxRenewalAge;
}

bool FleetKeeper::heldBack(const MachineId &Id) const {
  if (Context_.Clock_.now() - Since_ >=
      Context_.Settings_.OrderLease_ + OrderLeaseMargin)
    return false;
  // A holder that gave the duty back named the machines; one that ran on this
  // machine before has ended.
  if (Cause_ == schedule::ClaimCause::Vacant)
    return FormerOrders_.contains(Id);
  return Cause_ != schedule::ClaimCause::OwnRestart;
}

void FleetKeeper::noteOrder(const MachineId &Id) {
  Orders_[Id] = Context_.Clock_.now();
}

std::set<MachineId> FleetKeeper::lateOrders() const {
  const Instant Now = Context_.Clock_.now();
  std::set<MachineId> Late;
  for (const auto &[Id, At] : Orders_)
    if (Now - At < Context_.Settings_.OrderLease_ + CallTimeout)
      Late.insert(Id);
  return Late;
}

void FleetKeeper::tick() {
  if (Lost_)
    return;
  Writer_.pump();
  auto &J = Writer_.journal();
  if (Leaving_ && OnHandedOver_ && !J.inFlight() && J.waiting() == 0)
    return std::exchange(OnHandedOver_, nullptr)();
  if (!Loaded_ || Leaving_)
    return;
  findWaves();
  if (!ListInFlight_ && Context_.Clock_.now() >= NextList_) {
    Listing_.clear();
    listMachines("");
  }
  dropOldPictures();
  Vacating_.clear();
  Reserved_.clear();
  for (auto &[Number, W] : Waves_)
    if (!W.CompleteWritten_)
      runWave(W);
  sizePools();
  askHolders();
}

void FleetKeeper::dropOldPictures() {
  const Instant Now = Context_.Clock_.now();
  std::erase_if(Pictures_, [&](const auto &Entry) {
    return Now - Entry.second.At_ > MaxPictureAge;
  });
}

void FleetKeeper::vacate(const MachineId &Id) {
  const Machine &M = Machines_.at(Id);
  if (!M.Instance_.empty())
    Vacating_[M.Pool_].insert(M.Instance_);
}

PoolId FleetKeeper::standby() const {
  const auto &C = Knowledge_.configuration();
  if (!C)
    return PoolId();
  const auto It =
      std::ranges::find(C->Pools_, true, &schedule::PoolSettings::Standby_);
  return It == C->Pools_.end() ? PoolId() : It->Pool_;
}

std::vector<schedule::SizedMachine> FleetKeeper::sizedMachines() const {
  constexpr double MilliPerCore = 1000;
  const auto Loads = loads();
  std::vector<schedule::SizedMachine> All;
  for (const auto &[Id, M] : Machines_) {
    schedule::SizedMachine S;
    S.Id_ = Id;
    S.Pool_ = M.Pool_;
    S.Up_ = M.State_ == MachineState::Up;
    S.Cores_ = static_cast<double>(M.Capacity_.CpuMilli_) / MilliPerCore;
    const schedule::MachineLoad &L = Loads.at(Id);
    S.Runs_ = L.Runs_;
    S.Lasting_ = L.Lasting_;
    S.Vacating_ = L.Vacating_;
    S.Known_ = L.Known_;
    S.Reserved_ = Reserved_.contains(Id) || heldBack(Id);
    if (const auto It = Moving_.find(Id); It != Moving_.end()) {
      S.Pool_ = It->second.To_;
      S.Up_ = false;
      S.Arriving_ = true;
    }
    All.push_back(std::move(S));
  }
  return All;
}

void FleetKeeper::sizePools() {
  const Instant Now = Context_.Clock_.now();
  std::erase_if(Moving_, [&](const auto &Entry) {
    const auto &[Id, M] = Entry;
    return M.AnsweredAt_ &&
           Now - *M.AnsweredAt_ > Context_.Settings_.Move_ + MoveMargin;
  });
  std::map<PoolId, schedule::PoolNeed> Needs;
  for (const auto &[Pool, Dated] : Pictures_) {
    const PoolPicture &P = Dated.Picture_;
    // What waits comes on top of what keeps up with the arrivals, or it would
    // wait until the arrivals end.
    Needs[Pool] = {std::max(P.Demand_.Running_, P.Demand_.Arriving_) +
                       P.Demand_.WaitingInTime_ + P.Demand_.Lasting_,
                   P.Demand_.WaitingLate_, P.Demand_.MinWorkers_};
  }
  const auto Step = Sizing_.step(Needs, sizedMachines(), standby(), Now);
  logSizes(Step.Sizes_, Needs);
  for (const MachineId &Id : Step.Vacate_)
    vacate(Id);
  if (mayOrder())
    for (const schedule::MachineMove &M : Step.Moves_) {
      Moving_[M.Machine_] = {M.To_, std::nullopt};
      noteOrder(M.Machine_);
      orderMove(M);
    }
  // What moves takes nothing new until the order's fate is known.
  for (const auto &[Id, M] : Moving_)
    if (Machines_.contains(Id))
      vacate(Id);
}

void FleetKeeper::logSizes(const std::map<PoolId, schedule::PoolSize> &Sizes,
                           const std::map<PoolId, schedule::PoolNeed> &Needs) {
  for (const auto &[Pool, Size] : Sizes) {
    if (Sizes_[Pool] == Size)
      continue;
    Sizes_[Pool] = Size;
    const schedule::PoolNeed &N = Needs.at(Pool);
    Context_.Log_.write("pool-sized",
                        {{"pool", text(Pool.str())},
                         {"have", static_cast<int>(Size.Have_)},
                         {"target", static_cast<int>(Size.Target_)},
                         {"keep", static_cast<int>(Size.Keep_)},
                         {"in_time_cores", std::round(N.InTimeCores_)},
                         {"late_cores", std::round(N.LateCores_)},
                         {"min_machines", static_cast<int>(N.MinMachines_)}},
                        process::LineClass::Routine);
  }
}

void FleetKeeper::orderMove(const schedule::MachineMove &M) {
  if (Lost_)
    return;
  if (!mayOrder()) {
    QTimer::singleShot(OrderRetry, this, [this, M] { orderMove(M); });
    return;
  }
  Context_.Machines_.move(
      {Context_.Incarnation_, Writer_.journal().self().Epoch_}, M.Machine_,
      M.To_, CallTimeout,
      guarded(this, [this, M](MachineOutcome O) { moved(M, O); }));
}

void FleetKeeper::moved(const schedule::MachineMove &M, MachineOutcome O) {
  Context_.Log_.write(
      "move-answered",
      {{"machine", text(M.Machine_.str())},
       {"to", text(M.To_.str())},
       {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
       {"outcome", platform_api::outcomeName(O)}});
  if (Lost_)
    return;
  switch (O) {
  case MachineOutcome::Ok:
    Moving_[M.Machine_].AnsweredAt_ = Context_.Clock_.now();
    Context_.Metrics_.add("heathercross_moves_total",
                          "Machines that were moved to another pool.");
    break;
  case MachineOutcome::Fenced:
    return lose("fenced-by-machine");
  case MachineOutcome::Busy:
  case MachineOutcome::Rejected:
  case MachineOutcome::Refused:
    Moving_.erase(M.Machine_);
    break;
  case MachineOutcome::Unknown:
    QTimer::singleShot(OrderRetry, this, [this, M] { orderMove(M); });
    break;
  }
}

void FleetKeeper::findWaves() {
  for (const auto &[Number, Wave] : Knowledge_.waves()) {
    if (Waves_.contains(Number))
      continue;
    const Instant Now = Context_.Clock_.now();
    WaveState W{schedule::WavePlan(Wave, Now)};
    if (const auto S = Stored_.find(Number); S != Stored_.end())
      W.Plan_.restore(S->second, Now);
    W.StoredCount_ = W.Plan_.begun().size();
    Context_.Log_.write(
        "wave-seen",
        {{"wave", static_cast<qint64>(Number)},
         {"machines", static_cast<qint64>(Wave.Machines_.size())},
         {"max_at_once", static_cast<int>(Wave.MaxAtOnce_)},
         {"within_ms", static_cast<qint64>(Wave.Within_.count())}});
    Waves_.emplace(Number, std::move(W));
  }
}

void FleetKeeper::listMachines(const std::string &Token) {
  ListInFlight_ = true;
  Context_.Machines_.list(
      Token, CallTimeout,
      guarded(this, [this](const std::optional<platform_api::MachinePage> &P) {
        ListInFlight_ = false;
        NextList_ = Context_.Clock_.now() + ListPause;
        if (!P)
          return;
        for (const Machine &M : P->Machines_)
          Listing_[M.Id_] = M;
        if (!P->Next_.empty())
          return listMachines(P->Next_);
        Machines_ = Listing_;
      }));
}

std::map<MachineId, schedule::MachineLoad> FleetKeeper::loads() const {
  std::map<MachineId, schedule::MachineLoad> Loads;
  for (const auto &[Id, M] : Machines_) {
    schedule::MachineLoad L;
    const auto P = Pictures_.find(M.Pool_);
    const bool Unscheduled = !Knowledge_.duties().pools().contains(M.Pool_);
    if (Unscheduled || M.Instance_.empty()) {
      L.Known_ = true;
      L.Vacating_ = true;
    } else if (P != Pictures_.end()) {
      const auto &Known = P->second.Picture_.Loads_;
      const auto Found = Known.find(M.Instance_);
      if (Found != Known.end())
        L = {Found->second.Runs_, Found->second.Lasting_,
             Found->second.Vacating_, true};
    }
    Loads[Id] = L;
  }
  return Loads;
}

void FleetKeeper::runWave(WaveState &W) {
  if (!W.ActiveWritten_ && !W.WriteInFlight_)
    writeStatus(W, false);
  const auto Step = W.Plan_.step(Machines_, loads(), Context_.Settings_.Upkeep_,
                                 Context_.Clock_.now());
  for (const MachineId &Id : Step.Vacate_) {
    vacate(Id);
    Reserved_.insert(Id);
  }
  if (mayOrder())
    for (const MachineId &Id : Step.Order_) {
      if (heldBack(Id))
        continue;
      noteOrder(Id);
      W.Plan_.ordered(Id);
      orderUpkeep(W.Plan_.wave().Number_, Id);
    }
  storeWave(W);
  if (Step.Complete_ && W.ActiveWritten_ && !W.WriteInFlight_ &&
      Writer_.journal().durable() >= W.Ticket_)
    writeStatus(W, true);
}

void FleetKeeper::orderUpkeep(std::uint64_t Wave, const MachineId &Id) {
  if (Lost_ || !mayOrder()) {
    if (const auto W = Waves_.find(Wave); W != Waves_.end() && !Lost_)
      QTimer::singleShot(OrderRetry, this,
                         [this, Wave, Id] { orderUpkeep(Wave, Id); });
    return;
  }
  Context_.Machines_.upkeep(
      {Context_.Incarnation_, Writer_.journal().self().Epoch_}, Id, Wave,
      CallTimeout, guarded(this, [this, Wave, Id](MachineOutcome O) {
        ordered(Wave, Id, O);
      }));
}

void FleetKeeper::ordered(std::uint64_t Wave, const MachineId &Id,
                          MachineOutcome O) {
  Context_.Log_.write(
      "upkeep-answered",
      {{"wave", static_cast<qint64>(Wave)},
       {"machine", text(Id.str())},
       {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
       {"outcome", platform_api::outcomeName(O)}});
  if (Lost_)
    return;
  WaveState &W = Waves_.at(Wave);
  switch (O) {
  case MachineOutcome::Ok:
    W.Plan_.began(Id, Context_.Clock_.now());
    break;
  case MachineOutcome::Fenced:
    return lose("fenced-by-machine");
  case MachineOutcome::Busy:
  case MachineOutcome::Rejected:
  case MachineOutcome::Refused:
    W.Plan_.refused(Id);
    break;
  case MachineOutcome::Unknown:
    QTimer::singleShot(OrderRetry, this,
                       [this, Wave, Id] { orderUpkeep(Wave, Id); });
    break;
  }
}

void FleetKeeper::storeWave(WaveState &W) {
  if (W.Plan_.begun().size() == W.StoredCount_)
    return;
  W.StoredCount_ = W.Plan_.begun().size();
  std::set<MachineId> Begun;
  for (const auto &[Id, At] : W.Plan_.begun())
    Begun.insert(Id);
  W.Ticket_ = Writer_.journal().put({schedule::RowKind::Wave,
                                     std::to_string(W.Plan_.wave().Number_),
                                     encodeMachines(Begun)},
                                    true, Context_.Clock_.now());
}

void FleetKeeper::writeStatus(WaveState &W, bool Complete) {
  W.WriteInFlight_ = true;
  const std::uint64_t Number = W.Plan_.wave().Number_;
  Context_.Store_.transact(
      {{},
       {{{platform_api::StatusTable, "", platform_api::waveStatusKey(Number)},
         platform_api::waveStatusText(Number, Complete)}}},
      CallTimeout, guarded(this, [this, Number, Complete](const StoreReply &R) {
        WaveState &State = Waves_.at(Number);
        State.WriteInFlight_ = false;
        if (R.Outcome_ != StoreOutcome::Ok)
          return;
        State.ActiveWritten_ = true;
        State.CompleteWritten_ = Complete;
        Context_.Log_.write("wave-status",
                            {{"wave", static_cast<qint64>(Number)},
                             {"state", Complete ? "complete" : "active"}});
      }));
}

void FleetKeeper::askHolders() {
  // Also pools that have no machine at the moment.
  for (const PoolId &P : Knowledge_.duties().pools()) {
    if (P == FleetDuty)
      continue;
    const std::set<InstanceId> &Workers = Vacating_[P];
    if (PoolHolder *H = Local_(P)) {
      if (!Workers.empty())
        H->vacate(Workers, VacateFor);
      if (auto Picture = H->picture())
        Pictures_[P] = {std::move(*Picture), Context_.Clock_.now()};
      continue;
    }
    const auto Known = Knowledge_.duties().holder(P);
    if (!Known || Asking_.contains(P))
      continue;
    Asking_.insert(P);
    const Instant AskedAt = Context_.Clock_.now();
    callVacate(
        Context_, Known->Row_.Address_, P, Workers, CallTimeout,
        guarded(this, [this, P, AskedAt](std::optional<PoolPicture> Picture) {
          Asking_.erase(P);
          if (Picture)
            Pictures_[P] = {std::move(*Picture), AskedAt};
        }));
  }
}

void FleetKeeper::handOver(std::function<void()> OnDone) {
  Leaving_ = true;
  Writer_.journal().put(
      {schedule::RowKind::Wave, LateOrdersKey, encodeMachines(lateOrders())},
      true, Context_.Clock_.now());
  OnHandedOver_ = [this, OnDone = std::move(OnDone)] {
    Writer_.giveBack(guarded(this, [this, OnDone] {
      lose("handed-over");
      OnDone();
    }));
  };
}

QJsonObject FleetKeeper::dump() const {
  return {
      {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
      {"machines", static_cast<qint64>(Machines_.size())},
      {"waves", static_cast<qint64>(Waves_.size())}};
}

} // namespace heathercross::entry
