// Tests of maintenance waves whose holder changes.
#include "schedule/announced-orders.h"
#include "schedule/machine-orders.h"
#include "schedule/order-turns.h"
#include "schedule/wave-plan.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <utility>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

constexpr Millis Tick{100};
constexpr Millis UpkeepTime{2000};
constexpr Millis OrderLease{3000};
constexpr Millis CallTimeout{900};
constexpr int MachineCount = 6;
constexpr std::uint32_t MaxAtOnce = 2;

MachineId machineId(int I) { return MachineId("m" + std::to_string(I)); }

UpkeepWave sixMachines() {
  UpkeepWave W;
  W.Number_ = 1;
  W.MaxAtOnce_ = MaxAtOnce;
  W.TimeLimit_ = Millis(25'000);
  for (int I = 0; I < MachineCount; ++I)
    W.Machines_.push_back(machineId(I));
  return W;
}

/// What happens to a call that orders something for a machine.
enum class Fate : std::uint8_t { Answered, AnswerLost, Late, Refused };

/// The platform's machines, and its calls that are carried out late.
class ModelPlatform {
public:
  Instant Now_{Seconds(100)};
  std::size_t MostAway_ = 0;
  std::set<MachineId> Done_;

  ModelPlatform() {
    for (int I = 0; I < MachineCount; ++I)
      Machines_[machineId(I)];
  }

  std::map<MachineId, Machine> list() const {
    std::map<MachineId, Machine> All;
    for (const auto &[Id, M] : Machines_)
      All[Id] = {Id,
                 PoolId("quotes"),
                 isUp(M) ? MachineState::Up : MachineState::Upkeep,
                 {},
                 {},
                 {},
                 {}};
    return All;
  }

  MachineOutcome upkeep(const MachineId &Id, OrderToken Token, Fate F,
                        Millis Delay) {
    switch (F) {
    case Fate::Refused:
      return MachineOutcome::Refused;
    case Fate::Late:
      Late_.push_back({Now_ + Delay, Id, Token});
      return MachineOutcome::Unknown;
    case Fate::AnswerLost:
      carryOut(Id, Token);
      return MachineOutcome::Unknown;
    case Fate::Answered:
      break;
    }
    return carryOut(Id, Token);
  }

  /// A move of a machine to the pool that it is in.
  MachineOutcome confirm(const MachineId &Id, OrderToken Token) {
    ModelMachine &M = Machines_.at(Id);
    if (!isUp(M))
      return MachineOutcome::Busy;
    return accept(M, Token) ? MachineOutcome::Ok : MachineOutcome::Fenced;
  }

  void advance() {
    Now_ += Tick;
    const auto IsDue = [this](const LateCall &C) { return C.Due_ <= Now_; };
    for (const LateCall &C : Late_)
      if (IsDue(C))
        carryOut(C.Machine_, C.Token_);
    std::erase_if(Late_, IsDue);
  }

private:
  struct ModelMachine {
    Instant UpkeepUntil_;
    OrderToken Fence_;
  };
  struct LateCall {
    Instant Due_;
    MachineId Machine_;
    OrderToken Token_;
  };

  bool isUp(const ModelMachine &M) const { return M.UpkeepUntil_ <= Now_; }

  static bool accept(ModelMachine &M, OrderToken Token) {
    if (Token < M.Fence_)
      return false;
    M.Fence_ = Token;
    return true;
  }

  MachineOutcome carryOut(const MachineId &Id, OrderToken Token) {
    ModelMachine &M = Machines_.at(Id);
    if (!accept(M, Token))
      return MachineOutcome::Fenced;
    if (Done_.contains(Id))
      return MachineOutcome::Ok;
    if (!isUp(M))
      return MachineOutcome::Busy;
    M.UpkeepUntil_ = Now_ + UpkeepTime;
    Done_.insert(Id);
    const auto Away = std::ranges::count_if(
        Machines_, [this](const auto &E) { return !isUp(E.second); });
    MostAway_ = std::max(MostAway_, static_cast<std::size_t>(Away));
    return MachineOutcome::Ok;
  }

  std::map<MachineId, ModelMachine> Machines_;
  std::vector<LateCall> Late_;
};

/// The stored rows of the fleet duty.
struct ModelRows {
  std::set<MachineId> Begun_;
  std::set<MachineId> Open_;
  std::set<MachineId> Recent_;
};

/// What disturbs one tick.
struct Disturbance {
  Fate Fate_ = Fate::Answered;
  Millis Delay_{0};
  /// Whether the store applies no changes.
  bool StoreAway_ = false;
};

/// How a holder ends.
enum class HolderEnd : std::uint8_t {
  /// Another entry takes the duty.
  Lost,
  /// The same entry takes it again.
  Restarted,
  Stopped,
};

/// A holder of the fleet duty. It puts its changes into the store, and orders
/// the machines, as FleetController does.
class ModelHolder {
public:
  ModelHolder(ModelPlatform &P, ModelRows &Rows, Epoch Held, HolderEnd Former)
      : Platform_(P), Rows_(Rows), Plan_(sixMachines(), P.Now_),
        Turns_(OrderLease, CallTimeout, P.Now_),
        Orders_(Held, OrderFencing::Checked), FormerOpen_(Rows.Open_) {
    Plan_.restore(Rows.Begun_, P.Now_);
    Orders_.adopt(FormerOpen_);
    if (Former == HolderEnd::Restarted)
      Turns_.adoptOwn({AnyMachine});
    else
      Turns_.adopt(Former == HolderEnd::Lost ? std::set{AnyMachine}
                                             : Rows.Recent_);
  }

  /// Machines whose tasks don't end.
  std::set<MachineId> Busy_;

  void tick(const Disturbance &D) {
    if (!D.StoreAway_)
      commit();
    std::map<MachineId, MachineLoad> Loads;
    for (int I = 0; I < MachineCount; ++I)
      Loads[machineId(I)] = {Busy_.contains(machineId(I)) ? 1U : 0U, 0,
                             Evacuated_.contains(machineId(I)), true};
    const WaveStep S = Plan_.step(Platform_.list(), Loads, UpkeepTime,
                                  Platform_.Now_, FormerOpen_);
    Complete_ = S.Complete_;
    Evacuated_ = {S.Evacuate_.begin(), S.Evacuate_.end()};
    repeatOpen(D);
    for (const MachineId &Id : S.Order_)
      if (!Turns_.mustWait(Id, Platform_.Now_) && !Orders_.isOpen(Id) &&
          Announced_.isStored(Id, Durable_)) {
        Turns_.ordered(Id, Platform_.Now_);
        Plan_.ordered(Id);
        order(Id, D);
      }
    settle();
    std::set<MachineId> Named = FormerOpen_;
    Named.insert(Evacuated_.begin(), Evacuated_.end());
    Named.insert(Plan_.ordered().begin(), Plan_.ordered().end());
    const bool Changed = Announced_.set(Named);
    if (Changed || Plan_.begun().size() != StoredCount_)
      put(Named);
  }

  /// Stores what the next holder needs, as a planned stop does.
  void handOver() {
    put(Orders_.open());
    commit();
    Rows_.Recent_ = Turns_.recent(Platform_.Now_);
    Rows_.Recent_.merge(Orders_.open());
  }

  bool complete() const { return Complete_; }

private:
  void put(const std::set<MachineId> &Named) {
    ModelRows R;
    R.Open_ = Named;
    for (const auto &[Id, At] : Plan_.begun())
      R.Begun_.insert(Id);
    StoredCount_ = R.Begun_.size();
    Waiting_.push_back(std::move(R));
    Announced_.put(Durable_ + Waiting_.size());
  }

  void commit() {
    for (; !Waiting_.empty(); Waiting_.pop_front()) {
      Rows_.Begun_ = Waiting_.front().Begun_;
      Rows_.Open_ = Waiting_.front().Open_;
      ++Durable_;
    }
  }

  void order(const MachineId &Id, const Disturbance &D) {
    const OrderToken Token = Orders_.nextCall(Id);
    const MachineOutcome O = Platform_.upkeep(Id, Token, D.Fate_, D.Delay_);
    switch (Orders_.handleAnswer(Id, Token, O)) {
    case OrderState::Done:
      return Plan_.began(Id, Platform_.Now_);
    case OrderState::NotDone:
      return Plan_.refused(Id);
    case OrderState::Uncertain:
    case OrderState::DutyLost:
      RepeatAt_[Id] = Platform_.Now_ + CallTimeout;
      return;
    }
  }

  void repeatOpen(const Disturbance &D) {
    const std::set<MachineId> Open = Plan_.ordered();
    for (const MachineId &Id : Open)
      if (RepeatAt_.at(Id) <= Platform_.Now_)
        order(Id, D);
  }

  void settle() {
    const std::set<MachineId> Unsettled = FormerOpen_;
    for (const MachineId &Id : Unsettled) {
      if (Turns_.mustWait(Id, Platform_.Now_))
        continue;
      const OrderToken Token = Orders_.nextCall(Id);
      const OrderState S =
          Orders_.handleAnswer(Id, Token, Platform_.confirm(Id, Token));
      if (S == OrderState::Done || S == OrderState::NotDone)
        FormerOpen_.erase(Id);
    }
  }

  ModelPlatform &Platform_;
  ModelRows &Rows_;
  WavePlan Plan_;
  OrderTurns Turns_;
  MachineOrders Orders_;
  AnnouncedOrders Announced_;
  std::set<MachineId> FormerOpen_;
  std::set<MachineId> Evacuated_;
  std::map<MachineId, Instant> RepeatAt_;
  std::deque<ModelRows> Waiting_;
  AnnouncedOrders::Ticket Durable_ = 0;
  std::size_t StoredCount_ = 0;
  bool Complete_ = false;
};

void runTakeovers() {
  constexpr int MaxHolders = 5;
  constexpr int MaxTicks = 60;
  constexpr int MaxDelayMs = 7000;
  constexpr int QuietTicks = 600;
  const auto Disturbances =
      rc::gen::container<std::vector<Disturbance>>(rc::gen::build<Disturbance>(
          rc::gen::set(&Disturbance::Fate_,
                       rc::gen::element(Fate::Answered, Fate::Answered,
                                        Fate::AnswerLost, Fate::Late,
                                        Fate::Refused)),
          rc::gen::set(&Disturbance::Delay_,
                       rc::gen::map(rc::gen::inRange(0, MaxDelayMs),
                                    [](int Ms) { return Millis(Ms); })),
          rc::gen::set(&Disturbance::StoreAway_,
                       rc::gen::element(false, false, true))));
  ModelPlatform P;
  ModelRows Rows;
  const int Holders = *rc::gen::inRange(1, MaxHolders + 1);
  HolderEnd Former = HolderEnd::Stopped;
  int Epochs = 0;
  for (; Epochs < Holders; ++Epochs) {
    ModelHolder H(P, Rows, Epoch(static_cast<std::uint64_t>(Epochs) + 1),
                  Former);
    const int Ticks = *rc::gen::inRange(1, MaxTicks);
    const auto Drawn = *Disturbances;
    const unsigned BusyMask = *rc::gen::inRange(0U, 1U << MachineCount);
    for (int I = 0; I < MachineCount; ++I)
      if ((BusyMask >> static_cast<unsigned>(I) & 1U) != 0)
        H.Busy_.insert(machineId(I));
    for (int I = 0; I < Ticks; ++I) {
      H.tick(I < static_cast<int>(Drawn.size())
                 ? Drawn[static_cast<std::size_t>(I)]
                 : Disturbance());
      P.advance();
    }
    Former = *rc::gen::element(HolderEnd::Lost, HolderEnd::Restarted,
                               HolderEnd::Stopped);
    if (Former == HolderEnd::Stopped)
      H.handOver();
  }
  ModelHolder Last(P, Rows, Epoch(static_cast<std::uint64_t>(Epochs) + 1),
                   Former);
  for (int I = 0; I < QuietTicks && !Last.complete(); ++I) {
    Last.tick({});
    P.advance();
  }
  RC_ASSERT(P.MostAway_ <= std::size_t{MaxAtOnce});
  RC_ASSERT(Last.complete());
  RC_ASSERT(P.Done_.size() == std::size_t{MachineCount});
}

} // namespace

