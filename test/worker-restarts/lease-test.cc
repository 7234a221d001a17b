// Tests of what a pool's scheduler concludes about the leases of a worker that
// may have started again under its id.
#include "schedule/manual-pool.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

// Guards against a task that runs twice: a former holder counted its lease on
// the clock of the worker's former life, so the worker granted its longest one.
HEATHERCROSS_STORY(LeaseOfFormerHolder,
                   "an adopted run is given up only after the longest lease") {
  ManualPool Former("w1", 4000);
  const auto First = Former.submit("j1", lasting());
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.size());
  ManualPool P("w2", 4000);
  P.Scheduler_.restore(Job(JobId("j1"), QueueId("q"), lasting(), P.Now_), 100);
  P.Scheduler_.awaitWorkers({{InstanceId("w1"), P.Now_ + Seconds(11)}});
  P.Scheduler_.setWorker(workerInfo("w1", "r1", 4000));
  const Instant Adopted = P.Now_;
  P.report("w1", 2, {running(First[0])});
  const auto Restarted = restartedElsewhere(P, "w1", "w2", Seconds(20));
  section("not before", [&] {
    CPPUNIT_ASSERT(!Restarted || *Restarted >= Adopted + ModelPool::MaxLease);
  });
  section("soon after", [&] {
    CPPUNIT_ASSERT(Restarted.has_value());
    CPPUNIT_ASSERT(*Restarted <= Adopted + ModelPool::MaxLease + Seconds(1));
  });
}

// Guards against a task that runs twice: a worker that was cut off right after
// it had started again lost its registration while it worked on.
HEATHERCROSS_STORY(UnregisteredWhileWorking,
                   "a lapsed registration doesn't show that a run has ended") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  P.Scheduler_.leaseGranted(InstanceId("w1"), P.Now_, ModelPool::Lease);
  const Instant Ordered = P.Now_;
  section("after a restart that only the clock has shown", [&] {
    P.answer(First[0], StartAnswer::Started);
    P.Scheduler_.suspectRestart(InstanceId("w1"));
    P.addWorker("w2", 4000);
    P.Scheduler_.removeWorker(InstanceId("w1"));
    const auto Restarted = restartedElsewhere(P, "w1", "w2", Seconds(40));
    CPPUNIT_ASSERT(Restarted.has_value());
    CPPUNIT_ASSERT(*Restarted >= Ordered + ModelPool::MaxLease);
  });
  section("after an order without an answer", [&] {
    ManualPool Unanswered("w1", 4000);
    const auto Start = Unanswered.submit("j1", lasting());
    Unanswered.Scheduler_.leaseGranted(InstanceId("w1"), Unanswered.Now_,
                                       ModelPool::Lease);
    const Instant Sent = Unanswered.Now_;
    Unanswered.answer(Start[0], StartAnswer::Unknown);
    Unanswered.addWorker("w2", 4000);
    Unanswered.Scheduler_.removeWorker(InstanceId("w1"));
    const auto Restarted =
        restartedElsewhere(Unanswered, "w1", "w2", Seconds(40));
    CPPUNIT_ASSERT(Restarted.has_value());
    CPPUNIT_ASSERT(*Restarted >= Sent + ModelPool::MaxLease);
    CPPUNIT_ASSERT(*Restarted <= Sent + ModelPool::MaxLease + Seconds(1));
  });
}

// Guards against a lease that a late call lengthens: it was sent before the
// worker had been removed and registered again.
HEATHERCROSS_STORY(RegisteredAgain,
                   "calls to a worker that was removed are void for the next "
                   "one under its id") {
  ManualPool P("w1", 4000);
  const InstanceId Id("w1");
  const FenceGeneration Before = P.Scheduler_.fence(Id);
  P.Scheduler_.removeWorker(Id);
  P.step();
  CPPUNIT_ASSERT(!P.Scheduler_.workers().contains(Id));
  P.Scheduler_.setWorker(workerInfo("w1", "r1", 4000));
  CPPUNIT_ASSERT(P.Scheduler_.fence(Id) > Before);
}

// Guards against a task that runs twice after a takeover: a worker that may
// still carry out an order left the roster with its registration.
HEATHERCROSS_STORY(LateOrderOfUnregisteredWorker,
                   "a worker that may start a task late stays known while it "
                   "is unregistered") {
  ManualPool P("w1", 4000);
  const InstanceId Id("w1");
  const auto First = P.submit("j1", lasting());
  const Instant Ordered = P.Now_;
  P.answer(First[0], StartAnswer::Unknown);
  P.Now_ += Step;
  P.report("w1", 1, {});
  P.Scheduler_.removeWorker(Id);
  while (P.Now_ + Step < Ordered + MaxOrderDelay + ModelPool::MaxLease) {
    P.step();
    CPPUNIT_ASSERT(P.Scheduler_.workers().contains(Id));
    CPPUNIT_ASSERT(
        P.Scheduler_.workers().at(Id).mayHoldRuns(P.Now_, ModelPool::MaxLease));
    P.Now_ += Step;
  }
  P.Now_ += 2 * Step;
  P.step();
  CPPUNIT_ASSERT(!P.Scheduler_.workers().contains(Id));
}

