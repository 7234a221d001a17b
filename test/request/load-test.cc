// Tests of the request logic under load: goodput, shares, failing workers,
// urgent requests, overflow and lost zones.
#include "request/load-simulation.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::request;
using namespace heathercross::request::test;
using heathercross::test::section;

namespace {
/// Requests per second that four workers with 8 slots serve at 50 ms each.
constexpr double Capacity = 640;

std::vector<Config> entries(int Count,
                            PickerPolicy Policy = PickerPolicy::SharedSlots) {
  std::vector<Config> Result;
  for (int I = 1; I <= Count; ++I) {
    Result.push_back(config("e" + std::to_string(I)));
    Result.back().Seed_ = static_cast<std::uint64_t>(I);
    Result.back().Policy_ = Policy;
  }
  return Result;
}

Fleet fleetOf(int Workers, int Entries) {
  Fleet F = smallFleet(1, Workers);
  F.ZoneEntries_.clear();
  for (const Config &C : entries(Entries))
    F.ZoneEntries_.push_back(C.Entry_);
  return F;
}

OfferedLoad offerOf(double PerSecond, const std::string &Team = "t") {
  OfferedLoad O;
  O.PerSecond_ = PerSecond;
  O.Team_ = TeamId(Team);
  return O;
}

double share(std::size_t Part, std::size_t Total) {
  return static_cast<double>(Part) / static_cast<double>(Total);
}
} // namespace

HEATHERCROSS_STORY(GoodputUnderLoad, "goodput doesn't fall as load grows") {
  for (const int Count : {1, 2, 3})
    for (const double LoadFactor : {1.0, 2.0, 5.0})
      section(std::to_string(Count) + " entries, load " +
                  std::to_string(LoadFactor),
              [&] {
                LoadSimulation Sim(fleetOf(4, Count), entries(Count));
                Sim.offer(offerOf(Capacity * LoadFactor));
                Sim.run(Seconds(8));
                const TeamStats &T = Sim.statsOf("t");
                CPPUNIT_ASSERT(static_cast<double>(T.InWindow_) >=
                               0.97 * Capacity * 5);
                CPPUNIT_ASSERT_EQUAL(T.Offered_,
                                     T.InWindow_ + T.NotRun_ + T.Other_);
                CPPUNIT_ASSERT(share(T.Other_, T.Offered_) < 0.005);
                CPPUNIT_ASSERT(share(Sim.refusals(), T.Offered_) < 0.05);
              });
}

HEATHERCROSS_STORY(SlotsOfFrozenEntry,
                   "the slots of a frozen entry are borrowed") {
  LoadSimulation Sim(fleetOf(4, 2), entries(2));
  Sim.freezeEntry(0);
  Sim.offer(offerOf(Capacity * 0.9));
  Sim.run(Seconds(8));
  CPPUNIT_ASSERT(share(Sim.statsOf("t").InWindow_, Sim.statsOf("t").Offered_) >
                 0.99);
}

HEATHERCROSS_STORY(TeamsShare, "teams share an overloaded pool by weight") {
  Fleet F = fleetOf(4, 1);
  F.Quotas_[TeamId("heavy")] = Quota{TeamId("heavy"), 3};
  F.Quotas_[TeamId("light")] = Quota{TeamId("light"), 1};
  section("both ask for more than there is", [&] {
    LoadSimulation Sim(F, entries(1));
    Sim.offer(offerOf(2 * Capacity, "heavy"));
    Sim.offer(offerOf(2 * Capacity, "light"));
    Sim.run(Seconds(8));
    const double Ratio =
        share(Sim.statsOf("heavy").InWindow_, Sim.statsOf("light").InWindow_);
    CPPUNIT_ASSERT(Ratio > 2.4 && Ratio < 3.6);
  });
  section("a team within its share loses nothing to one that floods", [&] {
    LoadSimulation Sim(F, entries(1));
    Sim.offer(offerOf(5 * Capacity, "heavy"));
    Sim.offer(offerOf(0.2 * Capacity, "light"));
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT(share(Sim.statsOf("light").InWindow_,
                         Sim.statsOf("light").Offered_) > 0.98);
  });
  section("an idle share is lent and returned at once", [&] {
    LoadSimulation Sim(F, entries(1));
    Sim.offer(offerOf(2 * Capacity, "light"));
    OfferedLoad ReturningLoad = offerOf(0.7 * Capacity, "heavy");
    ReturningLoad.From_ = Seconds(2);
    Sim.offer(ReturningLoad);
    Sim.run(Seconds(2));
    CPPUNIT_ASSERT(Sim.statsOf("light").InWindow_ > Capacity * 1.7);
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT(share(Sim.statsOf("heavy").InWindow_,
                         Sim.statsOf("heavy").Offered_) > 0.98);
  });
}

