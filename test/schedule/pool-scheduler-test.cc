// Tests of a pool's scheduler: starts, failures, takeovers.
#include "schedule/model-pool.h"
#include "support/story.h"

#include <rapidcheck.h>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

JobSpec longRunning(std::uint32_t Count, std::uint32_t MaxUnavailable = 1) {
  StepSpec S = step(Count, 2000, Millis(1000));
  S.LongRunning_ = true;
  S.MaxUnavailable_ = MaxUnavailable;
  return job({S});
}

/// Compares the counts of waiting tasks with the tasks themselves.
void expectWaitingCounts(const ModelPool &P) {
  for (const auto &[Id, J] : P.Scheduler_.jobs()) {
    bool Any = false;
    for (std::uint32_t O = 0; O < J.occurrences().count(); ++O)
      for (const StepState &S : J.occurrences()[O].Steps_) {
        std::uint32_t Waiting = 0;
        for (std::uint32_t I = 0; I < S.count(); ++I)
          Waiting += S.task(I).Phase_ == TaskPhase::Waiting ? 1 : 0;
        RC_ASSERT(S.waitingCount() == Waiting);
        Any = Any || Waiting > 0;
      }
    RC_ASSERT(J.hasWaiting() == Any);
  }
}

/// Applies random faults one after the other, then ends all of them; every job
/// must reach a final state.
void runRandomFaults() {
  enum Fault {
    Nothing,
    Partition,
    Reconnect,
    Crash,
    LoseAnswers,
    RestoreAnswers,
    Submit,
    Cancel,
    ChangeHolder
  };
  const auto Script = *rc::gen::container<std::vector<std::pair<int, int>>>(
      40, rc::gen::pair(rc::gen::inRange(0, 9), rc::gen::inRange(0, 30)));
  ModelPool P;
  for (int I = 0; I < 4; ++I)
    P.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 2), 6000);
  P.submit("lasting", longRunning(2));
  int Jobs = 0;
  for (const auto &[Kind, Argument] : Script) {
    auto &W = P.Workers_.at(InstanceId("w" + std::to_string(Argument % 4)));
    const std::string Target = "j" + std::to_string(Argument % (Jobs + 1));
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
    case LoseAnswers:
      W.LosesAnswers_ = true;
      break;
    case RestoreAnswers:
      W.LosesAnswers_ = false;
      break;
    case Submit: {
      StepSpec Second = step(2, 2000, Millis(200));
      Second.DependsOn_ = {0};
      P.submit("j" + std::to_string(Jobs++),
               job({step(3, 1500, Millis(300 + 20 * Argument)), Second}));
      break;
    }
    case Cancel:
      P.Scheduler_.cancel(JobId(Target));
      break;
    case ChangeHolder:
      P.changeHolder();
      break;
    default:
      break;
    }
    P.run(Millis(100 + 20 * Argument));
    expectWaitingCounts(P);
  }
  for (auto &[Id, W] : P.Workers_) {
    W.Partitioned_ = false;
    W.LosesAnswers_ = false;
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

HEATHERCROSS_STORY(JobsRun, "a job runs step after step and completes") {
  ModelPool P;
  for (const char *Id : {"w1", "w2", "w3"})
    P.addWorker(Id);
  StepSpec Second = step(3, 2000, Millis(500));
  Second.DependsOn_ = {0};
  P.submit("j1", job({step(4, 1000, Millis(300)), Second}));
  section("the second step waits for the first", [&] {
    P.run(Millis(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, P.running("j1"));
    CPPUNIT_ASSERT(P.state("j1") == JobState::Active);
  });
  section("it completes, and nothing ran that shouldn't", [&] {
    CPPUNIT_ASSERT(P.runUntil(
        Seconds(3), [&] { return P.state("j1") == JobState::Complete; }));
    CPPUNIT_ASSERT_EQUAL(7U, P.Starts_);
    CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
  });
}

HEATHERCROSS_STORY(Cancelling, "a cancelled job stays stopped") {
  ModelPool P;
  P.addWorker("w1");
  P.submit("j1", job({step(4, 1000, Seconds(20))}));
  P.run(Millis(200));
  CPPUNIT_ASSERT(P.Scheduler_.cancel(JobId("j1")));
  CPPUNIT_ASSERT(P.runUntil(Millis(300), [&] { return P.running("j1") == 0; }));
  P.run(Seconds(1));
  CPPUNIT_ASSERT_EQUAL(4U, P.Starts_);
  CPPUNIT_ASSERT(!P.Scheduler_.cancel(JobId("j1")));
}

HEATHERCROSS_STORY(Failures, "failures are counted and attributed") {
  ModelPool P;
  P.addWorker("w1");
  P.addWorker("w2");
  section("a job that always fails ends as failed, others aren't affected",
          [&] {
            P.FailingJobs_.insert(JobId("bad"));
            P.submit("bad", job({step(1, 1000, Millis(200))}));
            P.submit("good", job({step(6, 1000, Millis(200))}));
            P.run(Seconds(2));
            CPPUNIT_ASSERT(P.state("bad") == JobState::Failed);
            CPPUNIT_ASSERT(P.state("good") == JobState::Complete);
          });
  section("a worker that fails everything gets nothing for a while", [&] {
    P.Workers_.at(InstanceId("w1")).FailsAll_ = true;
    for (int I = 0; I < 6; ++I) {
      P.submit("k" + std::to_string(I), job({step(1, 1000, Millis(200))}));
      P.run(Millis(100));
    }
    P.run(Seconds(2));
    for (int I = 3; I < 6; ++I)
      CPPUNIT_ASSERT(P.state("k" + std::to_string(I)) == JobState::Complete);
  });
}

HEATHERCROSS_STORY(StuckTask, "a stuck task is started elsewhere") {
  ModelPool P;
  P.addWorker("w1");
  P.submit("j1", job({step(1, 1000, Millis(500))}));
  P.run(Millis(100));
  P.Workers_.at(InstanceId("w1")).Hangs_ = true;
  P.addWorker("w2");
  CPPUNIT_ASSERT(P.runUntil(
      Seconds(6), [&] { return P.state("j1") == JobState::Complete; }));
  CPPUNIT_ASSERT_EQUAL(0U, P.Faults_.RunTwice_);
}

HEATHERCROSS_STORY(UnansweredOrder,
                   "an order without an answer is followed up") {
  ModelPool P;
  P.addWorker("w1").LosesAnswers_ = true;
  P.submit("j1", job({step(2, 1000, Millis(400))}));
  P.run(Millis(300));
  P.Workers_.at(InstanceId("w1")).LosesAnswers_ = false;
  CPPUNIT_ASSERT(P.runUntil(
      Seconds(4), [&] { return P.state("j1") == JobState::Complete; }));
  CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
}

// Guards against orders to an unreachable worker: when a zone is partitioned
// during a burst, each task ordered there before the worker counts as
// unresponsive waits until its lease expires.
HEATHERCROSS_STORY(OverdueAnswer,
                   "a worker that owes an answer gets no more orders") {
  PoolScheduler S;
  const InstanceId Unreachable("w1");
  Instant Now{Seconds(100)};
  const auto AddWorker = [&](const char *Id) {
    S.setWorker(workerInfo(Id, "r1", 4000));
    S.report(InstanceId(Id), {1, {}, {}}, Now, FenceGeneration(), Now);
    S.setRostered(InstanceId(Id), true);
    S.leaseGranted(InstanceId(Id), Now, Seconds(6));
  };
  const auto Submit = [&](const char *Id, std::uint32_t Count) {
    S.admit(Job(JobId(Id), QueueId("q"), job({step(Count, 1000, Millis(900))}),
                Now));
    return S.step(Now, WallTime()).Starts_;
  };
  AddWorker("w1");
  auto Starts = Submit("j1", 1);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Starts.size());
  const StartOrder Overdue = Starts.front();
  AddWorker("w2");
  Now += Millis(400);
  section("new tasks go to the other worker", [&] {
    Starts = Submit("j2", 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Starts.size());
    for (const StartOrder &O : Starts) {
      CPPUNIT_ASSERT(O.Worker_ != Unreachable);
      S.started(O, StartAnswer::Started, Now);
    }
  });
  section("with its answer it takes part again", [&] {
    S.started(Overdue, StartAnswer::Started, Now);
    S.step(Now, WallTime());
    Starts = Submit("j3", 4);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Starts.size());
    CPPUNIT_ASSERT(std::ranges::any_of(
        Starts, [&](const StartOrder &O) { return O.Worker_ == Unreachable; }));
  });
}