// Guards against a holder that doesn't know of an upkeep which a former holder
// has ordered, and sends another machine away beyond the wave's limit.
HEATHERCROSS_STORY(WaveTakeoverProperty,
                   "no series of holders exceeds the limit of a wave") {
  HEATHERCROSS_PROPERTY("whatever becomes of their orders and of the store",
                        [] { runTakeovers(); });
}

HEATHERCROSS_STORY(Announcements, "a machine is ordered once it is announced") {
  const MachineId First("m1");
  const MachineId Second("m2");
  AnnouncedOrders A;
  section("it isn't while the change is neither put nor durable", [&] {
    CPPUNIT_ASSERT(A.set({First}));
    CPPUNIT_ASSERT(!A.isStored(First, 9));
    A.put(5);
    CPPUNIT_ASSERT(!A.isStored(First, 4));
    CPPUNIT_ASSERT(A.isStored(First, 5));
  });
  section("a later change doesn't hold it back", [&] {
    CPPUNIT_ASSERT(A.set({First, Second}));
    A.put(6);
    CPPUNIT_ASSERT(A.isStored(First, 5));
    CPPUNIT_ASSERT(!A.isStored(Second, 5));
  });
  section("one that was taken back is announced anew", [&] {
    CPPUNIT_ASSERT(A.set({Second}));
    A.put(7);
    CPPUNIT_ASSERT(A.set({First, Second}));
    A.put(8);
    CPPUNIT_ASSERT(!A.isStored(First, 7));
    CPPUNIT_ASSERT(!A.set({First, Second}));
  });
}
