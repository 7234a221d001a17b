// Tests of the request decisions under load: goodput, shares, broken workers,
// urgent work, overflow and lost zones.
#include "request/load.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::request;
using namespace heathercross::request::test;
using heathercross::test::section;

namespace {
/// Four workers of 8 slots and 50 ms of work serve 640 requests a second.
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

Offer offerOf(double PerSecond, const std::string &Team = "t") {
  Offer O;
  O.PerSecond_ = PerSecond;
  O.Team_ = TeamId(Team);
  return O;
}

double share(std::size_t Part, std::size_t Whole) {
  return static_cast<double>(Part) / static_cast<double>(Whole);
}
} // namespace

HEATHERCROSS_STORY(GoodputUnderLoad, "goodput doesn't fall as load grows") {
  for (const int Count : {1, 2, 3})
    for (const double Times : {1.0, 2.0, 5.0})
      section(std::to_string(Count) + " entries, load " + std::to_string(Times),
              [&] {
                Load L(fleetOf(4, Count), entries(Count));
                L.offer(offerOf(Capacity * Times));
                L.run(Seconds(8));
                const Tally &T = L.of("t");
                CPPUNIT_ASSERT(static_cast<double>(T.InWindow_) >=
                               0.97 * Capacity * 5);
                CPPUNIT_ASSERT_EQUAL(T.Offered_,
                                     T.InWindow_ + T.NotRun_ + T.Other_);
                CPPUNIT_ASSERT(share(T.Other_, T.Offered_) < 0.005);
                CPPUNIT_ASSERT(share(L.refusals(), T.Offered_) < 0.05);
              });
}

HEATHERCROSS_STORY(SlotsOfFrozenEntry, "a frozen entry's slots are borrowed") {
  Load L(fleetOf(4, 2), entries(2));
  L.freezeEntry(0);
  L.offer(offerOf(Capacity * 0.9));
  L.run(Seconds(8));
  CPPUNIT_ASSERT(share(L.of("t").InWindow_, L.of("t").Offered_) > 0.99);
}

HEATHERCROSS_STORY(TeamsShare, "teams share a short pool by weight") {
  Fleet F = fleetOf(4, 1);
  F.Quotas_[TeamId("heavy")] = Quota{TeamId("heavy"), 3};
  F.Quotas_[TeamId("light")] = Quota{TeamId("light"), 1};
  section("both ask for more than there is", [&] {
    Load L(F, entries(1));
    L.offer(offerOf(2 * Capacity, "heavy"));
    L.offer(offerOf(2 * Capacity, "light"));
    L.run(Seconds(8));
    const double Ratio =
        share(L.of("heavy").InWindow_, L.of("light").InWindow_);
    CPPUNIT_ASSERT(Ratio > 2.4 && Ratio < 3.6);
  });
  section("a team within its share loses nothing to one that floods", [&] {
    Load L(F, entries(1));
    L.offer(offerOf(5 * Capacity, "heavy"));
    L.offer(offerOf(0.2 * Capacity, "light"));
    L.run(Seconds(8));
    CPPUNIT_ASSERT(share(L.of("light").InWindow_, L.of("light").Offered_) >
                   0.98);
  });
  section("an idle share is lent, and taken back at once", [&] {
    Load L(F, entries(1));
    L.offer(offerOf(2 * Capacity, "light"));
    Offer Back = offerOf(0.7 * Capacity, "heavy");
    Back.From_ = Seconds(2);
    L.offer(Back);
    L.run(Seconds(2));
    CPPUNIT_ASSERT(L.of("light").InWindow_ > Capacity * 1.7);
    L.run(Seconds(8));
    CPPUNIT_ASSERT(share(L.of("heavy").InWindow_, L.of("heavy").Offered_) >
                   0.98);
  });
}

HEATHERCROSS_STORY(HalfThePoolDies, "a retry storm stays bounded") {
  Load L(fleetOf(10, 2), entries(2));
  L.offer(offerOf(2.5 * Capacity));
  for (int I = 0; I != 5; ++I)
    L.later(Seconds(1), [&L, I] { L.kill("p0-w" + std::to_string(I)); });
  L.run(Seconds(2));
  const std::size_t Before = L.of("t").InWindow_;
  L.run(Seconds(8));
  CPPUNIT_ASSERT(share(L.tries(), L.of("t").Offered_) < 1.2);
  CPPUNIT_ASSERT(static_cast<double>(L.of("t").InWindow_ - Before) >
                 0.9 * 3 * 1.25 * Capacity);
}