HEATHERCROSS_STORY(HalfOfPoolFails, "a retry storm stays bounded") {
  LoadSimulation Sim(fleetOf(10, 2), entries(2));
  Sim.offer(offerOf(2.5 * Capacity));
  for (int I = 0; I != 5; ++I)
    Sim.scheduleAfter(Seconds(1),
                      [&Sim, I] { Sim.kill("p0-w" + std::to_string(I)); });
  Sim.run(Seconds(2));
  const std::size_t Before = Sim.statsOf("t").InWindow_;
  Sim.run(Seconds(8));
  CPPUNIT_ASSERT(share(Sim.tries(), Sim.statsOf("t").Offered_) < 1.2);
  CPPUNIT_ASSERT(static_cast<double>(Sim.statsOf("t").InWindow_ - Before) >
                 0.9 * 3 * 1.25 * Capacity);
}

HEATHERCROSS_STORY(FailingWorkers,
                   "failing workers are avoided, healthy ones remain") {
  section("a worker that fails everything gets few requests", [] {
    LoadSimulation Sim(fleetOf(10, 1), entries(1));
    Sim.breakWorker("p0-w3");
    Sim.offer(offerOf(0.5 * Capacity));
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT(Sim.triesOn("p0-w3") < 12);
    CPPUNIT_ASSERT(Sim.triesOn("p0-w4") > 100);
  });
  section("at most the maximum share of a pool is avoided", [] {
    LoadSimulation Sim(fleetOf(10, 1), entries(1));
    for (int I = 0; I != 10; ++I)
      Sim.breakWorker("p0-w" + std::to_string(I));
    Sim.offer(offerOf(0.5 * Capacity, "one"));
    Sim.offer(offerOf(0.5 * Capacity, "other"));
    Sim.run(Seconds(4));
    CPPUNIT_ASSERT(Sim.entry(0).counters().WorkersAvoided_ <= 3);
  });
}

HEATHERCROSS_STORY(UrgentOnFullPool, "urgent work starts on a full pool") {
  LoadSimulation Sim(fleetOf(4, 2), entries(2));
  for (int I = 0; I != 4; ++I)
    Sim.occupy("p0-w" + std::to_string(I), 8);
  OfferedLoad O = offerOf(10, "urgent");
  O.Urgency_ = Urgency::Urgent;
  O.Window_ = Seconds(4);
  O.From_ = Millis(500);
  Sim.offer(O);
  Sim.run(Seconds(10));
  const TeamStats &T = Sim.statsOf("urgent");
  CPPUNIT_ASSERT_EQUAL(T.Offered_, T.InWindow_);
  CPPUNIT_ASSERT(T.LongestWait_ < Millis(2200));
}

HEATHERCROSS_STORY(OverflowIntoSpare,
                   "bursts use idle slots of the spare pool") {
  Fleet F = fleetOf(4, 2);
  addSpare(F, 4);
  const auto Burst = [&](LoadSimulation &Sim) {
    Sim.offer(offerOf(1.6 * Capacity));
  };
  section("without a move", [&] {
    LoadSimulation Sim(F, entries(2));
    Burst(Sim);
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT(
        share(Sim.statsOf("t").InWindow_, Sim.statsOf("t").Offered_) > 0.98);
    CPPUNIT_ASSERT(Sim.entry(0).counters().Overflowed_ > 100);
  });
  section("the spare pool's own users keep their windows", [&] {
    LoadSimulation Sim(F, entries(2));
    Sim.offer(offerOf(5 * Capacity));
    OfferedLoad Own = offerOf(0.6 * Capacity, "office");
    Own.Pool_ = PoolId("spare");
    Sim.offer(Own);
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT(share(Sim.statsOf("office").InWindow_,
                         Sim.statsOf("office").Offered_) > 0.98);
  });
  section("not if the pool's ticket forbids it", [&] {
    F.Pools_[PoolId("p0")].MayOverflow_ = false;
    LoadSimulation Sim(F, entries(2));
    Burst(Sim);
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Sim.entry(0).counters().Overflowed_);
  });
}

HEATHERCROSS_STORY(OtherZones,
                   "other zones are used only when the own one is short") {
  Fleet F = fleetOf(4, 1);
  for (int I = 4; I != 8; ++I)
    F.Candidates_.push_back(worker("p0", I, "b"));
  section("not while the own zone has room", [&] {
    LoadSimulation Sim(F, entries(1));
    Sim.offer(offerOf(0.5 * Capacity));
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, Sim.entry(0).counters().OtherZone_);
  });
  section("a limited share of their slots while it is full", [&] {
    LoadSimulation Sim(F, entries(1));
    Sim.offer(offerOf(5 * Capacity));
    Sim.run(Seconds(8));
    const auto Crossed = Sim.entry(0).counters().OtherZone_;
    CPPUNIT_ASSERT(Crossed > 0);
    CPPUNIT_ASSERT(static_cast<double>(Crossed) < 0.3 * Capacity * 6);
  });
  section("and more of them while it is lost", [&] {
    for (Candidate &C : F.Candidates_)
      C.TakesWork_ = C.Zone_ != ZoneId("a");
    LoadSimulation Sim(F, entries(1));
    Sim.offer(offerOf(0.4 * Capacity));
    Sim.run(Seconds(8));
    CPPUNIT_ASSERT(
        share(Sim.statsOf("t").InWindow_, Sim.statsOf("t").Offered_) > 0.98);
  });
}
