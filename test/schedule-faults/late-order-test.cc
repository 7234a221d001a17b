// Tests of a pool's scheduler against workers that carry orders out late: after
// newer calls, after a restart, or for a former holder.
#include "schedule/model-pool.h"
#include "support/story.h"

#include <rapidcheck.h>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

JobSpec longRunning(std::uint32_t Count) {
  StepSpec S = step(Count, 2000, Millis(1000));
  S.LongRunning_ = true;
  S.MaxUnavailable_ = 1;
  return job({S});
}

ModelWorker &worker(ModelPool &P, const std::string &Id) {
  return P.Workers_.at(InstanceId(Id));
}

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

/// Applies random faults one after the other, then ends all of them; every job
/// must reach a final state.
void runLateOrders() {
  enum Fault {
    Nothing,
    Partition,
    Reconnect,
    Crash,
    DelayOrders,
    DelayRenewals,
    EndDelays,
    Submit,
    Cancel
  };
  const auto Script = *rc::gen::container<std::vector<std::pair<int, int>>>(
      40, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 30)));
  ModelPool P;
  for (int I = 0; I < 4; ++I)
    P.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 2), 6000);
  P.submit("lasting", longRunning(2));
  int Jobs = 0;
  for (const auto &[Kind, Argument] : Script) {
    ModelWorker &W = worker(P, "w" + std::to_string(Argument % 4));
    switch (Kind) {
    case Partition:
      W.Partitioned_ = true;
      break;
    case Reconnect:
      W.Partitioned_ = false;
      break;
    case Crash:
      P.crash(W);
      break;
    case DelayOrders:
      W.OrderDelay_ = Millis(400 * (Argument + 1));
      break;
    case DelayRenewals:
      W.RenewalDelay_ = Millis(400 * (Argument + 1));
      break;
    case EndDelays:
      W.OrderDelay_ = Millis(0);
      W.RenewalDelay_ = Millis(0);
      break;
    case Submit:
      P.submit("j" + std::to_string(Jobs++),
               job({step(3, 1500, Millis(300 + 100 * Argument))}));
      break;
    case Cancel:
      P.Scheduler_.cancel(JobId("j" + std::to_string(Argument % (Jobs + 1))));
      break;
    default:
      break;
    }
    P.run(Millis(100 + 20 * Argument));
  }
  for (auto &[Id, W] : P.Workers_) {
    W.Partitioned_ = false;
    W.OrderDelay_ = Millis(0);
    W.RenewalDelay_ = Millis(0);
  }
  RC_ASSERT(P.Faults_ == PoolFaults());
  RC_ASSERT(P.runUntil(Seconds(60), [&] {
    for (int I = 0; I < Jobs; ++I)
      if (!isFinal(P.state("j" + std::to_string(I))))
        return false;
    return P.running("lasting") == 2;
  }));
  RC_ASSERT(P.Faults_ == PoolFaults());
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
                        [] { runLateOrders(); });
}
