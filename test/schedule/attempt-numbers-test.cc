// Tests of the numbers of a task's starts across holders.
#include "schedule/model-pool.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <limits>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

const QueueId Queue("q");
const InstanceId TheWorker("w1");
const TaskKey TheTask{JobId("j"), 0, 0, 0};
/// Longer than a worker gets no tasks after a refusal or a failure.
constexpr Millis Pause{6000};

JobSpec oneTask() { return job({step(1, 1000, Millis(300))}); }

/// One holder's view of a pool with one worker and a job with one task, which
/// was accepted in epoch 1.
class OneTaskHolder {
public:
  OneTaskHolder(Epoch E, const std::string &Progress) {
    QueueSettings Q;
    Q.MaxFailures_ = 2;
    Scheduler_.setQueues({{Queue, Q}});
    Scheduler_.setWorker(workerInfo(TheWorker.str(), "r1"));
    Scheduler_.setRostered(TheWorker, true);
    Job J(TheTask.Job_, Queue, oneTask(), Now_);
    if (!Progress.empty())
      J.decodeProgress(Progress);
    Scheduler_.restore(std::move(J), attemptFloor(E, Epoch(1)));
  }

  /// Lets the holder order a start and returns the attempt's number.
  Attempt orderStart() {
    Now_ += Pause;
    report();
    const Orders O =
        Scheduler_.step(Now_, WallTime(toMillis(Now_.time_since_epoch())));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, O.Starts_.size());
    Order_ = O.Starts_[0];
    return Order_.Attempt_;
  }

  void refuse(Attempt A) {
    CPPUNIT_ASSERT_EQUAL(Order_.Attempt_, A);
    Scheduler_.started(Order_, StartAnswer::NoRoom, Now_);
  }

  void fail(Attempt A) {
    CPPUNIT_ASSERT_EQUAL(Order_.Attempt_, A);
    Scheduler_.started(Order_, StartAnswer::Started, Now_);
    Report_.Ended_.push_back(
        {Report_.Ended_.size() + 1, TheTask, A, RunEnd::Failed, ""});
    report();
  }

  const Job &job() const { return *Scheduler_.find(TheTask.Job_); }

private:
  void report() {
    Scheduler_.leaseGranted(TheWorker, Now_, Pause);
    Scheduler_.report(TheWorker, Report_, Now_, Scheduler_.fence(TheWorker),
                      Now_);
  }

  PoolScheduler Scheduler_;
  Instant Now_{Seconds(100)};
  WorkerReport Report_{1, {}, {}};
  StartOrder Order_;
};

} // namespace

// A holder gave a number for the second time, so that a failure with it was
// taken for one that had been counted.
HEATHERCROSS_STORY(AttemptAgain,
                   "no holder gives an attempt number of an earlier one") {
  constexpr int Refusals = 16;
  OneTaskHolder First(Epoch(1), "");
  for (int I = 0; I < Refusals; ++I)
    First.refuse(First.orderStart());
  const Attempt Failed = First.orderStart();
  First.fail(Failed);
  CPPUNIT_ASSERT_EQUAL(1U, First.job().task(TheTask).Failures_);
  OneTaskHolder Second(Epoch(2), First.job().encodeProgress());
  const Attempt Next = Second.orderStart();
  Second.fail(Next);
  section("the failure of the next holder's run is counted",
          [&] { CPPUNIT_ASSERT(Second.job().state() == JobState::Failed); });
  section("the number of that run is higher",
          [&] { CPPUNIT_ASSERT(Next > Failed); });
}

HEATHERCROSS_STORY(AttemptRanges, "each epoch has its own attempt numbers") {
  constexpr Attempt Last = std::numeric_limits<Attempt>::max();
  section("numbers of a later epoch are higher", [] {
    HEATHERCROSS_PROPERTY(
        "numbers of a later epoch are higher", [](std::uint64_t Accepted) {
          Accepted %= std::uint64_t{1} << 48U;
          const auto Earlier = *rc::gen::inRange<std::uint64_t>(0, 65'535);
          const auto Later =
              *rc::gen::inRange<std::uint64_t>(Earlier + 1, 65'536);
          const auto Floor = [&](std::uint64_t Epochs) -> std::uint64_t {
            return attemptFloor(Epoch(Accepted + Epochs), Epoch(Accepted));
          };
          RC_ASSERT(Floor(Earlier) + AttemptsPerEpoch <= Floor(Later));
        });
  });
  section("the epoch that accepted the job starts at 1", [] {
    TaskState T;
    CPPUNIT_ASSERT_EQUAL(Attempt{1},
                         T.nextAttempt(attemptFloor(Epoch(9), Epoch(9))));
  });
  section("a row of a later epoch than the holder's counts as the holder's",
          [] {
            CPPUNIT_ASSERT_EQUAL(Attempt{0}, attemptFloor(Epoch(3), Epoch(9)));
          });
  section("later epochs share the numbers of the last range", [] {
    const Attempt LastFloor = attemptFloor(Epoch(65'536), Epoch(1));
    CPPUNIT_ASSERT_EQUAL(Last - AttemptsPerEpoch + 1, LastFloor);
    for (const std::uint64_t E :
         {std::uint64_t{65'537}, std::uint64_t{1} << 40U,
          std::numeric_limits<std::uint64_t>::max()})
      CPPUNIT_ASSERT_EQUAL(LastFloor, attemptFloor(Epoch(E), Epoch(1)));
  });
  section("a holder that has used up its numbers goes on with the next", [] {
    TaskState T;
    T.Attempt_ = attemptFloor(Epoch(3), Epoch(1));
    CPPUNIT_ASSERT_EQUAL(T.Attempt_ + 1,
                         T.nextAttempt(attemptFloor(Epoch(2), Epoch(1))));
  });
  section("the last number is given again and doesn't wrap around", [&] {
    TaskState T;
    T.Attempt_ = Last;
    CPPUNIT_ASSERT_EQUAL(Last, T.nextAttempt(0));
  });
  section("a progress text holds the highest number", [&] {
    Job J(TheTask.Job_, Queue, oneTask(), Instant());
    J.openTask(TheTask)->Failures_ = 2;
    J.openTask(TheTask)->FailedAttempts_ = {17, Last};
    Job Other(TheTask.Job_, Queue, oneTask(), Instant());
    Other.decodeProgress(J.encodeProgress());
    CPPUNIT_ASSERT_EQUAL(Last, Other.task(TheTask).FailedAttempts_.at(1));
  });
}
