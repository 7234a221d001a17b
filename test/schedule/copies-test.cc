// Tests of second runs of tasks that take far longer than expected, call by
// call.
#include "schedule/manual-pool.h"
#include "support/story.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

const TaskKey TheTask{JobId("slow"), 0, 0, 0};

StepSpec speculativeStep(std::uint32_t Count) {
  StepSpec S = schedule::test::step(Count, 1000, Millis(1000));
  S.Image_ = "convert";
  S.Speculative_ = true;
  return S;
}

/// Two workers that carry out every order at once, and whose runs end when the
/// test says.
class TwoWorkers {
public:
  ManualPool P_{"w1", 12'000};
  std::map<std::string, std::map<TaskKey, RunningReport>> Running_;
  std::map<std::string, std::vector<EndReport>> Ended_;
  std::vector<StartOrder> Starts_;
  /// The answer to further start orders; the runs begin only on `Started`.
  StartAnswer Answer_ = StartAnswer::Started;

  explicit TwoWorkers(std::uint32_t MaxFailures = 3)
      : MaxFailures_(MaxFailures) {
    configure();
    P_.addWorker("w2", 12'000);
    learn();
  }

  void configure() {
    QueueSettings Q;
    Q.MaxFailures_ = MaxFailures_;
    Q.ObjectiveFactor_ = 4;
    Q.ObjectiveSlack_ = Millis(4000);
    P_.Scheduler_.setQueues({{QueueId("q"), Q}});
  }

  /// Lets 10 tasks of the image end after a second.
  void learn() {
    submit("learn", job({speculativeStep(10)}));
    P_.Now_ += Seconds(1);
    for (auto &[Worker, Runs] : Running_)
      while (!Runs.empty())
        end(Worker, Runs.begin()->first, RunEnd::Done);
    tick();
    CPPUNIT_ASSERT(state("learn") == JobState::Complete);
    Starts_.clear();
  }

  void submit(const char *Id, JobSpec Spec) {
    P_.Scheduler_.admit(Job(JobId(Id), QueueId("q"), std::move(Spec), P_.Now_));
    carryOut(P_.step());
  }

  /// Lets a time pass with reports and rounds; all runs make little progress.
  void run(Millis For) {
    for (const Instant End = P_.Now_ + For; P_.Now_ < End;) {
      P_.Now_ += Step;
      for (auto &[Worker, Runs] : Running_)
        for (auto &[Key, R] : Runs)
          R.Percent_ += R.Percent_ < 99 ? 1 : 0;
      tick();
    }
  }

  void tick() {
    for (const char *Worker : {"w1", "w2"}) {
      std::vector<RunningReport> Runs;
      for (const auto &[Key, R] : Running_[Worker])
        Runs.push_back(R);
      P_.report(Worker, 1, std::move(Runs), Ended_[Worker]);
    }
    carryOut(P_.step());
  }

  /// The key is copied, since it may belong to the run that is erased.
  void end(const std::string &Worker, TaskKey Key, RunEnd How) {
    const Attempt A = Running_[Worker].at(Key).Attempt_;
    Running_[Worker].erase(Key);
    Ended_[Worker].push_back(
        {Ended_[Worker].size() + 1, std::move(Key), A, How, ""});
  }

  /// The worker of the task's run with this attempt, or nothing.
  std::string placeOf(Attempt A) const {
    for (const auto &[Worker, Runs] : Running_)
      if (const auto It = Runs.find(TheTask);
          It != Runs.end() && It->second.Attempt_ == A)
        return Worker;
    return "";
  }

  std::size_t runs() const {
    return static_cast<std::size_t>(std::ranges::count_if(
        Running_, [](const auto &E) { return E.second.contains(TheTask); }));
  }

  JobState state(const char *Id) const {
    return P_.Scheduler_.find(JobId(Id))->state();
  }

  /// Another holder takes over; it knows that the task has begun, and nothing
  /// of its runs.
  void changeHolder(JobSpec Spec) {
    const Instant Now = P_.Now_;
    P_ = ManualPool("w1", 12'000);
    P_.Now_ = Now;
    configure();
    P_.Scheduler_.restore(Job(TheTask.Job_, QueueId("q"), std::move(Spec), Now),
                          Attempt{1} << 16);
    P_.Scheduler_.setWorker(workerInfo("w2", "r1", 12'000));
    P_.Scheduler_.setRostered(InstanceId("w2"), true);
    P_.Scheduler_.awaitWorkers({{InstanceId("w1"), Now + Seconds(10)},
                                {InstanceId("w2"), Now + Seconds(10)}});
  }

private:
  void carryOut(const Orders &O) {
    for (const StopOrder &S : O.Stops_) {
      P_.Scheduler_.stopped(S, StopAnswer::Accepted, P_.Now_);
      const std::string Worker = S.Worker_.str();
      if (const auto It = Running_[Worker].find(S.Task_);
          It != Running_[Worker].end() && It->second.Attempt_ == S.Attempt_)
        end(Worker, S.Task_, RunEnd::Stopped);
    }
    for (const StartOrder &S : O.Starts_) {
      Starts_.push_back(S);
      if (Answer_ == StartAnswer::Started)
        Running_[S.Worker_.str()][S.Task_] = {S.Task_, S.Attempt_, "", 0, 0};
      P_.answer(S, Answer_);
    }
  }

  std::uint32_t MaxFailures_;
};

/// Runs a task until it has a copy.
TwoWorkers withCopy(std::uint32_t MaxFailures = 3) {
  TwoWorkers W(MaxFailures);
  W.submit("slow", job({speculativeStep(1)}));
  W.run(Millis(3500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.runs());
  return W;
}

} // namespace

// Load: 3% of the tasks take seven times as long. Guards against a task that
// waits for its first run although a second one would have ended.
HEATHERCROSS_STORY(CopyWins, "a task that takes far too long gets one copy") {
  TwoWorkers W = withCopy();
  section("it starts once, elsewhere, with a higher attempt", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
    CPPUNIT_ASSERT(W.Starts_[1].Attempt_ > W.Starts_[0].Attempt_);
    CPPUNIT_ASSERT(W.Starts_[1].Worker_ != W.Starts_[0].Worker_);
  });
  section("its end completes the task and stops the first run", [&] {
    W.end(W.Starts_[1].Worker_.str(), TheTask, RunEnd::Done);
    W.run(Millis(300));
    CPPUNIT_ASSERT(W.state("slow") == JobState::Complete);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W.runs());
    CPPUNIT_ASSERT(W.P_.used("w1") == Resources());
    CPPUNIT_ASSERT(W.P_.used("w2") == Resources());
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
  });
}

// Guards against a copy that goes on after the first run is done.
HEATHERCROSS_STORY(FirstRunWins, "the first run's end stops the copy") {
  TwoWorkers W = withCopy();
  W.end(W.Starts_[0].Worker_.str(), TheTask, RunEnd::Done);
  W.run(Millis(300));
  CPPUNIT_ASSERT(W.state("slow") == JobState::Complete);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W.runs());
}

// Guards against second runs of tasks whose step doesn't allow them, and of
// tasks that are as fast as others.
HEATHERCROSS_STORY(NoCopies, "other tasks run once") {
  TwoWorkers W;
  section("the step isn't speculative", [&] {
    StepSpec S = speculativeStep(1);
    S.Speculative_ = false;
    W.submit("slow", job({S}));
    W.run(Seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W.Starts_.size());
  });
  section("the run isn't late yet", [&] {
    W.submit("quick", job({speculativeStep(1)}));
    W.run(Millis(1000));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
  });
  section("the run's progress says that it ends first", [&] {
    const StartOrder &Quick = W.Starts_.back();
    W.Running_[Quick.Worker_.str()].at(Quick.Task_).Percent_ = 80;
    W.run(Seconds(2));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
  });
}

// Guards against a job that fails by attempts that only copies have used up.
HEATHERCROSS_STORY(CopiesWithinAttempts,
                   "no copy starts if two failures would end the attempts") {
  TwoWorkers W(1);
  W.submit("slow", job({speculativeStep(1)}));
  W.run(Seconds(5));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W.Starts_.size());
}

// Guards against a third run, and a lost failure, when one of two runs fails.
HEATHERCROSS_STORY(OneOfTwoFails, "the other run goes on after a failure") {
  for (const std::size_t Failing : {0U, 1U}) {
    TwoWorkers W = withCopy();
    W.end(W.Starts_[Failing].Worker_.str(), TheTask, RunEnd::Failed);
    W.run(Millis(500));
    const TaskState &T = W.P_.Scheduler_.find(TheTask.Job_)->task(TheTask);
    CPPUNIT_ASSERT_EQUAL(1U, T.Failures_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W.runs());
    const std::string Other = W.Starts_[1 - Failing].Worker_.str();
    CPPUNIT_ASSERT_EQUAL(Other, T.Worker_.str());
    W.end(Other, TheTask, RunEnd::Done);
    W.run(Millis(300));
    CPPUNIT_ASSERT(W.state("slow") == JobState::Complete);
  }
}

// Guards against a task that never starts again after both runs failed.
HEATHERCROSS_STORY(BothFail, "a task starts again after both runs failed") {
  TwoWorkers W = withCopy();
  for (const StartOrder &O : std::vector(W.Starts_))
    W.end(O.Worker_.str(), TheTask, RunEnd::Failed);
  W.run(Millis(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, W.Starts_.size());
  CPPUNIT_ASSERT(W.Starts_[2].Attempt_ > W.Starts_[1].Attempt_);
}

// Guards against a holder that stops a copy of its predecessor, or takes it
// for the only run.
HEATHERCROSS_STORY(CopyTakeover, "a new holder adopts both runs") {
  TwoWorkers W = withCopy();
  W.changeHolder(job({speculativeStep(1)}));
  W.run(Millis(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.runs());
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
  W.end("w2", TheTask, RunEnd::Done);
  W.run(Millis(500));
  CPPUNIT_ASSERT(W.state("slow") == JobState::Complete);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W.runs());
}

// Guards against two runs of a task of another step after a takeover.
HEATHERCROSS_STORY(UnwantedTakeover,
                   "a second run of another step's task is still stopped") {
  TwoWorkers W = withCopy();
  StepSpec S = speculativeStep(1);
  S.Speculative_ = false;
  W.changeHolder(job({S}));
  W.run(Millis(500));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W.runs());
}

// Guards against a reservation that stays, and a run that isn't stopped, when
// the answer to a copy's order is lost.
HEATHERCROSS_STORY(CopyAnswerLost, "a copy's order gets no answer") {
  TwoWorkers W;
  W.submit("slow", job({speculativeStep(1)}));
  W.Answer_ = StartAnswer::Unknown;
  W.run(Millis(2500));
  CPPUNIT_ASSERT(W.Starts_.size() >= 2);
  const StartOrder Copy = W.Starts_[1];
  const Attempt First = W.Starts_[0].Attempt_;
  section("every order for it has the same attempt and worker", [&] {
    CPPUNIT_ASSERT(std::ranges::all_of(
        W.Starts_.begin() + 1, W.Starts_.end(), [&](const StartOrder &O) {
          return O.Attempt_ == Copy.Attempt_ && O.Worker_ == Copy.Worker_;
        }));
  });
  section("the first run completes the task, the order is dropped", [&] {
    W.end(W.placeOf(First), TheTask, RunEnd::Done);
    W.Answer_ = StartAnswer::Started;
    W.run(Millis(500));
    const std::size_t Starts = W.Starts_.size();
    W.run(Millis(1500));
    CPPUNIT_ASSERT(W.state("slow") == JobState::Complete);
    CPPUNIT_ASSERT_EQUAL(Starts, W.Starts_.size());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W.runs());
    CPPUNIT_ASSERT(W.P_.used(Copy.Worker_.str().c_str()) == Resources());
  });
  section("the order is carried out late and the run is stopped", [&] {
    W.Running_[Copy.Worker_.str()][TheTask] = {TheTask, Copy.Attempt_, "", 0,
                                               0};
    W.run(Millis(500));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, W.runs());
    CPPUNIT_ASSERT(W.P_.used(Copy.Worker_.str().c_str()) == Resources());
  });
}

// Guards against copies that ignore the step's limit per worker, its label or
// the worker's room.
HEATHERCROSS_STORY(CopyLimits, "a copy keeps to the limits of its step") {
  section("anti-affinity", [] {
    TwoWorkers W;
    StepSpec S = speculativeStep(2);
    S.MaxPerWorker_ = 1;
    W.submit("slow", job({S}));
    W.run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
  });
  section("capacity", [] {
    TwoWorkers W;
    StepSpec S = speculativeStep(2);
    S.Needs_.CpuMilli_ = 12'000;
    W.submit("slow", job({S}));
    W.run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, W.Starts_.size());
  });
  section("label", [] {
    TwoWorkers W;
    StepSpec S = speculativeStep(1);
    S.Label_ = "only-w1";
    WorkerInfo Info = workerInfo("w1", "r1", 12'000);
    Info.Labels_.emplace_back("only-w1");
    W.P_.Scheduler_.setWorker(Info);
    W.submit("slow", job({S}));
    W.run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, W.Starts_.size());
  });
}