HEATHERCROSS_STORY(BadWorkersAndPoison,
                   "bad workers get out, healthy ones stay in") {
  section("a worker that fails everything sees a few requests", [] {
    Load L(fleetOf(10, 1), entries(1));
    L.breakWorker("p0-w3");
    L.offer(offerOf(0.5 * Capacity));
    L.run(Seconds(8));
    CPPUNIT_ASSERT(L.triesOn("p0-w3") < 12);
    CPPUNIT_ASSERT(L.triesOn("p0-w4") > 100);
  });
  section("at most a bounded share of a pool is avoided", [] {
    Load L(fleetOf(10, 1), entries(1));
    for (int I = 0; I != 10; ++I)
      L.breakWorker("p0-w" + std::to_string(I));
    L.offer(offerOf(0.5 * Capacity, "one"));
    L.offer(offerOf(0.5 * Capacity, "other"));
    L.run(Seconds(4));
    CPPUNIT_ASSERT(L.entry(0).counters().WorkersAvoided_ <= 3);
  });
}

HEATHERCROSS_STORY(UrgentOnFullPool, "urgent work starts on a full pool") {
  Load L(fleetOf(4, 2), entries(2));
  for (int I = 0; I != 4; ++I)
    L.occupy("p0-w" + std::to_string(I), 8);
  Offer O = offerOf(10, "urgent");
  O.Urgency_ = Urgency::Urgent;
  O.Window_ = Seconds(4);
  O.From_ = Millis(500);
  L.offer(O);
  L.run(Seconds(10));
  const Tally &T = L.of("urgent");
  CPPUNIT_ASSERT_EQUAL(T.Offered_, T.InWindow_);
  CPPUNIT_ASSERT(T.LongestWait_ < Millis(2200));
}

HEATHERCROSS_STORY(OverflowIntoSpare,
                   "bursts use the spare pool's idle slots") {
  Fleet F = fleetOf(4, 2);
  addSpare(F, 4);
  const auto Burst = [&](Load &L) { L.offer(offerOf(1.6 * Capacity)); };
  section("without a move", [&] {
    Load L(F, entries(2));
    Burst(L);
    L.run(Seconds(8));
    CPPUNIT_ASSERT(share(L.of("t").InWindow_, L.of("t").Offered_) > 0.98);
    CPPUNIT_ASSERT(L.entry(0).counters().Overflowed_ > 100);
  });
  section("while the spare pool's own users keep their window", [&] {
    Load L(F, entries(2));
    L.offer(offerOf(5 * Capacity));
    Offer Own = offerOf(0.6 * Capacity, "office");
    Own.Pool_ = PoolId("spare");
    L.offer(Own);
    L.run(Seconds(8));
    CPPUNIT_ASSERT(share(L.of("office").InWindow_, L.of("office").Offered_) >
                   0.98);
  });
  section("not when the pool's ticket forbids it", [&] {
    F.Pools_[PoolId("p0")].MayOverflow_ = false;
    Load L(F, entries(2));
    Burst(L);
    L.run(Seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, L.entry(0).counters().Overflowed_);
  });
}

HEATHERCROSS_STORY(OtherZones, "other zones help only when the own is short") {
  Fleet F = fleetOf(4, 1);
  for (int I = 4; I != 8; ++I)
    F.Candidates_.push_back(worker("p0", I, "b"));
  section("not while the own zone has room", [&] {
    Load L(F, entries(1));
    L.offer(offerOf(0.5 * Capacity));
    L.run(Seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{0}, L.entry(0).counters().OtherZone_);
  });
  section("with a bounded share of their slots when it is full", [&] {
    Load L(F, entries(1));
    L.offer(offerOf(5 * Capacity));
    L.run(Seconds(8));
    const auto Crossed = L.entry(0).counters().OtherZone_;
    CPPUNIT_ASSERT(Crossed > 0);
    CPPUNIT_ASSERT(static_cast<double>(Crossed) < 0.3 * Capacity * 6);
  });
  section("and with more when it is lost", [&] {
    for (Candidate &C : F.Candidates_)
      C.TakesWork_ = C.Zone_ != ZoneId("a");
    Load L(F, entries(1));
    L.offer(offerOf(0.4 * Capacity));
    L.run(Seconds(8));
    CPPUNIT_ASSERT(share(L.of("t").InWindow_, L.of("t").Offered_) > 0.98);
  });
}