// Guards against a long queue of orders: if more tasks become ready at once
// than the entry can send orders for, the orders wait in a queue that more
// urgent work cannot overtake.
HEATHERCROSS_STORY(OrderLimit,
                   "pressing work overtakes what isn't ordered yet") {
  PoolScheduler S;
  Instant Now{Seconds(100)};
  S.setOrderLimit(4);
  S.setWorker(workerInfo("w1", "r1", 32000));
  S.report(InstanceId("w1"), {1, {}, {}}, Now, FenceGeneration(), Now);
  S.setRostered(InstanceId("w1"), true);
  S.leaseGranted(InstanceId("w1"), Now, Seconds(6));
  const auto Admit = [&](const char *Id, std::uint32_t Count) {
    Job J(JobId(Id), QueueId("q"), job({step(Count, 1000, Millis(900))}), Now);
    S.recordArrival(J, Now);
    S.admit(std::move(J));
  };
  Admit("large", 20);
  Orders First = S.step(Now, WallTime());
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, First.Starts_.size());
  CPPUNIT_ASSERT(S.heldBack());
  section("nothing more is ordered before there are answers",
          [&] { CPPUNIT_ASSERT(S.step(Now, WallTime()).Starts_.empty()); });
  section("then a small job that came later goes first", [&] {
    Admit("small", 1);
    for (const StartOrder &O : First.Starts_)
      S.started(O, StartAnswer::Started, Now);
    const Orders Next = S.step(Now, WallTime());
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Next.Starts_.size());
    CPPUNIT_ASSERT(Next.Starts_.front().Task_.Job_ == JobId("small"));
  });
}

