// Tests of a pool's scheduler, call by call: answers that belong to earlier
// orders, and workers that start again under their id.
#include "schedule/manual-pool.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

// Guards against a task that runs twice or is stopped at work: its only run is
// of an earlier attempt, which a restarted worker took late.
HEATHERCROSS_STORY(EarlierAttemptAfterRestart,
                   "the only run of a task is kept, whatever its attempt") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  P.Now_ += Millis(600);
  P.answer(First[0], StartAnswer::Unknown);
  P.report("w1", 1, {});
  const auto Again = P.step().Starts_;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Again.size());
  P.answer(Again[0], StartAnswer::Started);
  P.report("w1", 1, {},
           {{1, Again[0].Task_, Again[0].Attempt_, RunEnd::Failed, ""}});
  const auto Higher = P.step().Starts_;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Higher.size());
  CPPUNIT_ASSERT(Higher[0].Attempt_ > First[0].Attempt_);
  P.answer(Higher[0], StartAnswer::Started);
  P.addWorker("w2", 4000);
  section("nothing starts or stops while it lists the first attempt", [&] {
    for (int I = 0; I < 4; ++I) {
      P.Now_ += Millis(300);
      P.report("w1", 2, {running(First[0])});
      P.report("w2", 1, {});
      const Orders O = P.step();
      CPPUNIT_ASSERT(O.Starts_.empty());
      CPPUNIT_ASSERT(O.Stops_.empty());
      CPPUNIT_ASSERT_EQUAL(std::int64_t{2000}, P.used("w1").CpuMilli_);
    }
  });
}

// Guards against a task that runs twice: the first copy of its order was
// carried out, and a fence that another order raised refused the second.
HEATHERCROSS_STORY(OpenCopyOfOrder,
                   "a run stays with its worker until the worker's next report "
                   "while a copy of its order is open") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", job({step(1, 1000, Seconds(9))}));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.size());
  P.addWorker("w2", 4000);
  section("nothing starts elsewhere", [&] {
    P.answer(First[0], StartAnswer::Unknown);
    P.report("w2", 1, {});
    CPPUNIT_ASSERT(P.step().Starts_.empty());
  });
  section("the run is kept once it is listed", [&] {
    P.report("w1", 1, {running(First[0])});
    const Orders O = P.step();
    CPPUNIT_ASSERT(O.Starts_.empty());
    CPPUNIT_ASSERT(O.Stops_.empty());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, P.used("w1").CpuMilli_);
  });
}

// Guards against a run of a cancelled job that goes on: the worker's former
// life accepted the stop, and none is sent to the next one.
HEATHERCROSS_STORY(StopOfFormerLife,
                   "a stop that a former life accepted is sent again") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  P.answer(First[0], StartAnswer::Started);
  P.Now_ += Millis(100);
  P.report("w1", 1, {running(First[0])});
  P.Scheduler_.cancel(JobId("j1"));
  const auto Stops = P.step().Stops_;
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Stops.size());
  P.Scheduler_.stopped(Stops[0], StopAnswer::Accepted, P.Now_);
  for (int I = 0; I < 2; ++I) {
    P.Now_ += Millis(300);
    P.report("w1", 2, {running(First[0])});
  }
  P.Now_ += Millis(300);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.step().Stops_.size());
}

// Guards against a task that runs twice: only the clock in the answer to the
// order shows that the worker started again and granted its longest lease.
HEATHERCROSS_STORY(UnnoticedRestart,
                   "a run of a new life that only its clock shows is given up "
                   "only after the longest lease") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  P.Scheduler_.leaseGranted(InstanceId("w1"), P.Now_, ModelPool::Lease);
  P.answer(First[0], StartAnswer::Started);
  P.Scheduler_.suspectRestart(InstanceId("w1"));
  const Instant Ordered = P.Now_;
  P.addWorker("w2", 4000);
  P.Scheduler_.unresponsive(InstanceId("w1"), P.Now_ + Millis(100));
  for (P.Now_ += Millis(100);
       P.Now_ + Millis(100) < Ordered + ModelPool::MaxLease;
       P.Now_ += Millis(100)) {
    P.report("w2", 1, {});
    CPPUNIT_ASSERT(P.step().Starts_.empty());
  }
}

// Guards against a task that runs twice: a renewal for the former life's clock
// comes after the new life's first report.
HEATHERCROSS_STORY(RenewalBeforeConfirmation,
                   "the longest lease counts from the confirmed fence") {
  ManualPool P("w1", 4000);
  P.report("w1", 2, {});
  P.Now_ += Seconds(4);
  P.report("w1", 2, {});
  const Instant Confirmed = P.Now_ - Millis(1);
  const auto First = P.submit("j1", lasting());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.size());
  P.answer(First[0], StartAnswer::Started);
  P.Now_ += Millis(50);
  P.report("w1", 2, {running(First[0])});
  P.addWorker("w2", 4000);
  P.Scheduler_.unresponsive(InstanceId("w1"), P.Now_);
  for (; P.Now_ + Millis(100) < Confirmed + ModelPool::MaxLease;
       P.Now_ += Millis(100)) {
    P.report("w2", 1, {});
    CPPUNIT_ASSERT(P.step().Starts_.empty());
  }
}

