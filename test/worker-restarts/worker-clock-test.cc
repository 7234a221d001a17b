// Tests of what the clock in a worker's answer tells about its incarnation.
#include "schedule/worker-clock.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

// Guards against a task that runs twice: after two restarts within 1.5 s a
// lease that was counted on the former clock passed for a known one.
HEATHERCROSS_STORY(ClockOfYoungWorker,
                   "a clock that is behind the one that a lease was counted on "
                   "is another one") {
  WorkerClock C;
  const Instant Read(Seconds(100));
  CPPUNIT_ASSERT(!C.known());
  C.answered(Millis(1200), Read);
  CPPUNIT_ASSERT(C.known());
  const Instant SentAt = Read + Millis(400);
  const Instant AnsweredAt = SentAt + Millis(10);
  section("the clock goes on with the local one",
          [&] { CPPUNIT_ASSERT(C.at(SentAt) == Millis(1600)); });
  section("an answer of the same incarnation agrees", [&] {
    CPPUNIT_ASSERT(C.agrees(Millis(1600), SentAt, AnsweredAt));
    CPPUNIT_ASSERT(C.agrees(Millis(1610), SentAt, AnsweredAt));
  });
  section("a clock may be 2% slow",
          [&] { CPPUNIT_ASSERT(C.agrees(Millis(1592), SentAt, AnsweredAt)); });
  section("the worker may have read it long before the earlier answer",
          [&] { CPPUNIT_ASSERT(C.agrees(Millis(3000), SentAt, AnsweredAt)); });
  section("one that began after the earlier answer doesn't agree", [&] {
    CPPUNIT_ASSERT(!C.agrees(Millis(1), SentAt, AnsweredAt));
    CPPUNIT_ASSERT(!C.agrees(Millis(400), SentAt, AnsweredAt));
    CPPUNIT_ASSERT(!C.agrees(Millis(1500), SentAt, AnsweredAt));
  });
  section("nor does one that is far ahead",
          [&] { CPPUNIT_ASSERT(!C.agrees(Millis(4000), SentAt, AnsweredAt)); });
}
