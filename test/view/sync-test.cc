// Tests of the schedule of reads and peer requests, and of readiness.
#include "support/story.h"
#include "view/sync.h"

#include <algorithm>
#include <set>

using namespace heathercross;
using namespace heathercross::view;
using heathercross::test::section;

namespace {

constexpr Micros Tick = Millis(100);

Instant timeAt(Micros D) { return Instant(D); }

template <class E> int count(const SyncEffects &Effects) {
  return static_cast<int>(std::ranges::count_if(
      Effects, [](const auto &X) { return std::holds_alternative<E>(X); }));
}

/// An entry whose platform responds immediately or not at all.
struct Entry {
  explicit Entry(std::uint64_t Seed) : Sync_(timeAt(Micros(0)), Seed) {}

  void handle(Instant Now, const SyncEvent &E) { apply(Now, Sync_.on(Now, E)); }

  void apply(Instant Now, const SyncEffects &Effects) {
    BecameReady_ += count<BecameReady>(Effects);
    for (const SyncEffect &E : Effects) {
      if (std::holds_alternative<ReadHead>(E)) {
        ++Reads_;
        handle(Now, PlatformDown_ ? SyncEvent(ReadFailed())
                                  : HeadRead{PlatformHead_});
      }
      if (const auto *R = std::get_if<ReadRows>(&E))
        handle(Now, RowsApplied{R->Head_});
      if (const auto *A = std::get_if<RequestPeerChanges>(&E))
        PeerRequests_.push_back(A->Peer_.str());
    }
  }

  void run(Micros From, Micros To) {
    for (Micros T = From; T < To; T += Tick)
      handle(timeAt(T), SyncTick());
  }

  ViewSync Sync_;
  bool PlatformDown_ = false;
  TicketNumber PlatformHead_{5};
  int Reads_ = 0;
  int BecameReady_ = 0;
  std::vector<std::string> PeerRequests_;
};

} // namespace

HEATHERCROSS_STORY(SyncWithPlatform, "while the platform answers") {
  Entry E(1);
  E.run(Micros(0), Seconds(20));
  section("the entry is ready at once and reads at its interval", [&] {
    CPPUNIT_ASSERT_EQUAL(1, E.BecameReady_);
    CPPUNIT_ASSERT(E.Sync_.head() == TicketNumber(5));
    CPPUNIT_ASSERT(E.Reads_ >= 8 && E.Reads_ <= 14);
  });
  section("a peer that is ahead makes it read soon, once", [&] {
    E.PlatformHead_ = TicketNumber(6);
    const int Before = E.Reads_;
    for (int I = 0; I < 5; ++I)
      E.handle(timeAt(Seconds(20)),
               PeerHeadReported{EntryId("b"), TicketNumber(6)});
    E.run(Seconds(20), Seconds(20) + Millis(400));
    CPPUNIT_ASSERT_EQUAL(Before + 1, E.Reads_);
    CPPUNIT_ASSERT(E.Sync_.head() == TicketNumber(6));
    CPPUNIT_ASSERT(E.PeerRequests_.empty());
  });
}

HEATHERCROSS_STORY(SyncWithoutPlatform, "while the platform is away") {
  Entry E(2);
  E.PlatformDown_ = true;
  section("a fresh entry without peers isn't ready", [&] {
    E.run(Micros(0), Seconds(10));
    CPPUNIT_ASSERT(!E.Sync_.ready());
  });
  section(
      "it asks the peer with the highest head, and others if it fails", [&] {
        E.handle(timeAt(Seconds(10)),
                 PeerHeadReported{EntryId("b"), TicketNumber(7)});
        E.handle(timeAt(Seconds(10)),
                 PeerHeadReported{EntryId("c"), TicketNumber(9)});
        E.run(Seconds(10), Seconds(11));
        E.handle(timeAt(Seconds(11)), PeerRequestFailed{EntryId("c")});
        E.run(Seconds(11), Seconds(12));
        CPPUNIT_ASSERT(E.PeerRequests_ == (std::vector<std::string>{"c", "b"}));
        CPPUNIT_ASSERT(!E.Sync_.ready());
      });
  section("it is ready with the data of the highest that answers", [&] {
    E.handle(timeAt(Seconds(12)),
             PeerChangesMerged{EntryId("b"), TicketNumber(7)});
    CPPUNIT_ASSERT(E.Sync_.ready());
    CPPUNIT_ASSERT(E.Sync_.head() == TicketNumber(7));
  });
  section("an older head of the platform doesn't replace it", [&] {
    E.PlatformDown_ = false;
    E.run(Seconds(12), Seconds(30));
    CPPUNIT_ASSERT(!E.Sync_.platformUnavailable());
    CPPUNIT_ASSERT(E.Sync_.head() == TicketNumber(7));
    CPPUNIT_ASSERT_EQUAL(1, E.BecameReady_);
  });
}

HEATHERCROSS_STORY(SyncAfterOutage,
                   "after a long outage entries don't read all at once") {
  constexpr int Entries = 200;
  const Micros Recovery = std::chrono::minutes(10);
  const Micros Until = Recovery + Seconds(15);
  std::vector<int> PerTick(static_cast<std::size_t>(Until / Tick) + 1, 0);
  for (int I = 0; I < Entries; ++I) {
    Entry E(static_cast<std::uint64_t>(I));
    E.PlatformDown_ = true;
    int Before = 0;
    for (Micros T{0}; T < Until; T += Tick) {
      E.PlatformDown_ = T < Recovery;
      E.handle(timeAt(T), SyncTick());
      PerTick[static_cast<std::size_t>(T / Tick)] += E.Reads_ - Before;
      Before = E.Reads_;
    }
    CPPUNIT_ASSERT(!E.Sync_.platformUnavailable());
  }
  const auto FirstAfter = PerTick.begin() + Recovery / Tick;
  for (auto SecondStart = FirstAfter; SecondStart + 10 < PerTick.end();
       SecondStart += 10) {
    int Reads = 0;
    std::for_each(SecondStart, SecondStart + 10, [&](int R) { Reads += R; });
    CPPUNIT_ASSERT(Reads <= Entries);
  }
}
