// Tests of pool sizing and of maintenance waves.
#include "schedule/pool-sizing.h"
#include "schedule/wave-plan.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

constexpr double Cores = 32;
const PoolId Standby("standby");

/// A fleet in virtual time: its machines, and the cores that each pool needs.
class ModelFleet {
public:
  std::vector<SizedMachine> Machines_;
  std::map<PoolId, PoolNeed> Needs_;
  PoolSizing Sizing_;
  Instant Now_{Seconds(10)};
  std::uint32_t Moves_ = 0;
  std::uint32_t BusyMoves_ = 0;
  std::map<MachineId, Instant> ArriveAt_;

  void add(const std::string &Pool, unsigned Count,
           std::uint32_t LongRunning = 0) {
    for (unsigned I = 0; I < Count; ++I) {
      SizedMachine M;
      M.Id_ = MachineId(Pool + std::to_string(Machines_.size()));
      M.Pool_ = PoolId(Pool);
      M.Up_ = true;
      M.Cores_ = Cores;
      M.LongRunning_ = LongRunning;
      M.Runs_ = LongRunning;
      M.Reported_ = true;
      M.Evacuating_ = M.Pool_ == Standby;
      Machines_.push_back(M);
    }
  }

  unsigned size(const std::string &Pool) const {
    return static_cast<unsigned>(
        std::ranges::count_if(Machines_, [&](const SizedMachine &M) {
          return M.Pool_ == PoolId(Pool);
        }));
  }
  unsigned working(const std::string &Pool) const {
    return static_cast<unsigned>(
        std::ranges::count_if(Machines_, [&](const SizedMachine &M) {
          return M.Pool_ == PoolId(Pool) && M.Up_;
        }));
  }

  void run(Micros For) {
    for (const Instant End = Now_ + For; Now_ < End; Now_ += Millis(100))
      tick();
  }

private:
  void tick() {
    for (SizedMachine &M : Machines_)
      if (M.Arriving_ && ArriveAt_[M.Id_] <= Now_) {
        M.Arriving_ = false;
        M.Up_ = true;
      }
    const SizingResult S = Sizing_.step(Needs_, Machines_, Standby, Now_);
    for (const MachineMove &Moved : S.Moves_) {
      auto &M =
          *std::ranges::find(Machines_, Moved.Machine_, &SizedMachine::Id_);
      ++Moves_;
      BusyMoves_ += M.Runs_ > 0 || !M.Evacuating_ ? 1 : 0;
      M.Pool_ = Moved.To_;
      M.Up_ = false;
      M.Arriving_ = true;
      ArriveAt_[M.Id_] = Now_ + Millis(1500);
    }
    for (SizedMachine &M : Machines_)
      M.Evacuating_ = M.Pool_ == Standby || S.Evacuate_.contains(M.Id_);
  }
};

} // namespace

