// Tests of late orders of workers that are no longer registered.
#include "schedule/manual-pool.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

// Guards against a task that runs twice: the worker refused an order without an
// answer, then crashed, and its next incarnation carries the order out.
HEATHERCROSS_STORY(VoidOrderOfUnregisteredWorker,
                   "a lapsed registration doesn't make a late order void") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  const Instant Ordered = P.Now_;
  P.answer(First[0], StartAnswer::Unknown);
  P.Now_ += Step;
  P.report("w1", 1, {});
  P.addWorker("w2", 4000);
  P.Scheduler_.removeWorker(InstanceId("w1"));
  const auto Restarted = restartedElsewhere(P, "w1", "w2", Seconds(40));
  section("not before a late run has ended", [&] {
    CPPUNIT_ASSERT(Restarted.has_value());
    CPPUNIT_ASSERT(*Restarted >= Ordered + MaxOrderDelay + ModelPool::MaxLease);
  });
  section("soon after", [&] {
    CPPUNIT_ASSERT(*Restarted <=
                   Ordered + MaxOrderDelay + ModelPool::MaxLease + Seconds(1));
  });
}

// Guards against a task that runs twice: an order without an answer is carried
// out late by the next incarnation of a worker that lost its registration.
HEATHERCROSS_STORY(UnansweredOrderOfUnregisteredWorker,
                   "a late order is awaited although the worker isn't "
                   "registered any more") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  const Instant Sent = P.Now_;
  P.answer(First[0], StartAnswer::Unknown);
  P.addWorker("w2", 4000);
  P.Scheduler_.removeWorker(InstanceId("w1"));
  const auto Restarted = restartedElsewhere(P, "w1", "w2", Seconds(40));
  CPPUNIT_ASSERT(Restarted.has_value());
  CPPUNIT_ASSERT(*Restarted >= Sent + MaxOrderDelay + ModelPool::MaxLease);
}
