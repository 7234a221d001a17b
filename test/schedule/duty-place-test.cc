// Tests of handovers of a duty from a loaded entry to a stronger one.
#include "schedule/duty-place.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

const EntryId Strong("entry-1");
const EntryId Weak("entry-2");
constexpr double StrongShare = 0.5;
constexpr double WeakShare = 0.12;

/// Observes a duty every 0.1 s.
void observe(DutyPlace &P, Instant &Now, Micros For, bool HeldBack) {
  for (const Instant End = Now + For; Now < End; Now += Millis(100))
    P.observe(HeldBack, Now);
}

} // namespace

// Guards against a duty that stays on a small entry: after a loss of all power
// an entry with 0.12 of a core held it for the rest of the day, next to 8 with
// 0.5.
HEATHERCROSS_STORY(LoadedHolder,
                   "a loaded holder wants to give its duty back") {
  Instant Now(Seconds(10));
  DutyPlace P;
  P.begun(false, Now);
  section("not while it keeps up", [&] {
    observe(P, Now, Seconds(10), false);
    CPPUNIT_ASSERT(!P.wantsHandover(Now));
  });
  section("not for a short peak", [&] {
    observe(P, Now, Millis(800), true);
    CPPUNIT_ASSERT(!P.wantsHandover(Now));
    observe(P, Now, Seconds(2), false);
    CPPUNIT_ASSERT(!P.wantsHandover(Now));
  });
  section("but when it holds back orders for most of 2 s", [&] {
    observe(P, Now, Millis(1700), true);
    CPPUNIT_ASSERT(P.wantsHandover(Now));
  });
  section("not when it has just taken the duty", [&] {
    P.begun(false, Now);
    observe(P, Now, Millis(2500), true);
    CPPUNIT_ASSERT(!P.wantsHandover(Now));
    observe(P, Now, Seconds(1), true);
    CPPUNIT_ASSERT(P.wantsHandover(Now));
  });
  section("a process that was suspended has no load to show", [&] {
    observe(P, Now, Seconds(3), false);
    Now += Seconds(30);
    P.observe(true, Now);
    CPPUNIT_ASSERT(!P.wantsHandover(Now));
  });
}

// Guards against a duty that flaps between entries: each handover costs the
// pool about a second.
HEATHERCROSS_STORY(FailedHandover,
                   "a handover without a better holder isn't repeated soon") {
  Instant Now(Seconds(10));
  DutyPlace P;
  P.begun(false, Now);
  observe(P, Now, Seconds(4), true);
  const auto TriesAgainAfter = [&] {
    P.handedOver(Now);
    Now += Seconds(5);
    P.begun(true, Now);
    const Instant Begun = Now;
    while (!P.wantsHandover(Now))
      observe(P, Now, Millis(100), true);
    return Now - Begun;
  };
  section("this entry took the duty again", [&] {
    const Micros First = TriesAgainAfter();
    CPPUNIT_ASSERT(First >= Seconds(30) && First < Seconds(31));
  });
  section("each time it waits longer", [&] {
    const Micros Second = TriesAgainAfter();
    CPPUNIT_ASSERT(Second >= Seconds(60) && Second < Seconds(61));
  });
  section("the next holder may have failed later; that is no reason to wait",
          [&] {
            P.handedOver(Now);
            Now += Seconds(120);
            P.begun(false, Now);
            observe(P, Now, Seconds(4), true);
            CPPUNIT_ASSERT(P.wantsHandover(Now));
          });
  section("another small entry that gets a returned duty holds it for a while",
          [&] {
            DutyPlace Other;
            Other.begun(true, Now);
            observe(Other, Now, Seconds(9), true);
            CPPUNIT_ASSERT(!Other.wantsHandover(Now));
            observe(Other, Now, Seconds(2), true);
            CPPUNIT_ASSERT(Other.wantsHandover(Now));
          });
}

// Guards against a duty that is given back although nobody takes it better, in
// deployments of 33 and 44 entries of 0.5 and 0.12 of a core.
HEATHERCROSS_STORY(StrongerEntries,
                   "an entry knows which others are stronger") {
  const Instant Now(Seconds(10));
  EntryShares S;
  section("none that it hasn't seen",
          [&] { CPPUNIT_ASSERT(!S.stronger(WeakShare, 1, {}, Now)); });
  section("none of its own size", [&] {
    S.seen(Weak, WeakShare, Now);
    CPPUNIT_ASSERT(!S.stronger(WeakShare, 1, {}, Now));
    CPPUNIT_ASSERT(!S.stronger(WeakShare, 5, {}, Now));
  });
  section("one with at least twice its share", [&] {
    S.seen(Strong, StrongShare, Now);
    const auto Found = S.stronger(WeakShare, 1, {}, Now);
    CPPUNIT_ASSERT(Found && Found->Entry_ == Strong);
    CPPUNIT_ASSERT(!S.stronger(0.3, 1, {}, Now));
  });
  section("also counting the duties that each holds", [&] {
    CPPUNIT_ASSERT(S.stronger(WeakShare, 1, {{Strong, 1}}, Now));
    CPPUNIT_ASSERT(!S.stronger(WeakShare, 1, {{Strong, 2}}, Now));
    CPPUNIT_ASSERT(S.stronger(WeakShare, 2, {{Strong, 2}}, Now));
  });
  section("for 5 s after it was seen", [&] {
    CPPUNIT_ASSERT(S.stronger(WeakShare, 1, {}, Now + Millis(4900)));
    CPPUNIT_ASSERT(!S.stronger(WeakShare, 1, {}, Now + Millis(5100)));
  });
}