// The load: demand shifts from one pool to the other, at several times a pool's
// capacity.
HEATHERCROSS_STORY(ShiftingDemand, "machines follow a shift of demand") {
  ModelFleet F;
  F.add("quotes", 4, 1);
  F.add("quotes", 5);
  F.add("bookings", 4, 1);
  F.add("bookings", 5);
  F.add("standby", 4);
  F.Needs_[PoolId("quotes")] = {10, 0, 4};
  F.Needs_[PoolId("bookings")] = {10, 0, 4};
  section("while demand is low a few are ready, the others are off", [&] {
    F.run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(6U, F.size("quotes"));
    CPPUNIT_ASSERT_EQUAL(6U, F.size("bookings"));
    CPPUNIT_ASSERT_EQUAL(10U, F.size("standby"));
  });
  section("a pool has machines for its demand within two seconds", [&] {
    F.Needs_[PoolId("quotes")] = {400, 0, 4};
    F.run(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(14U, F.working("quotes"));
  });
  section("they pass to the next pool without a stop in between", [&] {
    const auto MovesBefore = F.Moves_;
    F.Needs_[PoolId("quotes")] = {10, 0, 4};
    F.Needs_[PoolId("bookings")] = {400, 0, 4};
    F.run(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(14U, F.working("bookings"));
    CPPUNIT_ASSERT(F.Moves_ - MovesBefore <= 18);
  });
  section("late work retains machines, but yields them to work in time", [&] {
    F.Needs_[PoolId("bookings")] = {10, 400, 4};
    F.run(Seconds(3));
    CPPUNIT_ASSERT(F.working("bookings") >= 13);
    F.Needs_[PoolId("quotes")] = {400, 0, 4};
    F.run(Seconds(4));
    CPPUNIT_ASSERT(F.working("quotes") >= 13);
  });
  CPPUNIT_ASSERT_EQUAL(0U, F.BusyMoves_);
}

// Guards against a pool that keeps all machines: one pool has nearly all of
// them, as after an outage, when demand of another pool begins, and both need
// more than there are.
HEATHERCROSS_STORY(SharedShortage, "pools share a shortage by their need") {
  ModelFleet F;
  F.add("quotes", 30);
  F.add("bookings", 6);
  F.Needs_[PoolId("quotes")] = {800, 0, 2};
  F.Needs_[PoolId("bookings")] = {1600, 0, 2};
  F.run(Seconds(4));
  CPPUNIT_ASSERT(F.working("bookings") >= 16);
  CPPUNIT_ASSERT(F.working("quotes") >= 12);
  section("then the shares are stable", [&] {
    const auto MovesBefore = F.Moves_;
    F.run(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(MovesBefore, F.Moves_);
  });
}

// Guards against counting a released machine twice, as surplus and as a machine
// on late work: one pool's work has just ended while another one needs more
// machines than there are.
HEATHERCROSS_STORY(SurplusReleasedOnce,
                   "a pool releases no more than its surplus") {
  ModelFleet F;
  F.add("quotes", 7);
  F.add("bookings", 7);
  F.Needs_[PoolId("quotes")] = {10, 0, 0};
  F.Needs_[PoolId("bookings")] = {2000, 0, 0};
  F.run(Seconds(6));
  CPPUNIT_ASSERT(F.size("quotes") >= 2);
  CPPUNIT_ASSERT(F.size("bookings") >= 9);
}

namespace {

void runChangingNeeds() {
  const auto Needs = *rc::gen::container<std::vector<std::pair<int, int>>>(
      20, rc::gen::pair(rc::gen::inRange(0, 600), rc::gen::inRange(0, 600)));
  ModelFleet F;
  F.add("quotes", 3, 1);
  F.add("quotes", 6);
  F.add("bookings", 9);
  F.add("standby", 3);
  for (const auto &[A, B] : Needs) {
    F.Needs_[PoolId("quotes")] = {double(A), double(B), 3};
    F.Needs_[PoolId("bookings")] = {double(B), double(A), 0};
    for (SizedMachine &M : F.Machines_)
      if (M.Up_ && !M.Evacuating_ && M.Pool_ != Standby)
        M.Runs_ = static_cast<std::uint32_t>((A + B) % 3) + M.LongRunning_;
      else if (M.Evacuating_)
        M.Runs_ = M.LongRunning_;
    F.run(Millis(500));
    RC_ASSERT(F.BusyMoves_ == 0U);
  }
}

} // namespace

HEATHERCROSS_STORY(SizingProperty, "no machine at work is ever moved") {
  HEATHERCROSS_PROPERTY("whatever the needs are", [] { runChangingNeeds(); });
}

HEATHERCROSS_STORY(Waves,
                   "a wave takes machines out one group after the other") {
  UpkeepWave W;
  W.Number_ = 1;
  W.MaxAtOnce_ = 3;
  W.TimeLimit_ = Millis(25'000);
  std::map<MachineId, Machine> Machines;
  std::map<MachineId, MachineLoad> Loads;
  for (int I = 0; I < 12; ++I) {
    const MachineId Id("m" + std::to_string(I));
    W.Machines_.push_back(Id);
    Machines[Id] = {Id, PoolId("quotes"), MachineState::Up, {}, {}, {}, {}};
    Loads[Id] = {static_cast<std::uint32_t>(I % 3), 0, false, true};
  }
  Instant Now{Seconds(5)};
  WavePlan Plan(W, Now);
  section("nothing is ordered before a machine is known to be empty", [&] {
    const WaveStep S = Plan.step(Machines, Loads, Seconds(2), Now);
    CPPUNIT_ASSERT(S.Order_.empty());
    CPPUNIT_ASSERT(!S.Evacuate_.empty() && S.Evacuate_.size() <= 3);
  });
  section("it ends in time, and never more are away than allowed", [&] {
    std::map<MachineId, Instant> UpkeepUntil;
    bool Complete = false;
    for (; Now < Instant(Seconds(30)) && !Complete; Now += Millis(100)) {
      const WaveStep S = Plan.step(Machines, Loads, Seconds(2), Now);
      for (auto &[Id, L] : Loads)
        L.Evacuating_ = false;
      for (const MachineId &Id : S.Evacuate_)
        Loads[Id] = {0, 0, true, true};
      for (const MachineId &Id : S.Order_) {
        Plan.ordered(Id);
        Plan.began(Id, Now);
        UpkeepUntil[Id] = Now + Seconds(2);
      }
      CPPUNIT_ASSERT(std::ranges::count_if(UpkeepUntil, [&](const auto &E) {
                       return E.second > Now;
                     }) <= 3);
      Complete = S.Complete_;
    }
    CPPUNIT_ASSERT(Complete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{12}, Plan.begun().size());
    CPPUNIT_ASSERT(Now <= Instant(Seconds(5)) + W.TimeLimit_);
  });
  section("a later holder carries on with the rest", [&] {
    WavePlan Later(W, Now);
    Later.restore({MachineId("m0"), MachineId("m1")}, Now);
    const WaveStep S = Later.step(Machines, Loads, Seconds(2), Now);
    CPPUNIT_ASSERT(!S.Complete_);
    CPPUNIT_ASSERT(std::ranges::find(S.Evacuate_, MachineId("m0")) ==
                   S.Evacuate_.end());
  });
}

// Guards against tasks that start on a machine while it is uncertain whether
// its upkeep begins: a late order would end them.
HEATHERCROSS_STORY(OrderedMachineEvacuated,
                   "a machine stays evacuated until its upkeep has begun") {
  UpkeepWave W;
  W.Number_ = 1;
  W.MaxAtOnce_ = 1;
  W.TimeLimit_ = Millis(25'000);
  const MachineId First("m0");
  std::map<MachineId, Machine> Machines;
  std::map<MachineId, MachineLoad> Loads;
  for (const MachineId &Id : {First, MachineId("m1")}) {
    W.Machines_.push_back(Id);
    Machines[Id] = {Id, PoolId("quotes"), MachineState::Up, {}, {}, {}, {}};
    Loads[Id] = {0, 0, true, true};
  }
  const Instant Now{Seconds(5)};
  WavePlan Plan(W, Now);
  const auto Evacuated = [&](const MachineId &Id) {
    const WaveStep S = Plan.step(Machines, Loads, Seconds(2), Now);
    return std::ranges::find(S.Evacuate_, Id) != S.Evacuate_.end();
  };
  Plan.ordered(First);
  CPPUNIT_ASSERT(Evacuated(First));
  section("and no other one is ordered beyond the limit", [&] {
    CPPUNIT_ASSERT(Plan.step(Machines, Loads, Seconds(2), Now).Order_.empty());
  });
  section("not once it has begun", [&] {
    Plan.began(First, Now);
    CPPUNIT_ASSERT(!Evacuated(First));
  });
}

// Guards against a holder that counts a machine as available which a former
// holder, or another wave, has sent into its upkeep.
HEATHERCROSS_STORY(UnsettledMachines,
                   "machines of which a holder isn't sure count as away") {
  UpkeepWave W;
  W.Number_ = 1;
  W.MaxAtOnce_ = 1;
  W.TimeLimit_ = Millis(25'000);
  const MachineId First("m0");
  const MachineId Second("m1");
  std::map<MachineId, Machine> Machines;
  std::map<MachineId, MachineLoad> Loads;
  for (const MachineId &Id : {First, Second}) {
    W.Machines_.push_back(Id);
    Machines[Id] = {Id, PoolId("quotes"), MachineState::Up, {}, {}, {}, {}};
    Loads[Id] = {0, 0, true, true};
  }
  const Instant Now{Seconds(5)};
  WavePlan Plan(W, Now);
  const auto Ordered = [&](const std::set<MachineId> &Unsettled) {
    return Plan.step(Machines, Loads, Seconds(2), Now, Unsettled).Order_;
  };
  section("an order of a former holder may be open", [&] {
    CPPUNIT_ASSERT(Ordered({First}).empty());
    CPPUNIT_ASSERT(Ordered({}) == std::vector{First});
  });
  section("it is in an upkeep that this holder knows nothing of", [&] {
    Machines[First].State_ = MachineState::Upkeep;
    CPPUNIT_ASSERT(Ordered({}).empty());
    Machines[First].State_ = MachineState::Up;
  });
  section("the wave isn't complete meanwhile", [&] {
    Plan.restore({Second}, Now);
    CPPUNIT_ASSERT(
        !Plan.step(Machines, Loads, Seconds(2), Now, {First}).Complete_);
    Plan.restore({First}, Now);
    CPPUNIT_ASSERT(Plan.step(Machines, Loads, Seconds(2), Now).Complete_);
  });
}
