// Tests of the move policies and of the transfers between pools.
#include "fleet/model-fleet.h"
#include "fleet/moves.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;
using heathercross::test::section;

namespace {

/// Demand of five pools of ten instances whose bursts rotate: one pool at a
/// time has five times the mean for BurstSeconds, the others a twentieth of it.
std::uint32_t rotatingDemand(unsigned Pool, unsigned Second,
                             unsigned BurstSeconds) {
  constexpr unsigned Mean = 24;
  const unsigned ActivePool = (Second / BurstSeconds) % 5;
  return ActivePool == Pool ? Mean * 5 : Mean / 20;
}

/// Counts how often the policy changes a size in 20 minutes.
template <class Policy> unsigned countSizeChanges(unsigned BurstSeconds) {
  Policy P;
  unsigned Changes = 0;
  SizeChanges Last;
  for (unsigned Second = 0; Second < 1'200; ++Second) {
    std::vector<PoolLoad> Loads;
    for (unsigned I = 0; I < 5; ++I)
      Loads.push_back({PoolId(std::to_string(I)), 10, 10, 7, 8,
                       rotatingDemand(I, Second, BurstSeconds)});
    const auto Next = P.changes(Loads, Instant(Seconds(Second)));
    for (const auto &[Pool, Change] : Next)
      Changes += Second > 0 && Last[Pool] != Change ? 1 : 0;
    Last = Next;
  }
  return Changes;
}

} // namespace

HEATHERCROSS_STORY(MovePolicies, "moves follow only demand that lasts") {
  section("a rotating burst is no reason to move", [] {
    CPPUNIT_ASSERT_EQUAL(0U, countSizeChanges<NoMoves>(10));
    const auto Threshold = countSizeChanges<ThresholdMoves>(10);
    const auto Hysteresis = countSizeChanges<HysteresisMoves>(10);
    CPPUNIT_ASSERT(Threshold > 100);
    CPPUNIT_ASSERT(Hysteresis * 10 < Threshold);
  });
  section("sizes grow for demand that outlasts a move", [] {
    HysteresisMoves P;
    const PoolId Pool("quotes");
    const std::vector<PoolLoad> High = {{Pool, 10, 10, 7, 8, 110U}};
    CPPUNIT_ASSERT_EQUAL(0, P.changes(High, Instant(Seconds(0)))[Pool]);
    CPPUNIT_ASSERT_EQUAL(0, P.changes(High, Instant(Seconds(30)))[Pool]);
    CPPUNIT_ASSERT_EQUAL(6, P.changes(High, Instant(Seconds(31)))[Pool]);
    section("they shrink after the cooldown, but not under the budget", [&] {
      const std::vector<PoolLoad> Low = {{Pool, 10, 16, 7, 8, 0U}};
      CPPUNIT_ASSERT_EQUAL(6, P.changes(Low, Instant(Seconds(40)))[Pool]);
      CPPUNIT_ASSERT_EQUAL(6, P.changes(Low, Instant(Seconds(340)))[Pool]);
      CPPUNIT_ASSERT_EQUAL(-3, P.changes(Low, Instant(Seconds(341)))[Pool]);
    });
  });
  section("a successor keeps the growth that it finds", [] {
    HysteresisMoves P;
    const PoolId Pool("quotes");
    const std::vector<PoolLoad> Grown = {{Pool, 10, 13, 7, 8, 80U}};
    CPPUNIT_ASSERT_EQUAL(3, P.changes(Grown, Instant())[Pool]);
  });
  section("a change is given up when nobody reports demand for it", [] {
    HysteresisMoves P;
    const PoolId Pool("bookings");
    const std::vector<PoolLoad> Unreported = {
        {Pool, 6, 11, 4, 8, std::nullopt}};
    CPPUNIT_ASSERT_EQUAL(5, P.changes(Unreported, Instant())[Pool]);
    CPPUNIT_ASSERT_EQUAL(5, P.changes(Unreported, Instant(Seconds(300)))[Pool]);
    CPPUNIT_ASSERT_EQUAL(0, P.changes(Unreported, Instant(Seconds(301)))[Pool]);
    section("a report in between restarts the cooldown", [&] {
      HysteresisMoves Q;
      const std::vector<PoolLoad> Reported = {{Pool, 6, 11, 4, 8, 60U}};
      CPPUNIT_ASSERT_EQUAL(5, Q.changes(Unreported, Instant())[Pool]);
      CPPUNIT_ASSERT_EQUAL(5, Q.changes(Reported, Instant(Seconds(200)))[Pool]);
      CPPUNIT_ASSERT_EQUAL(5,
                           Q.changes(Unreported, Instant(Seconds(301)))[Pool]);
    });
  });
}

HEATHERCROSS_STORY(Transfers, "instances change pools when they have drained") {
  ModelFleet Fleet;
  Fleet.addPool("portal", 6, 4, true);
  Fleet.addPool("quotes", 8, 6);
  Fleet.addWorkers(14);
  ModelHolder<> Holder(Fleet, {"portal", "quotes"});
  const auto Run = [&](Micros Time) {
    runUntil(Fleet, Holder, Time, [] { return false; });
  };
  Run(Seconds(2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Fleet.members("quotes").size());
  const auto SetSize = [&](std::uint32_t Size) {
    Fleet.View_.Pools_[PoolId("quotes")].Size_ = Size;
  };
  section("a transfer waits for a busy spare instance", [&] {
    for (auto &[Name, W] : Fleet.Workers_)
      W.Busy_ = 1;
    SetSize(9);
    Run(Seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Fleet.members("quotes").size());
    for (auto &[Name, W] : Fleet.Workers_)
      W.Busy_ = 0;
    Run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, Fleet.members("quotes").size());
  });
  section("the spare pool shrinks down to its budget and no further", [&] {
    SetSize(12);
    Run(Seconds(120));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Fleet.members("portal").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Fleet.members("quotes").size());
  });
  section(
      "a surplus that is no longer wanted returns, but only after a delay",
      [&] {
        SetSize(8);
        Run(Seconds(50));
        CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Fleet.members("quotes").size());
        Run(Seconds(30));
        CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Fleet.members("portal").size());
      });
  section("instances of a removed pool go to the spare pool", [&] {
    Fleet.View_.Pools_[PoolId("quotes")].Removed_ = true;
    Run(Seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, Fleet.members("portal").size());
  });
  CPPUNIT_ASSERT_EQUAL(0U, Fleet.Violations_.UnsafeTransfers_);
  CPPUNIT_ASSERT_EQUAL(0U, Fleet.Violations_.BudgetViolations_);
}
