// Tests of the order lease between holders of the fleet duty.
#include "schedule/order-turns.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

// Guards against a holder that hands over only its own orders: after two
// planned stops a third holder ordered a machine within the lease.
HEATHERCROSS_STORY(OrderTurnsOfThree,
                   "a holder passes on the orders of those before it") {
  constexpr Millis Lease{3000};
  const MachineId Moved("m1");
  const MachineId Other("m2");
  const auto At = [](int Ms) { return Instant(Seconds(10) + Millis(Ms)); };
  OrderTurns First(Lease, Millis(0), At(0));
  First.ordered(Moved, At(100));
  OrderTurns Second(Lease, Millis(0), At(1000));
  Second.adopt(First.recent(At(900)));
  section("the next holder waits for the machine, and for no other", [&] {
    CPPUNIT_ASSERT(Second.mustWait(Moved, At(1100)));
    CPPUNIT_ASSERT(!Second.mustWait(Other, At(1100)));
  });
  section("so does the third one", [&] {
    OrderTurns Third(Lease, Millis(0), At(2000));
    Third.adopt(Second.recent(At(1900)));
    CPPUNIT_ASSERT(Third.mustWait(Moved, At(2100)));
    CPPUNIT_ASSERT(!Third.mustWait(Moved, At(5000)));
  });
  section("after the lease nothing is passed on",
          [&] { CPPUNIT_ASSERT(Second.recent(At(4000)).empty()); });
}

HEATHERCROSS_STORY(OrderTurnsUnknown,
                   "orders that nobody has stored may be for any machine") {
  constexpr Millis Lease{3000};
  const Instant Now(Seconds(10));
  const MachineId M("m1");
  section("those of a holder that was lost", [&] {
    OrderTurns Second(Lease, Millis(0), Now);
    Second.adopt({AnyMachine});
    CPPUNIT_ASSERT(Second.mustWait(M, Now));
    OrderTurns Third(Lease, Millis(0), Now + Millis(500));
    Third.adopt(Second.recent(Now + Millis(400)));
    CPPUNIT_ASSERT(Third.mustWait(M, Now + Millis(600)));
  });
  section("those of this entry's earlier process, for later holders", [&] {
    OrderTurns Restarted(Lease, Millis(0), Now);
    Restarted.adoptOwn({AnyMachine});
    CPPUNIT_ASSERT(!Restarted.mustWait(M, Now));
    CPPUNIT_ASSERT(Restarted.recent(Now).contains(AnyMachine));
  });
}
