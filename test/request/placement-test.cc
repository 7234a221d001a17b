// Tests of slot division, picker policies and worker health.
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
  W.SlotCount_ = 8;
  W.SlotShare_ = Share;
  W.ConnectionShare_ = 32;
  W.InFlight_ = InFlight;
  return W;
}

constexpr Instant Start{Seconds(10)};
} // namespace

HEATHERCROSS_STORY(SlotDivision,
                   "each slot belongs to exactly one live entry") {
  HEATHERCROSS_PROPERTY("the shares add up", [] {
    const auto Names = entryNames(*rc::gen::inRange(1, 9));
    const InstanceId Worker("w" + std::to_string(*rc::gen::arbitrary<int>()));
    const auto Slots = *rc::gen::inRange<std::uint32_t>(1, 65);
    std::uint32_t Sum = 0;
    for (const EntryId &E : Names)
      Sum += slotShare(Worker, Slots, E, Names);
    RC_ASSERT(Sum == Slots);
  });
  HEATHERCROSS_PROPERTY(
      "the remaining ones lose nothing when another leaves", [] {
        auto Names = entryNames(*rc::gen::inRange(2, 9));
        const InstanceId Worker("w" +
                                std::to_string(*rc::gen::arbitrary<int>()));
        const EntryId Stays = Names.back();
        const auto Before = slotShare(Worker, 8, Stays, Names);
        Names.erase(Names.begin());
        RC_ASSERT(slotShare(Worker, 8, Stays, Names) >= Before);
      });
  section("an entry that isn't listed counts itself", [] {
    const auto Names = entryNames(2);
    const EntryId Fresh("fresh");
    std::uint32_t Sum = 0;
    for (int I = 0; I != 100; ++I)
      Sum += slotShare(InstanceId(std::to_string(I)), 8, Fresh, Names);
    CPPUNIT_ASSERT(Sum > 180 && Sum < 360);
  });
}

HEATHERCROSS_STORY(SharedSlotsRule,
                   "own slots first, others only on fresh reports") {
  const SharedSlotsPicker Picker;
  SearchTerms Terms{Start, Millis(500)};
  WorkerState W = stateOf(3, 2);
  section("an own slot needs no report",
          [&] { CPPUNIT_ASSERT(Picker.rank(W, Terms).has_value()); });
  W.InFlight_ = 3;
  section("a slot beyond the share does",
          [&] { CPPUNIT_ASSERT(!Picker.rank(W, Terms)); });
  W.HasReport_ = true;
  W.ReportedAt_ = Start;
  W.Busy_ = 6;
  section("a fresh report with enough free slots permits it", [&] {
    CPPUNIT_ASSERT(Picker.rank(W, Terms).has_value());
    Terms.BorrowMargin_ = 2;
    CPPUNIT_ASSERT(!Picker.rank(W, Terms));
    Terms.BorrowMargin_ = 0;
  });
  section("an old report doesn't", [&] {
    Terms.Now_ = Start + Seconds(1);
    CPPUNIT_ASSERT(!Picker.rank(W, Terms));
    Terms.Now_ = Start;
  });
  section("a full worker gets nothing, not even for own slots", [&] {
    W.InFlight_ = 1;
    W.Busy_ = 8;
    CPPUNIT_ASSERT(!Picker.rank(W, Terms));
  });
  section("connections are limited too", [&] {
    W.Busy_ = 2;
    W.ConnectionShare_ = 1;
    CPPUNIT_ASSERT(!Picker.rank(W, Terms));
  });
}

HEATHERCROSS_STORY(FailurePenaltyExpires,
                   "one failure doesn't starve a healthy worker") {
  const SearchTerms Terms{Start, Seconds(1)};
  WorkerState Healthy = stateOf(8, 1);
  WorkerState Failing = stateOf(8, 0);
  HealthTracker Health{HealthLimits{}};
  Health.failed(Failing, {1, 2}, Start - Millis(1), 10, 0);
  const SharedSlotsPicker Picker;
  section("right after the failure it ranks last", [&] {
    CPPUNIT_ASSERT(*Picker.rank(Failing, Terms) > *Picker.rank(Healthy, Terms));
  });
  section("shortly after it ranks like any other", [&] {
    const SearchTerms Later{Start + Seconds(1), Seconds(1)};
    CPPUNIT_ASSERT(*Picker.rank(Failing, Later) < *Picker.rank(Healthy, Later));
  });
}