HEATHERCROSS_STORY(
    LostWorker,
    "what a lost worker ran is restarted, but only once its leases expire") {
  ModelPool P;
  P.addWorker("w1");
  P.submit("j1", longRunning(2));
  P.run(Millis(500));
  P.addWorker("w2");
  ModelWorker &W = P.Workers_.at(InstanceId("w1"));
  section("while its leases last nothing is started twice", [&] {
    W.Partitioned_ = true;
    P.run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(2U, P.Starts_);
  });
  section("after that the tasks are at work elsewhere", [&] {
    P.run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, P.running("j1"));
    CPPUNIT_ASSERT_EQUAL(0U, P.Faults_.RunTwice_);
  });
  section("the runs of a restarted worker are replaced at once", [&] {
    ModelWorker &Second = P.Workers_.at(InstanceId("w2"));
    W.Partitioned_ = false;
    P.run(Millis(100));
    P.crash(Second);
    P.run(Millis(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, P.running("j1"));
    CPPUNIT_ASSERT_EQUAL(0U, P.Faults_.RunTwice_);
  });
}

HEATHERCROSS_STORY(Takeover, "another holder adopts the existing runs") {
  ModelPool P;
  P.addWorker("w1");
  P.addWorker("w2");
  P.submit("lasting", longRunning(2));
  P.submit("batch", job({step(6, 1000, Millis(900))}));
  P.run(Millis(300));
  const auto Before = P.Starts_;
  section("nothing is stopped or started again", [&] {
    P.changeHolder();
    P.run(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(Before, P.Starts_);
    CPPUNIT_ASSERT(P.state("batch") == JobState::Complete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, P.running("lasting"));
  });
  section("what an unreachable worker may run isn't started elsewhere", [&] {
    P.Workers_.at(InstanceId("w1")).Partitioned_ = true;
    P.changeHolder();
    P.run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(Before, P.Starts_);
  });
  section("new work doesn't wait for it", [&] {
    P.submit("new", job({step(1, 1000, Millis(100))}));
    P.run(Millis(400));
    CPPUNIT_ASSERT(P.state("new") == JobState::Complete);
  });
  section("an unregistered worker that responds keeps its runs", [&] {
    P.Scheduler_.removeWorker(InstanceId("w1"));
    P.Workers_.at(InstanceId("w1")).Partitioned_ = false;
    const auto Starts = P.Starts_;
    P.run(Seconds(1));
    CPPUNIT_ASSERT_EQUAL(Starts, P.Starts_);
    CPPUNIT_ASSERT_EQUAL(0U, P.Faults_.RunTwice_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, P.running("lasting"));
  });
}

HEATHERCROSS_STORY(FailureOnce, "a failure counts once, whoever reports it") {
  ModelPool P;
  P.addWorker("w1").FailsAll_ = true;
  P.submit("j1", job({step(1, 1000, Millis(300))}));
  const auto Failures = [&] {
    return P.Scheduler_.find(JobId("j1"))
        ->task({JobId("j1"), 0, 0, 0})
        .Failures_;
  };
  CPPUNIT_ASSERT(P.runUntil(Seconds(1), [&] { return P.Starts_ == 1; }));
  P.Workers_.at(InstanceId("w1")).FailsAll_ = false;
  CPPUNIT_ASSERT(P.runUntil(Seconds(1), [&] { return Failures() == 1; }));
  // The failure is stored, but not acknowledged to the worker.
  P.changeHolder();
  CPPUNIT_ASSERT_EQUAL(1U, Failures());
  // The failures of a task that is done aren't kept.
  std::uint32_t MostFailures = 0;
  CPPUNIT_ASSERT(P.runUntil(Seconds(2), [&] {
    MostFailures = std::max(MostFailures, Failures());
    return P.state("j1") == JobState::Complete;
  }));
  CPPUNIT_ASSERT_EQUAL(1U, MostFailures);
}

HEATHERCROSS_STORY(FailureLate,
                   "a failure counts, however late it is reported") {
  ModelPool P;
  P.addWorker("w1").FailsAll_ = true;
  P.submit("j1", job({step(1, 1000, Millis(300))}));
  CPPUNIT_ASSERT(P.runUntil(Seconds(1), [&] { return P.Starts_ == 1; }));
  // The first run fails during a partition; the second one fails on another
  // worker.
  P.Workers_.at(InstanceId("w1")).Partitioned_ = true;
  ModelWorker &Second = P.addWorker("w2");
  Second.FailsAll_ = true;
  CPPUNIT_ASSERT(P.runUntil(Seconds(9), [&] { return P.Starts_ == 2; }));
  Second.FailsAll_ = false;
  Second.SlowdownFactor_ = 10;
  P.run(Millis(200));
  CPPUNIT_ASSERT_EQUAL(3U, P.Starts_);
  P.Workers_.at(InstanceId("w1")).Partitioned_ = false;
  P.run(Millis(100));
  CPPUNIT_ASSERT_EQUAL(
      2U,
      P.Scheduler_.find(JobId("j1"))->task({JobId("j1"), 0, 0, 0}).Failures_);
  CPPUNIT_ASSERT(P.state("j1") == JobState::Failed);
}

HEATHERCROSS_STORY(Evacuation,
                   "workers are evacuated without exceeding MaxUnavailable_") {
  ModelPool P;
  for (const char *Id : {"w1", "w2", "w3"})
    P.addWorker(Id);
  P.submit("lasting", longRunning(3));
  P.run(Millis(300));
  section("one long lasting task after the other leaves an evacuated worker",
          [&] {
            std::size_t Minimum = 3;
            P.Scheduler_.evacuate({InstanceId("w1"), InstanceId("w2")},
                                  P.Now_ + Seconds(20));
            P.runUntil(Seconds(3), [&] {
              Minimum = std::min(Minimum, P.running("lasting"));
              return P.Workers_.at(InstanceId("w1")).Running_.empty() &&
                     P.Workers_.at(InstanceId("w2")).Running_.empty();
            });
            CPPUNIT_ASSERT(P.Workers_.at(InstanceId("w1")).Running_.empty());
            CPPUNIT_ASSERT(Minimum >= 2);
          });
  section("a draining worker gets nothing new", [&] {
    WorkerInfo Info = P.Workers_.at(InstanceId("w3")).Info_;
    Info.Draining_ = true;
    P.Scheduler_.setWorker(Info);
    P.Scheduler_.evacuate({InstanceId("w1"), InstanceId("w2")}, P.Now_);
    P.submit("batch", job({step(40, 1000, Millis(300))}));
    P.run(Seconds(2));
    CPPUNIT_ASSERT(P.state("batch") == JobState::Complete);
    CPPUNIT_ASSERT(P.Workers_.at(InstanceId("w3")).Running_.empty());
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, P.running("lasting"));
  });
}

