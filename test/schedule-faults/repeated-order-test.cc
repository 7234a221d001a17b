// Tests of a pool's scheduler against answers to orders that were repeated.
#include "schedule/model-pool.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

// Guards against a worker over its capacity: the refusal of an order is taken
// for the answer to its repetition.
HEATHERCROSS_STORY(AnswerToFormerOrder,
                   "an answer to an order that was repeated is ignored") {
  PoolScheduler S;
  Instant Now{Seconds(100)};
  const InstanceId Id("w1");
  const auto Report = [&] {
    Now += Millis(20);
    S.report(Id, {1, {}, {}}, Now, S.fence(Id), Now);
    S.leaseGranted(Id, Now, Seconds(6));
    return S.step(Now, WallTime());
  };
  S.setWorker(workerInfo("w1", "r1", 2000));
  S.setRostered(Id, true);
  Report();
  S.admit(
      Job(JobId("j1"), QueueId("q"), job({step(2, 1000, Seconds(9))}), Now));
  const Orders First = S.step(Now, WallTime());
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, First.Starts_.size());
  Now += Millis(100);
  S.started(First.Starts_[0], StartAnswer::Unknown, Now);
  const Orders Second = Report();
  section("both orders are repeated under a higher fence", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Second.Starts_.size());
    CPPUNIT_ASSERT(First.Starts_[1].Fence_ < Second.Starts_[1].Fence_);
  });
  section("the refusal of the first order releases nothing", [&] {
    S.started(First.Starts_[1], StartAnswer::Fenced, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, S.workers().at(Id).runs().size());
  });
  section("the refusal of the repetition does", [&] {
    S.started(Second.Starts_[1], StartAnswer::NoRoom, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.workers().at(Id).runs().size());
  });
  section("but not if a report has shown the run", [&] {
    const StartOrder &O = Second.Starts_[0];
    Now += Millis(20);
    S.report(Id, {1, {{O.Task_, O.Attempt_, "", 10, 0}}, {}}, Now, S.fence(Id),
             Now);
    S.started(O, StartAnswer::Unhealthy, Now);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, S.workers().at(Id).runs().size());
  });
}
