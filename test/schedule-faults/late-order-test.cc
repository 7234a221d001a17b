// Tests of a pool's scheduler against workers that carry orders out late: after
// newer calls, after a restart, or for a former holder.
#include "schedule/late-orders.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

/// Orders one task on w1, which carries the order out after the delay, then
/// adds w2.
void orderLate(ModelPool &P, Millis Delay) {
  P.addWorker("w1");
  P.run(Millis(100));
  worker(P, "w1").OrderDelay_ = Delay;
  P.submit("j1", job({step(1, 1000, Seconds(9))}));
  P.run(Millis(40));
  worker(P, "w1").OrderDelay_ = Millis(0);
  P.addWorker("w2");
}

} // namespace

// Guards against a task that runs twice because a restarted worker carries out
// an order that its former life left unanswered.
HEATHERCROSS_STORY(LateStartAfterRestart,
                   "an order that a restarted worker carries out late starts "
                   "nothing twice") {
  ModelPool P;
  section("the worker restarts before the order is settled", [&] {
    orderLate(P, Seconds(3));
    P.crash(worker(P, "w1"));
    P.run(Seconds(6));
    CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
  });
  section("the task completes", [&] {
    CPPUNIT_ASSERT(P.runUntil(
        Seconds(20), [&] { return P.state("j1") == JobState::Complete; }));
    CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
  });
}

// Guards against a task that runs twice because a worker forgets, when it
// restarts, that it refused the late order.
HEATHERCROSS_STORY(
    LateStartForgotten,
    "a worker that forgets what it refused starts nothing twice") {
  ModelPool P;
  orderLate(P, Seconds(5));
  P.run(Seconds(3));
  worker(P, "w1").Partitioned_ = true;
  P.crash(worker(P, "w1"));
  P.run(Seconds(3));
  worker(P, "w1").Partitioned_ = false;
  P.run(Seconds(9));
  CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
}

// Guards against a task that runs twice because a restarted worker grants a
// longer lease than the holder asked for.
HEATHERCROSS_STORY(
    LateStartLongLease,
    "a run with the lease of another life isn't given up early") {
  ModelPool P;
  orderLate(P, Millis(500));
  worker(P, "w1").Partitioned_ = true;
  P.crash(worker(P, "w1"));
  P.run(Seconds(12));
  CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
}

// Guards against a task that runs twice because a restarted worker took a
// renewal whose lease was counted on its former clock.
HEATHERCROSS_STORY(RenewalForFormerLife,
                   "runs of a restarted worker are given up only after the "
                   "longest lease") {
  ModelPool P;
  P.addWorker("w1");
  P.run(Millis(100));
  P.crash(worker(P, "w1"));
  P.submit("j1", longRunning(1));
  P.run(Millis(100));
  P.addWorker("w2");
  worker(P, "w1").Partitioned_ = true;
  P.run(Seconds(15));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.running("j1"));
  CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
}

// Guards against a task that runs twice: a holder that is cut off counts a
// worker's leases as ended, although its successor renews them.
HEATHERCROSS_STORY(LeaseOfSuccessor,
                   "a holder gives a run up only if it still had the duty when "
                   "the lease ended") {
  ModelPool P;
  P.addWorker("w1");
  P.run(Millis(100));
  P.submit("j1", longRunning(1));
  P.run(Millis(500));
  P.addWorker("w2");
  worker(P, "w1").Partitioned_ = true;
  P.Scheduler_.dutyHeldAt(P.Now_);
  const auto RunOn = [&](const std::string &Id) {
    return P.Scheduler_.workers().at(InstanceId(Id)).runs().size();
  };
  section("the run isn't given up while another entry may hold the duty", [&] {
    P.run(Seconds(8));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunOn("w1"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, RunOn("w2"));
  });
  section("it is when the store shows that none did", [&] {
    P.Scheduler_.dutyHeldAt(P.Now_);
    P.run(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, RunOn("w2"));
    CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
  });
}

// Guards against a worker over its capacity: the room of an unanswered order is
// given away when the worker restarts.
HEATHERCROSS_STORY(LateStartCapacity,
                   "the room of an order that may still come stays reserved") {
  ModelPool P;
  P.addWorker("w1", "r1", 2000);
  P.run(Millis(100));
  worker(P, "w1").OrderDelay_ = Seconds(3);
  P.submit("j1", job({step(1, 2000, Seconds(4))}));
  P.run(Millis(40));
  worker(P, "w1").OrderDelay_ = Millis(0);
  P.crash(worker(P, "w1"));
  P.addWorker("w2", "r1", 2000);
  P.submit("j2", job({step(1, 2000, Seconds(4))}));
  P.run(Seconds(5));
  CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
}

// Guards against a long-running task that a late stop ends although other tasks
// of its step are unavailable.
HEATHERCROSS_STORY(LateStop,
                   "an unanswered start isn't followed by a stop that may come "
                   "when the task is at work") {
  ModelPool P;
  P.addWorker("w1");
  P.run(Millis(100));
  worker(P, "w1").OrderDelay_ = Millis(2500);
  P.submit("lasting", longRunning(3));
  P.run(Millis(3200));
  worker(P, "w1").OrderDelay_ = Millis(0);
  P.run(Seconds(8));
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, P.running("lasting"));
  CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
}

HEATHERCROSS_STORY(
    LateOrders, "no series of late orders makes a pool violate a guarantee") {
  HEATHERCROSS_PROPERTY("no task runs twice, over capacity or is stopped late",
                        [] { runLateOrders(rc::gen::inRange(0, 9)); });
}
