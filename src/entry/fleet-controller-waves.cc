// FleetController's maintenance waves: their upkeeps, rows and status.
#include "entry/fleet-controller-detail.h"
#include "entry/fleet-controller.h"
#include "entry/rows.h"
#include "platform/documents.h"

#include <utility>

namespace heathercross::entry {

using detail::CallTimeout;
using detail::OrderRetryDelay;
using detail::retryDelay;
using detail::toQString;
using platform_api::MachineOutcome;
using platform_api::StoreOutcome;
using platform_api::StoreReply;
using schedule::MachineId;
using schedule::OrderState;
using schedule::OrderToken;

void FleetController::addNewWaves() {
  for (const auto &[Number, Wave] : ClusterState_.waves()) {
    if (Waves_.contains(Number))
      continue;
    const Instant Now = Context_.Clock_.now();
    WaveState W{schedule::WavePlan(Wave, Now)};
    if (const auto S = StoredWaves_.find(Number); S != StoredWaves_.end())
      W.Plan_.restore(S->second, Now);
    W.StoredCount_ = W.Plan_.begun().size();
    Context_.Log_.write(
        "wave-seen",
        {{"wave", static_cast<qint64>(Number)},
         {"machines", static_cast<qint64>(Wave.Machines_.size())},
         {"max_at_once", static_cast<int>(Wave.MaxAtOnce_)},
         {"within_ms", static_cast<qint64>(Wave.TimeLimit_.count())}});
    Waves_.emplace(Number, std::move(W));
  }
}

void FleetController::runWave(WaveState &W) {
  if (!W.ActiveWritten_ && !W.WriteInFlight_)
    writeStatus(W, false);
  const auto Step =
      W.Plan_.step(Machines_, machineLoads(), Context_.Settings_.Upkeep_,
                   Context_.Clock_.now(), FormerOpen_);
  for (const MachineId &Id : Step.Evacuate_) {
    evacuate(Id);
    Reserved_.insert(Id);
  }
  const auto Durable = Writer_.journal().durable();
  if (mayGiveOrders())
    for (const MachineId &Id : Step.Order_) {
      if (Turns_.mustWait(Id, Context_.Clock_.now()) || Orders_.isOpen(Id) ||
          !Announced_.isStored(Id, Durable))
        continue;
      Turns_.ordered(Id, Context_.Clock_.now());
      W.Plan_.ordered(Id);
      orderUpkeep(W.Plan_.wave().Number_, Id);
    }
  storeWave(W);
  if (Step.Complete_ && W.ActiveWritten_ && !W.WriteInFlight_ &&
      Writer_.journal().durable() >= W.Ticket_)
    writeStatus(W, true);
}

void FleetController::orderUpkeep(std::uint64_t Wave, const MachineId &Id) {
  if (Lost_ || !mayGiveOrders()) {
    if (const auto W = Waves_.find(Wave); W != Waves_.end() && !Lost_)
      QTimer::singleShot(OrderRetryDelay, this,
                         [this, Wave, Id] { orderUpkeep(Wave, Id); });
    return;
  }
  const OrderToken Token = Orders_.nextCall(Id);
  Context_.Machines_.upkeep(
      {Context_.Incarnation_, Token}, Id, Wave, CallTimeout,
      guarded(this, [this, Wave, Id, Token](MachineOutcome O) {
        handleUpkeepAnswer(Wave, Id, Token, O);
      }));
}

void FleetController::handleUpkeepAnswer(std::uint64_t Wave,
                                         const MachineId &Id, OrderToken Token,
                                         MachineOutcome O) {
  Context_.Log_.write(
      "upkeep-answered",
      {{"wave", static_cast<qint64>(Wave)},
       {"machine", toQString(Id.str())},
       {"epoch", static_cast<qint64>(Writer_.journal().self().Epoch_.value())},
       {"outcome", platform_api::outcomeName(O)}});
  if (Lost_)
    return;
  WaveState &W = Waves_.at(Wave);
  switch (Orders_.handleAnswer(Id, Token, O)) {
  case OrderState::Done:
    W.Plan_.began(Id, Context_.Clock_.now());
    break;
  case OrderState::DutyLost:
    return loseDuty("fenced-by-machine");
  case OrderState::NotDone:
    W.Plan_.refused(Id);
    break;
  case OrderState::Uncertain:
    QTimer::singleShot(retryDelay(O), this,
                       [this, Wave, Id] { orderUpkeep(Wave, Id); });
    break;
  }
}

void FleetController::storeWave(WaveState &W) {
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

void FleetController::writeStatus(WaveState &W, bool Complete) {
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

} // namespace heathercross::entry
