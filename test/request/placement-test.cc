// Tests of the division of slots, the pickers and the health of workers.
#include "request/fixture.h"
#include "request/placement.h"
#include "request/slot-share.h"
#include "request/worker-health.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <numeric>

using namespace heathercross;
using namespace heathercross::request;
using namespace heathercross::request::test;
using heathercross::test::section;

namespace {
std::vector<EntryId> entryNames(int Count) {
  std::vector<EntryId> Names;
  for (int I = 0; I != Count; ++I)
    Names.emplace_back("e" + std::to_string(I));
  return Names;
}

WorkerState stateOf(std::uint32_t Share, std::uint32_t InFlight) {
  WorkerState W;
  W.Name_ = InstanceId("w");
  W.OwnZone_ = W.TakesWork_ = true;
  W.Total_ = 8;
  W.Share_ = Share;
  W.ConnectionShare_ = 32;
  W.InFlight_ = InFlight;
  return W;
}

constexpr Instant Then{Seconds(10)};
} // namespace

HEATHERCROSS_STORY(SlotDivision, "each slot falls to exactly one live entry") {
  HEATHERCROSS_PROPERTY("shares add up", [] {
    const auto Names = entryNames(*rc::gen::inRange(1, 9));
    const InstanceId Worker("w" + std::to_string(*rc::gen::arbitrary<int>()));
    const auto Slots = *rc::gen::inRange<std::uint32_t>(1, 65);
    std::uint32_t Sum = 0;
    for (const EntryId &E : Names)
      Sum += slotShare(Worker, Slots, E, Names);
    RC_ASSERT(Sum == Slots);
  });
  HEATHERCROSS_PROPERTY("who stays loses nothing when another goes", [] {
    auto Names = entryNames(*rc::gen::inRange(2, 9));
    const InstanceId Worker("w" + std::to_string(*rc::gen::arbitrary<int>()));
    const EntryId Stays = Names.back();
    const auto Before = slotShare(Worker, 8, Stays, Names);
    Names.erase(Names.begin());
    RC_ASSERT(slotShare(Worker, 8, Stays, Names) >= Before);
  });
  section("an entry that isn't listed yet counts itself", [] {
    const auto Names = entryNames(2);
    const EntryId Fresh("fresh");
    std::uint32_t Sum = 0;
    for (int I = 0; I != 100; ++I)
      Sum += slotShare(InstanceId(std::to_string(I)), 8, Fresh, Names);
    CPPUNIT_ASSERT(Sum > 180 && Sum < 360);
  });
}

HEATHERCROSS_STORY(SharedSlotsRule,
                   "own slots first, others on fresh reports") {
  const SharedSlotsPicker P;
  Ask A{Then, Millis(500)};
  WorkerState W = stateOf(3, 2);
  section("an own slot needs no report",
          [&] { CPPUNIT_ASSERT(P.rank(W, A).has_value()); });
  W.InFlight_ = 3;
  section("a slot beyond the share does",
          [&] { CPPUNIT_ASSERT(!P.rank(W, A)); });
  W.HasReport_ = true;
  W.ReportedAt_ = Then;
  W.Busy_ = 6;
  section("a fresh one with free slots lends it", [&] {
    CPPUNIT_ASSERT(P.rank(W, A).has_value());
    A.BorrowMargin_ = 2;
    CPPUNIT_ASSERT(!P.rank(W, A));
    A.BorrowMargin_ = 0;
  });
  section("an old one doesn't", [&] {
    A.Now_ = Then + Seconds(1);
    CPPUNIT_ASSERT(!P.rank(W, A));
    A.Now_ = Then;
  });
  section("a full worker gets nothing, not even into own slots", [&] {
    W.InFlight_ = 1;
    W.Busy_ = 8;
    CPPUNIT_ASSERT(!P.rank(W, A));
  });
  section("connections bound it too", [&] {
    W.Busy_ = 2;
    W.ConnectionShare_ = 1;
    CPPUNIT_ASSERT(!P.rank(W, A));
  });
}

HEATHERCROSS_STORY(DoubtEnds, "one failure doesn't starve a healthy worker") {
  const Ask Terms{Then, Seconds(1)};
  WorkerState Healthy = stateOf(8, 1);
  WorkerState Doubted = stateOf(8, 0);
  HealthWatch Health{HealthLimits{}};
  Health.failed(Doubted, {1, 2}, Then - Millis(1), 10, 0);
  const SharedSlotsPicker Picker;
  section("it is the last choice right after the failure", [&] {
    CPPUNIT_ASSERT(*Picker.rank(Doubted, Terms) > *Picker.rank(Healthy, Terms));
  });
  section("and a choice like any other soon after", [&] {
    const Ask Later{Then + Seconds(1), Seconds(1)};
    CPPUNIT_ASSERT(*Picker.rank(Doubted, Later) < *Picker.rank(Healthy, Later));
  });
}

