// Tests of a pool's scheduler against throttle orders that workers don't
// answer.
#include "schedule/model-pool.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

/// A worker with a long-running task that is over its latency goal and a
/// best-effort task.
class ThrottledWorker {
public:
  ThrottledWorker() {
    StepSpec Serving = step(1, 1000, Seconds(10));
    Serving.LongRunning_ = true;
    Serving.LatencyGoal_ = Millis(100);
    StepSpec BestEffort = step(1, 1000, Seconds(10));
    BestEffort.BestEffort_ = true;
    Scheduler_.setWorker(workerInfo("w1", "r1"));
    report(0);
    Scheduler_.setRostered(Id_, true);
    Scheduler_.admit(
        Job(JobId("j1"), QueueId("q"), job({Serving, BestEffort}), Now_));
    for (const StartOrder &O : orders().Starts_)
      Scheduler_.started(O, StartAnswer::Started, Now_);
  }

  /// Reports both tasks, the first one with this latency, and returns the
  /// orders that follow.
  Orders next(std::int64_t LatencyMs) {
    Now_ += Seconds(1);
    report(LatencyMs);
    return orders();
  }

  PoolScheduler Scheduler_;
  const InstanceId Id_{"w1"};

private:
  void report(std::int64_t LatencyMs) {
    WorkerReport R{1, {}, {}};
    for (std::uint32_t Step = 0; Scheduler_.find(JobId("j1")) && Step < 2;
         ++Step)
      R.Running_.push_back({{JobId("j1"), 0, Step, 0},
                            1,
                            "",
                            ++Percent_,
                            Step == 0 ? LatencyMs : 0});
    Scheduler_.report(Id_, R, Now_, Scheduler_.fence(Id_), Now_);
    Scheduler_.leaseGranted(Id_, Now_, Seconds(6));
  }
  Orders orders() { return Scheduler_.step(Now_, WallTime()); }

  Instant Now_{Seconds(100)};
  std::uint32_t Percent_ = 0;
};

} // namespace

// Guards against a best-effort task that stays throttled by an order that was
// carried out after a newer one.
HEATHERCROSS_STORY(LateThrottle,
                   "a throttle order without an answer is repeated under a "
                   "raised fence") {
  ThrottledWorker W;
  const Orders First = W.next(150);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, First.Throttles_.size());
  const ThrottleOrder &Unanswered = First.Throttles_.front();
  CPPUNIT_ASSERT_EQUAL(0U, Unanswered.Percent_);
  section("the order is void before the next one is given", [&] {
    W.Scheduler_.throttled(Unanswered, false);
    CPPUNIT_ASSERT(Unanswered.Fence_ < W.Scheduler_.fence(W.Id_));
  });
  section("the same percentage is ordered again", [&] {
    const Orders Second = W.next(150);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Second.Throttles_.size());
    CPPUNIT_ASSERT_EQUAL(0U, Second.Throttles_.front().Percent_);
    CPPUNIT_ASSERT(Unanswered.Fence_ < Second.Throttles_.front().Fence_);
    W.Scheduler_.throttled(Unanswered, true);
  });
  section("an answered order isn't repeated",
          [&] { CPPUNIT_ASSERT(W.next(150).Throttles_.empty()); });
}

// Guards against a worker over its capacity: a run of an unknown job takes an
// unknown part of it.
HEATHERCROSS_STORY(UnknownRun,
                   "a worker with a run of an unknown job gets no tasks") {
  PoolScheduler S;
  const Instant Now{Seconds(100)};
  const InstanceId Id("w1");
  S.setWorker(workerInfo("w1", "r1"));
  S.setRostered(Id, true);
  S.report(Id, {1, {{{JobId("unknown"), 0, 0, 0}, 1, "", 50, 0}}, {}}, Now,
           FenceGeneration(), Now);
  S.leaseGranted(Id, Now, Seconds(6));
  S.admit(
      Job(JobId("j1"), QueueId("q"), job({step(1, 1000, Millis(900))}), Now));
  section("the run is stopped first", [&] {
    const Orders O = S.step(Now, WallTime());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, O.Stops_.size());
    CPPUNIT_ASSERT(O.Starts_.empty());
  });
  section("then tasks start", [&] {
    S.report(Id, {1, {}, {}}, Now + Millis(10), FenceGeneration(),
             Now + Millis(20));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                         S.step(Now + Millis(20), WallTime()).Starts_.size());
  });
}