HEATHERCROSS_STORY(BorrowMargins,
                   "refusals raise the margin, and it decays over time") {
  BorrowMargin M;
  CPPUNIT_ASSERT_EQUAL(0U, M.slots(Start));
  for (int I = 0; I != 100; ++I)
    M.refused(Start);
  CPPUNIT_ASSERT_EQUAL(3U, M.slots(Start));
  CPPUNIT_ASSERT_EQUAL(0U, M.slots(Start + Seconds(3)));
}

HEATHERCROSS_STORY(PickProperties, "a search adheres to its constraints") {
  HEATHERCROSS_PROPERTY("no choice breaks a constraint", [] {
    Config C = config();
    C.Policy_ =
        *rc::gen::element(PickerPolicy::Random, PickerPolicy::LeastLoaded,
                          PickerPolicy::SharedSlots);
    Fleet F = smallFleet(2, 6);
    for (Candidate &W : F.Candidates_)
      W.TakesWork_ = *rc::gen::arbitrary<bool>();
    WorkerRegistry Registry(C);
    Registry.apply(F);
    Placement Search(C, Registry);
    for (int I = 0; I != 60; ++I) {
      const auto Choice = Search.find({PoolId("p1"), {}, {}, false, 0}, Start);
      if (!Choice)
        break;
      const WorkerState *W = Registry.find(Choice->Worker_);
      RC_ASSERT(W->TakesWork_ && W->Pool_ == PoolId("p1"));
      RC_ASSERT(W->InFlight_ < W->SlotCount_);
      Registry.occupy(Choice->Worker_);
    }
    for (const WorkerState &W : Registry.all())
      RC_ASSERT(!W.TakesWork_ || W.Pool_ != PoolId("p1") || W.InFlight_ == 8U);
  });
}

HEATHERCROSS_STORY(Health, "bad workers are distinguished from bad callers") {
  const HealthTracker Fresh{HealthLimits()};
  const auto Fail = [](HealthTracker &H, WorkerState &W, std::uint64_t Team,
                       std::uint64_t Body, std::size_t Avoided = 0) {
    return H.failed(W, {Team, Body}, Start, 10, Avoided);
  };
  section(
      "three distinct requests that fail in a row make a worker avoided", [&] {
        HealthTracker H = Fresh;
        WorkerState W = stateOf(8, 0);
        Fail(H, W, 1, 11);
        Fail(H, W, 1, 11);
        Fail(H, W, 1, 12);
        CPPUNIT_ASSERT(HealthTracker::gate(W, Start) == HealthGate::Open);
        CPPUNIT_ASSERT(Fail(H, W, 1, 13));
        CPPUNIT_ASSERT(HealthTracker::gate(W, Start) == HealthGate::Blocked);
        section(
            "a successful probe ends that, an unsuccessful one extends it",
            [&] {
              const Instant Later = Start + Seconds(1);
              CPPUNIT_ASSERT(HealthTracker::gate(W, Later) ==
                             HealthGate::Probe);
              WorkerState Again = W;
              H.failed(Again, {1, 14}, Later, 10, 1);
              CPPUNIT_ASSERT(HealthTracker::gate(Again, Later + Millis(1500)) ==
                             HealthGate::Blocked);
              H.succeeded(W, {1, 15});
              CPPUNIT_ASSERT(HealthTracker::gate(W, Later) == HealthGate::Open);
            });
      });
  section("a success in between resets the count", [&] {
    HealthTracker H = Fresh;
    WorkerState W = stateOf(8, 0);
    for (std::uint64_t Body = 0; Body != 9; ++Body) {
      CPPUNIT_ASSERT(!Fail(H, W, 1, 100 + Body));
      if (Body % 2 == 1)
        H.succeeded(W, {2, 200});
    }
  });
  section("no more than the maximum share is avoided", [&] {
    HealthTracker H = Fresh;
    WorkerState W = stateOf(8, 0);
    for (std::uint64_t Body = 0; Body != 9; ++Body)
      CPPUNIT_ASSERT(!Fail(H, W, Body, 100 + Body, 3));
  });
  section("a caller that fails everywhere makes no worker avoided", [&] {
    HealthTracker H = Fresh;
    std::vector<WorkerState> Workers(10, stateOf(8, 0));
    for (int I = 0; I != 10; ++I)
      Workers[static_cast<std::size_t>(I)].Name_ = worker("p0", I).Worker_;
    for (std::uint64_t Body = 0; Body != 100; ++Body)
      CPPUNIT_ASSERT(!Fail(H, Workers[Body % 10], 7, Body));
    section("a bad worker is still detected afterwards", [&] {
      for (std::uint64_t Body = 200; Body != 202; ++Body)
        CPPUNIT_ASSERT(!Fail(H, Workers[9], 8, Body));
      CPPUNIT_ASSERT(Fail(H, Workers[9], 8, 202));
    });
  });
}