HEATHERCROSS_STORY(
    Advised, "a queue with a placement policy runs only where it is allowed") {
  ModelPool P;
  QueueSettings Q = P.Scheduler_.settings(P.Queue_);
  Q.NeedsAdvice_ = true;
  P.Scheduler_.setQueues({{P.Queue_, Q}});
  P.addWorker("w1");
  P.addWorker("w2");
  P.submit("j1", job({step(2, 1000, Millis(200))}));
  section("nothing starts without advice", [&] {
    P.run(Millis(300));
    CPPUNIT_ASSERT_EQUAL(0U, P.Starts_);
    const auto Request = P.Scheduler_.nextAdviceRequest(P.Now_, P.wall());
    CPPUNIT_ASSERT(Request && Request->Workers_.size() == 2);
    CPPUNIT_ASSERT(Request->Step_ == (StepKey{JobId("j1"), 0, 0}));
  });
  section("then it runs on the workers that were named", [&] {
    const auto Request = P.Scheduler_.nextAdviceRequest(P.Now_, P.wall());
    P.Scheduler_.adviceAnswered(
        *Request, Millis(10),
        std::vector<PlacementTicket>{{InstanceId("w2"), "t"}},
        P.Now_ + Seconds(3));
    CPPUNIT_ASSERT(!P.Scheduler_.nextAdviceRequest(P.Now_, P.wall()));
    P.run(Millis(100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         P.Workers_.at(InstanceId("w2")).Running_.size());
    P.run(Seconds(1));
    CPPUNIT_ASSERT(P.state("j1") == JobState::Complete);
  });
}

HEATHERCROSS_STORY(Gangs, "a gang starts as a whole or not at all") {
  ModelPool P;
  P.addWorker("w1", "r1", 4000);
  P.addWorker("w2", "r2", 4000);
  StepSpec S = step(4, 2000, Millis(300));
  S.Gang_ = true;
  P.submit("other", job({step(1, 2000, Millis(600))}));
  P.run(Millis(40));
  P.submit("gang", job({S}));
  P.run(Millis(300));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, P.running("gang"));
  CPPUNIT_ASSERT(P.runUntil(
      Seconds(2), [&] { return P.state("gang") == JobState::Complete; }));
  CPPUNIT_ASSERT(P.Faults_ == PoolFaults());
}

HEATHERCROSS_STORY(RandomFaults,
                   "no series of faults makes a pool violate a guarantee") {
  HEATHERCROSS_PROPERTY("no task runs twice, over capacity or out of order",
                        [] { runRandomFaults(); });
}