// Guards against a task that runs twice: a renewal for the former life's clock
// comes after the last report of a new life that hasn't confirmed its fence.
HEATHERCROSS_STORY(SilentAfterRestart,
                   "runs of a new life that fell silent before it confirmed "
                   "its fence are given up only after late renewals") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  P.answer(First[0], StartAnswer::Started);
  P.report("w1", 1, {running(First[0])});
  P.Now_ += Millis(500);
  const Instant LastRenewal = P.Now_;
  P.report("w1", 2, {running(First[0])});
  P.addWorker("w2", 4000);
  P.Scheduler_.unresponsive(InstanceId("w1"), P.Now_);
  for (; P.Now_ < LastRenewal + ModelPool::MaxLease + Seconds(11);
       P.Now_ += Millis(100)) {
    P.report("w2", 1, {});
    CPPUNIT_ASSERT(P.step().Starts_.empty());
  }
}

// Guards against a long-running task that stays down: its order became void on
// a worker that is leaving, and it waits for that worker.
HEATHERCROSS_STORY(VoidOrderOnLeavingWorker,
                   "a task whose order a leaving worker refuses starts "
                   "elsewhere within seconds") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  P.Now_ += Millis(600);
  P.answer(First[0], StartAnswer::Unknown);
  P.addWorker("w2", 4000);
  WorkerInfo Leaving = workerInfo("w1", "r1", 4000);
  Leaving.Draining_ = true;
  P.Scheduler_.setWorker(Leaving);
  std::vector<StartOrder> Starts;
  for (const Instant End = P.Now_ + Seconds(6); P.Now_ < End && Starts.empty();
       P.Now_ += Millis(100)) {
    P.report("w1", 1, {});
    P.report("w2", 1, {});
    Starts = P.step().Starts_;
  }
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts.size());
}

// Guards against a worker over its capacity: a restarted worker gets tasks by
// the capacity of its former life.
HEATHERCROSS_STORY(
    RegistrationOfFormerLife,
    "a restarted worker gets no tasks before it has registered") {
  ManualPool P("w1", 4000);
  WorkerInfo Info = workerInfo("w1", "r1", 4000);
  Info.Incarnation_ = 1;
  P.Scheduler_.setWorker(Info);
  P.report("w1", 2, {});
  P.report("w1", 2, {});
  section("its capacity isn't known yet",
          [&] { CPPUNIT_ASSERT(P.submit("j1", lasting()).empty()); });
  section("the registration of the new life has it", [&] {
    Info.Incarnation_ = 2;
    P.Scheduler_.setWorker(Info);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.step().Starts_.size());
  });
}

// Guards against jobs that are missing among the waiting ones although none of
// their tasks has started.
HEATHERCROSS_STORY(UnansweredJobWaits,
                   "a job whose orders are unanswered counts as waiting") {
  ManualPool P("w1", 4000);
  const auto Starts = P.submit("j1", lasting());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts.size());
  CPPUNIT_ASSERT_EQUAL(1U, P.Scheduler_.queuedJobs(QueueId("q")));
  section("the first task that starts makes it active", [&] {
    P.answer(Starts[0], StartAnswer::Started);
    CPPUNIT_ASSERT_EQUAL(0U, P.Scheduler_.queuedJobs(QueueId("q")));
  });
}

// Guards against a start that is repeated to a worker which has come back as
// another kind, without the label or the room that the task requires.
HEATHERCROSS_STORY(WorkerOfAnotherKind,
                   "an order isn't repeated to a worker that no longer suits") {
  const auto StartAgainAs = [](ManualPool &P, WorkerInfo Info) {
    Info.Incarnation_ = 2;
    P.Scheduler_.setWorker(Info);
    P.report("w1", 2, {});
    P.report("w1", 2, {});
    return P.step().Starts_;
  };
  JobSpec Spec = job({step(1, 3000, Millis(500))});
  Spec.Steps_[0].Label_ = "a";
  const auto Play = [&](const WorkerInfo &Info) {
    ManualPool P("w1", 4000);
    const auto First = P.submit("j1", Spec);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.size());
    P.answer(First[0], StartAnswer::Unknown);
    return StartAgainAs(P, Info).size();
  };
  section("it is if the worker is as before", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Play(workerInfo("w1", "r1", 4000)));
  });
  section("not without the label", [&] {
    WorkerInfo Other = workerInfo("w1", "r1", 4000);
    Other.Labels_ = {"b", "r1"};
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Play(Other));
  });
  section("not without the room", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Play(workerInfo("w1", "r1", 2000)));
  });
}