HEATHERCROSS_STORY(BorrowMargins, "refusals raise the margin, time lowers it") {
  BorrowMargin M;
  CPPUNIT_ASSERT_EQUAL(0U, M.slots(Then));
  for (int I = 0; I != 100; ++I)
    M.refused(Then);
  CPPUNIT_ASSERT_EQUAL(3U, M.slots(Then));
  CPPUNIT_ASSERT_EQUAL(0U, M.slots(Then + Seconds(3)));
}

HEATHERCROSS_STORY(PickProperties, "a pick keeps to its terms") {
  HEATHERCROSS_PROPERTY("no pick goes where it may not", [] {
    Config C = config();
    C.Policy_ =
        *rc::gen::element(PickerPolicy::Random, PickerPolicy::LeastLoaded,
                          PickerPolicy::SharedSlots);
    Fleet F = smallFleet(2, 6);
    for (Candidate &W : F.Candidates_)
      W.TakesWork_ = *rc::gen::arbitrary<bool>();
    WorkerBoard Board(C);
    Board.apply(F);
    Placement Placed(C, Board);
    for (int I = 0; I != 60; ++I) {
      const auto At = Placed.find({PoolId("p1"), {}, {}, false, 0}, Then);
      if (!At)
        break;
      const WorkerState *W = Board.find(At->Worker_);
      RC_ASSERT(W->TakesWork_ && W->Pool_ == PoolId("p1"));
      RC_ASSERT(W->InFlight_ < W->Total_);
      Board.occupy(At->Worker_);
    }
    for (const WorkerState &W : Board.all())
      RC_ASSERT(!W.TakesWork_ || W.Pool_ != PoolId("p1") || W.InFlight_ == 8U);
  });
}

HEATHERCROSS_STORY(Health, "bad workers are told from bad callers") {
  const HealthWatch Fresh{HealthLimits()};
  const auto Fail = [](HealthWatch &H, WorkerState &W, std::uint64_t Team,
                       std::uint64_t Body, std::size_t Avoided = 0) {
    return H.failed(W, {Team, Body}, Then, 10, Avoided);
  };
  section("three distinct requests in a row make a worker avoided", [&] {
    HealthWatch H = Fresh;
    WorkerState W = stateOf(8, 0);
    Fail(H, W, 1, 11);
    Fail(H, W, 1, 11);
    Fail(H, W, 1, 12);
    CPPUNIT_ASSERT(HealthWatch::gate(W, Then) == HealthGate::Open);
    CPPUNIT_ASSERT(Fail(H, W, 1, 13));
    CPPUNIT_ASSERT(HealthWatch::gate(W, Then) == HealthGate::Shut);
    section("a probe brings it back, or keeps it out for longer", [&] {
      const Instant Later = Then + Seconds(1);
      CPPUNIT_ASSERT(HealthWatch::gate(W, Later) == HealthGate::Probe);
      WorkerState Again = W;
      H.failed(Again, {1, 14}, Later, 10, 1);
      CPPUNIT_ASSERT(HealthWatch::gate(Again, Later + Millis(1500)) ==
                     HealthGate::Shut);
      H.succeeded(W, {1, 15});
      CPPUNIT_ASSERT(HealthWatch::gate(W, Later) == HealthGate::Open);
    });
  });
  section("a success in between starts the count anew", [&] {
    HealthWatch H = Fresh;
    WorkerState W = stateOf(8, 0);
    for (std::uint64_t Body = 0; Body != 9; ++Body) {
      CPPUNIT_ASSERT(!Fail(H, W, 1, 100 + Body));
      if (Body % 2 == 1)
        H.succeeded(W, {2, 200});
    }
  });
  section("no more than the bounded share is avoided", [&] {
    HealthWatch H = Fresh;
    WorkerState W = stateOf(8, 0);
    for (std::uint64_t Body = 0; Body != 9; ++Body)
      CPPUNIT_ASSERT(!Fail(H, W, Body, 100 + Body, 3));
  });
  section("a caller that fails everywhere takes out no worker", [&] {
    HealthWatch H = Fresh;
    std::vector<WorkerState> Workers(10, stateOf(8, 0));
    for (int I = 0; I != 10; ++I)
      Workers[static_cast<std::size_t>(I)].Name_ = worker("p0", I).Worker_;
    for (std::uint64_t Body = 0; Body != 100; ++Body)
      CPPUNIT_ASSERT(!Fail(H, Workers[Body % 10], 7, Body));
    section("and the next bad worker is still found", [&] {
      for (std::uint64_t Body = 200; Body != 202; ++Body)
        CPPUNIT_ASSERT(!Fail(H, Workers[9], 8, Body));
      CPPUNIT_ASSERT(Fail(H, Workers[9], 8, 202));
    });
  });
}
