// Tests of the move policies and of the transfers between pools.
#include "fleet/model-fleet.h"
#include "fleet/moves.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;
using heathercross::test::section;

namespace {

/// Demand of five pools of ten that takes turns: one pool at five times its
/// mean for BurstSeconds, then at a twentieth until its next turn.
std::uint32_t rotatingDemand(unsigned Pool, unsigned Second,
                             unsigned BurstSeconds) {
  constexpr unsigned Mean = 24;
  const unsigned Turn = (Second / BurstSeconds) % 5;
  return Turn == Pool ? Mean * 5 : Mean / 20;
}

/// How often the policy changes a size in a run of 20 minutes.
template <class Policy> unsigned sizeChanges(unsigned BurstSeconds) {
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

HEATHERCROSS_STORY(MovePolicies, "moves follow what lasts") {
  section("a rotating burst is no reason to move", [] {
    CPPUNIT_ASSERT_EQUAL(0U, sizeChanges<NoMoves>(10));
    const auto Threshold = sizeChanges<ThresholdMoves>(10);
    const auto Hysteresis = sizeChanges<HysteresisMoves>(10);
    CPPUNIT_ASSERT(Threshold > 100);
    CPPUNIT_ASSERT(Hysteresis * 10 < Threshold);
  });
  section("demand that lasts longer than a move costs is", [] {
    HysteresisMoves P;
    const PoolId Pool("quotes");
    const std::vector<PoolLoad> High = {{Pool, 10, 10, 7, 8, 110U}};
    CPPUNIT_ASSERT_EQUAL(0, P.changes(High, Instant(Seconds(0)))[Pool]);
    CPPUNIT_ASSERT_EQUAL(0, P.changes(High, Instant(Seconds(30)))[Pool]);
    CPPUNIT_ASSERT_EQUAL(6, P.changes(High, Instant(Seconds(31)))[Pool]);
    section("and it is given back after the cooldown, not under budget", [&] {
      const std::vector<PoolLoad> Low = {{Pool, 10, 16, 7, 8, 0U}};
      CPPUNIT_ASSERT_EQUAL(6, P.changes(Low, Instant(Seconds(40)))[Pool]);
      CPPUNIT_ASSERT_EQUAL(6, P.changes(Low, Instant(Seconds(340)))[Pool]);
      CPPUNIT_ASSERT_EQUAL(-3, P.changes(Low, Instant(Seconds(341)))[Pool]);
    });
  });
  section("a successor takes what it finds for wanted", [] {
    HysteresisMoves P;
    const PoolId Pool("quotes");
    const std::vector<PoolLoad> Grown = {{Pool, 10, 13, 7, 8, 80U}};
    CPPUNIT_ASSERT_EQUAL(3, P.changes(Grown, Instant())[Pool]);
  });
  section("a change is given up when nobody reports demand for it", [] {
    HysteresisMoves P;
    const PoolId Pool("bookings");
    const std::vector<PoolLoad> Silent = {{Pool, 6, 11, 4, 8, std::nullopt}};
    CPPUNIT_ASSERT_EQUAL(5, P.changes(Silent, Instant())[Pool]);
    CPPUNIT_ASSERT_EQUAL(5, P.changes(Silent, Instant(Seconds(300)))[Pool]);
    CPPUNIT_ASSERT_EQUAL(0, P.changes(Silent, Instant(Seconds(301)))[Pool]);
    section("and a report in between starts the time anew", [&] {
      HysteresisMoves Q;
      const std::vector<PoolLoad> Told = {{Pool, 6, 11, 4, 8, 60U}};
      CPPUNIT_ASSERT_EQUAL(5, Q.changes(Silent, Instant())[Pool]);
      CPPUNIT_ASSERT_EQUAL(5, Q.changes(Told, Instant(Seconds(200)))[Pool]);
      CPPUNIT_ASSERT_EQUAL(5, Q.changes(Silent, Instant(Seconds(301)))[Pool]);
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
  const auto Grow = [&](std::uint32_t Size) {
    Fleet.View_.Pools_[PoolId("quotes")].Size_ = Size;
  };
  section("a busy spare instance is waited for", [&] {
    for (auto &[Name, W] : Fleet.Workers_)
      W.Busy_ = 1;
    Grow(9);
    Run(Seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{8}, Fleet.members("quotes").size());
    for (auto &[Name, W] : Fleet.Workers_)
      W.Busy_ = 0;
    Run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{9}, Fleet.members("quotes").size());
  });
  section("the spare pool gives down to its budget and no further", [&] {
    Grow(12);
    Run(Seconds(120));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Fleet.members("portal").size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Fleet.members("quotes").size());
  });
  section("what is no longer wanted goes back, but only after a while", [&] {
    Grow(8);
    Run(Seconds(50));
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, Fleet.members("quotes").size());
    Run(Seconds(30));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, Fleet.members("portal").size());
  });
  section("a removed pool's instances go to the spare pool", [&] {
    Fleet.View_.Pools_[PoolId("quotes")].Removed_ = true;
    Run(Seconds(60));
    CPPUNIT_ASSERT_EQUAL(std::size_t{14}, Fleet.members("portal").size());
  });
  CPPUNIT_ASSERT_EQUAL(0U, Fleet.Faults_.RashMoves_);
  CPPUNIT_ASSERT_EQUAL(0U, Fleet.Faults_.BudgetBroken_);
}
