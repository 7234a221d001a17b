// Stories of duties: who takes one, and when.
#include "schedule/duty-watch.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

const PoolId Quotes("quotes");

KnownHolder holder(const std::string &Entry, std::uint64_t Version) {
  return {{EntryId(Entry), "10.0.0.2:7060", Epoch(1), Version},
          RowVersion(Version)};
}

/// Polls each 0.35 s for a while; returns the claim that came, if any.
std::optional<Claim> poll(DutyWatch &W, Instant &Now, Micros For,
                          std::size_t Held = 0) {
  for (const Instant End = Now + For; Now < End; Now += Millis(350)) {
    W.polled(Now);
    if (auto C = W.due(Held, Now))
      return C;
  }
  return std::nullopt;
}

} // namespace

HEATHERCROSS_STORY(VacantDuties, "vacant duties are taken, and spread") {
  Instant Now{Seconds(10)};
  DutyWatch W(EntryId("e1"), 1);
  W.setPools({Quotes, PoolId("bookings")}, Now);
  section("an entry without duties takes one soon", [&] {
    const auto C = poll(W, Now, Seconds(1));
    CPPUNIT_ASSERT(C && C->Epoch_ == Epoch(1) && C->Version_ == RowVersion());
  });
  section("one with many waits for the others", [&] {
    DutyWatch Busy(EntryId("e2"), 1);
    Instant Then{Seconds(10)};
    Busy.setPools({Quotes}, Then);
    CPPUNIT_ASSERT(!poll(Busy, Then, Millis(900), 4));
    CPPUNIT_ASSERT(poll(Busy, Then, Seconds(1), 4).has_value());
  });
  section("one with little processor time lets a strong one go first", [&] {
    for (const char *Weak : {"e3", "e4", "e5"})
      for (const char *Strong : {"e6", "e7", "e8"}) {
        DutyWatch Small(EntryId(Weak), 2);
        DutyWatch Large(EntryId(Strong), 0.5);
        Instant A{Seconds(10)};
        Instant B{Seconds(10)};
        Small.setPools({Quotes}, A);
        Large.setPools({Quotes}, B);
        CPPUNIT_ASSERT(poll(Small, A, Seconds(5)).has_value());
        CPPUNIT_ASSERT(poll(Large, B, Seconds(5), 2).has_value());
        CPPUNIT_ASSERT(B < A);
      }
  });
}

HEATHERCROSS_STORY(SilentHolders, "a duty is taken from a silent holder only") {
  Instant Now{Seconds(10)};
  DutyWatch W(EntryId("e1"), 1);
  W.setPools({Quotes}, Now);
  section("not while its row changes", [&] {
    for (std::uint64_t V = 5; V < 15; ++V) {
      W.saw(Quotes, holder("e2", V), Now);
      CPPUNIT_ASSERT(!poll(W, Now, Millis(700)));
    }
  });
  section("not for an outage of the store, in which nothing is seen", [&] {
    Now += Seconds(6);
    CPPUNIT_ASSERT(!W.due(0, Now));
    CPPUNIT_ASSERT(!poll(W, Now, Millis(1400)));
    W.saw(Quotes, holder("e2", 20), Now);
  });
  section("but when it stands still, under the next epoch", [&] {
    const Instant Since = Now;
    const auto C = poll(W, Now, Seconds(4));
    CPPUNIT_ASSERT(C && C->Epoch_ == Epoch(2) && C->Version_ == RowVersion(20));
    CPPUNIT_ASSERT(Now - Since >= Millis(1800));
    CPPUNIT_ASSERT(Now - Since <= Millis(2500));
  });
  section("a store that takes no writes silences all, and nobody is blamed",
          [&] {
            W.refused(Now);
            CPPUNIT_ASSERT(!poll(W, Now, Millis(1400)));
            CPPUNIT_ASSERT(poll(W, Now, Seconds(2)).has_value());
          });
  section("sooner when nobody is at its address", [&] {
    W.saw(Quotes, holder("e2", 25), Now);
    const Instant Since = Now;
    W.unreachable(Quotes);
    CPPUNIT_ASSERT(poll(W, Now, Seconds(3)).has_value());
    CPPUNIT_ASSERT(Now - Since >= Millis(800));
    CPPUNIT_ASSERT(Now - Since <= Millis(1500));
  });
  section("at once by the machine that held it before it started again", [&] {
    DutyWatch Again(EntryId("e2/200"), 1);
    Again.setPools({Quotes}, Now);
    Again.saw(Quotes, holder("e2/100", 27), Now);
    const Instant Since = Now;
    CPPUNIT_ASSERT(poll(Again, Now, Seconds(1), 3).has_value());
    CPPUNIT_ASSERT(Now - Since <= Millis(400));
  });
  section("a holder doesn't take its own duty", [&] {
    W.saw(Quotes, holder("e1", 30), Now);
    CPPUNIT_ASSERT(!poll(W, Now, Seconds(5)));
  });
}