// Guards against a task that runs twice after a takeover: a worker left the
// roster when it couldn't start a task anymore, though a late start might last.
HEATHERCROSS_STORY(LateRunOfSilentWorker,
                   "a worker stays in the roster while a run that it may have "
                   "started late can last") {
  ManualPool P("w1", 4000);
  const InstanceId Id("w1");
  const auto First = P.submit("j1", lasting());
  const Instant Ordered = P.Now_;
  P.Scheduler_.leaseGranted(Id, Ordered, ModelPool::Lease);
  P.answer(First[0], StartAnswer::Unknown);
  P.Now_ += Step;
  P.report("w1", 1, {});
  P.Scheduler_.evacuate({Id}, P.Now_ + Step);
  P.step();
  CPPUNIT_ASSERT(P.Scheduler_.workers().at(Id).runs().empty());
  const Instant Granted = P.Now_ += 2 * Step;
  P.Scheduler_.leaseGranted(Id, Granted, ModelPool::Lease);
  P.Scheduler_.unresponsive(Id, Granted);
  const Instant End = Granted + MaxOrderDelay + ModelPool::MaxLease;
  while ((P.Now_ += Step) < End) {
    P.step();
    CPPUNIT_ASSERT(
        P.Scheduler_.workers().at(Id).mayHoldRuns(P.Now_, ModelPool::MaxLease));
  }
  section("whose end later holders are told", [&] {
    const auto Told = P.Scheduler_.silentRunsEnd(Id, P.Now_);
    CPPUNIT_ASSERT(Told.has_value());
    CPPUNIT_ASSERT(*Told == End);
  });
  section("and no longer", [&] {
    P.step();
    CPPUNIT_ASSERT(!P.Scheduler_.workers().at(Id).mayHoldRuns(
        P.Now_, ModelPool::MaxLease));
  });
}

// Guards against a lease that a late call lengthens: the answer to a call with
// the fence of a removed worker showed the next one under its id as fenced.
HEATHERCROSS_STORY(AnswerToFormerCall,
                   "an answer to a call that was sent before a worker was "
                   "removed doesn't confirm the fence of the next one") {
  ManualPool P("w1", 4000);
  const InstanceId Id("w1");
  const FenceGeneration Before = P.Scheduler_.fence(Id);
  const Instant SentAt = P.Now_;
  P.Scheduler_.removeWorker(Id);
  P.step();
  P.Scheduler_.setWorker(workerInfo("w1", "r1", 4000));
  P.Scheduler_.setRostered(Id, true);
  P.Now_ += Step;
  P.Scheduler_.report(Id, {2, {}, {}}, SentAt, Before, P.Now_);
  section("which gets no tasks until it knows its fence", [&] {
    CPPUNIT_ASSERT(P.submit("j1", lasting()).empty());
    P.report("w1", 2, {});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.step().Starts_.size());
  });
}

// Guards against idle workers: the runs of a former incarnation made no
// progress, so the next one passed for a worker on which tasks hang.
HEATHERCROSS_STORY(StuckAfterRestart,
                   "a worker that has started again isn't paused for the runs "
                   "that it had") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", job({step(1, 2000, Millis(60'000))}));
  P.answer(First[0], StartAnswer::Started);
  P.report("w1", 1, {running(First[0])});
  P.Now_ += Seconds(4);
  P.report("w1", 2, {});
  P.report("w1", 2, {});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.step().Starts_.size());
}

// Guards against tasks that wait for longer than they must: after a takeover
// every worker counted as one that has just started.
HEATHERCROSS_STORY(LeaseOfOldWorker,
                   "only a young worker may hold more than the requested lease "
                   "of a former holder") {
  ManualPool Former("w1", 4000);
  const auto First = Former.submit("j1", lasting());
  const auto Away = [&](Millis Age) {
    ManualPool P("w2", 4000);
    P.Scheduler_.restore(Job(JobId("j1"), QueueId("q"), lasting(), P.Now_),
                         100);
    P.Scheduler_.setWorker(workerInfo("w1", "r1", 4000));
    const Instant Adopted = P.Now_;
    P.Scheduler_.report(InstanceId("w1"), {1, {running(First[0])}, {}}, Adopted,
                        FenceGeneration(), Adopted, WallTime(Age + Millis(1)));
    const auto Restarted = restartedElsewhere(P, "w1", "w2", Seconds(20));
    CPPUNIT_ASSERT(Restarted.has_value());
    return *Restarted - Adopted;
  };
  section("one that has just started",
          [&] { CPPUNIT_ASSERT(Away(Millis(0)) >= ModelPool::MaxLease); });
  section("one whose age a step of the time of day may hide",
          [&] { CPPUNIT_ASSERT(Away(Seconds(29)) >= ModelPool::MaxLease); });
  section("not one that has run for a minute", [&] {
    CPPUNIT_ASSERT(Away(Seconds(60)) >= ModelPool::Lease);
    CPPUNIT_ASSERT(Away(Seconds(60)) <= ModelPool::Lease + Seconds(1));
  });
}
