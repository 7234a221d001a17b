// Tests of jobs whose schedules reach far ahead.
#include "schedule/job-memory.h"
#include "schedule/model-pool.h"
#include "support/memory.h"
#include "support/story.h"

#include <list>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;
using heathercross::test::usedBytes;

namespace {

/// Twenty tasks every five minutes for 30 days.
JobSpec thirtyDays() {
  JobSpec Spec = job({step(20, 100, Millis(200))});
  Spec.Repeats_ = 8640;
  Spec.FirstDue_ = WallTime(Seconds(160));
  Spec.Interval_ = Seconds(300);
  return Spec;
}

JobId idOf(int I) { return JobId("j" + std::to_string(I)); }

} // namespace

// Guards against a holder that keeps the state of each task of each occurrence
// from the moment a job is accepted: it grew beyond its machine's memory, was
// killed, and grew again when it had loaded the same jobs.
HEATHERCROSS_STORY(LongSchedules,
                   "jobs with long schedules take little memory") {
  // An entry instance may use 32 MB for control (docs/CONTRIBUTING.md).
  constexpr std::size_t MaxGrowth = std::size_t{32} << 20U;
  constexpr int Jobs = 40;
  const JobSpec Spec = thirtyDays();
  const std::size_t Before = usedBytes();
  const auto Growth = [&] {
    const std::size_t Now = usedBytes();
    return Now > Before ? Now - Before : 0;
  };
  PoolScheduler Holder;
  for (int I = 0; I < Jobs; ++I)
    Holder.admit(Job(idOf(I), QueueId("q"), Spec, Instant()));
  section("for the holder that accepts them",
          [&] { CPPUNIT_ASSERT(Growth() < MaxGrowth); });
  section("for the next holder, which loads them with their progress", [&] {
    Job Begun(idOf(0), QueueId("q"), Spec, Instant());
    for (std::uint32_t I = 0; I < 30; ++I)
      Begun.finishTask({Begun.id(), I / 20, 0, I % 20});
    const std::string Progress = Begun.encodeProgress();
    PoolScheduler Next;
    for (int I = 0; I < Jobs; ++I) {
      Job J(idOf(I), QueueId("q"), Spec, Instant());
      J.decodeProgress(Progress);
      Next.restore(std::move(J), attemptFloor(Epoch(2), Epoch(1)));
    }
    CPPUNIT_ASSERT(Growth() < MaxGrowth);
    CPPUNIT_ASSERT_EQUAL(10U, Next.find(idOf(7))->step(1, 0).doneCount());
  });
  section("and after most occurrences have run", [&] {
    Job J(idOf(0), QueueId("q"), Spec, Instant());
    for (std::uint32_t O = 0; O + 1 < Spec.Repeats_; ++O)
      for (std::uint32_t I = 0; I < 20; ++I) {
        J.setPhase({J.id(), O, 0, I}, TaskPhase::Placed);
        J.finishTask({J.id(), O, 0, I});
      }
    CPPUNIT_ASSERT(Growth() < MaxGrowth);
    CPPUNIT_ASSERT(!J.allDone());
    CPPUNIT_ASSERT_EQUAL(std::string("q=8639=*20*d.*20*0."),
                         J.encodeProgress());
  });
}

HEATHERCROSS_STORY(LongScheduleRuns,
                   "a long schedule runs as its occurrences become due") {
  ModelPool P;
  P.addWorker("1");
  JobSpec Spec = job({step(3, 1000, Millis(900))});
  Spec.Repeats_ = 6;
  Spec.FirstDue_ = P.wall() + Seconds(1);
  Spec.Interval_ = Millis(500);
  P.submit("j1", Spec);
  const auto DoneOccurrences = [&] {
    std::uint32_t Done = 0;
    for (std::uint32_t O = 0; O < Spec.Repeats_; ++O)
      Done += P.Scheduler_.find(JobId("j1"))->occurrences()[O].done() ? 1 : 0;
    return Done;
  };
  section("nothing runs before the first occurrence is due", [&] {
    P.run(Millis(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, P.running("j1"));
  });
  section("occurrences that overlap run side by side", [&] {
    P.run(Millis(900));
    CPPUNIT_ASSERT_EQUAL(std::size_t{6}, P.running("j1"));
    CPPUNIT_ASSERT_EQUAL(0U, DoneOccurrences());
  });
  section("the next holder goes on where the former one was", [&] {
    P.run(Millis(400));
    CPPUNIT_ASSERT_EQUAL(1U, DoneOccurrences());
    P.changeHolder();
    CPPUNIT_ASSERT(P.runUntil(
        Seconds(30), [&] { return P.state("j1") == JobState::Complete; }));
    CPPUNIT_ASSERT_EQUAL(6U, DoneOccurrences());
    CPPUNIT_ASSERT(PoolFaults() == P.Faults_);
    CPPUNIT_ASSERT_EQUAL(18U, P.Starts_);
  });
}

// Guards against a limit that is kept while the process grows beyond it.
HEATHERCROSS_STORY(JobMemoryEstimate,
                   "accepted jobs take no more memory than was estimated") {
  constexpr int Jobs = 2000;
  // All are kept, so that none takes the memory that another has freed.
  std::list<PoolScheduler> Holders;
  const auto ExpectBounded = [&](const JobSpec &Spec) {
    const std::size_t Estimate = memoryOf(Spec, Spec.Payload_.size());
    const std::size_t Before = usedBytes();
    PoolScheduler &Holder = Holders.emplace_back();
    for (int I = 0; I < Jobs; ++I)
      Holder.admit(Job(idOf(I), QueueId("q"), Spec, Instant()));
    const std::size_t After = usedBytes();
    CPPUNIT_ASSERT(After <= Before + Estimate * Jobs);
  };
  section("with many steps", [&] {
    ExpectBounded(job(std::vector<StepSpec>(200, step(1, 100, Millis(200)))));
  });
  section("with a long payload", [&] {
    JobSpec Spec = job({step(1, 100, Millis(200))});
    Spec.Payload_.assign(20'000, 'x');
    ExpectBounded(Spec);
  });
  section("with little of either",
          [&] { ExpectBounded(job({step(6, 100, Millis(200))})); });
}

HEATHERCROSS_STORY(JobMemoryLimit, "pools share the memory for jobs") {
  JobMemory Memory;
  Memory.setLimit(1000, 5);
  Memory.add(idOf(1), 60);
  CPPUNIT_ASSERT(Memory.fits(40));
  CPPUNIT_ASSERT(!Memory.fits(41));
  section("a job counts once", [&] {
    Memory.add(idOf(1), 70);
    CPPUNIT_ASSERT(!Memory.fits(31));
  });
  section("jobs of earlier holders count beyond the limit", [&] {
    Memory.add(idOf(2), 500);
    CPPUNIT_ASSERT(!Memory.fits(1));
    Memory.remove(idOf(2));
    CPPUNIT_ASSERT(Memory.fits(30));
  });
}

// Guards against rounds that grow with all occurrences of a schedule that are
// due: 40 such jobs of 8,640 occurrences took a round 44 ms.
HEATHERCROSS_STORY(ScheduleBacklog,
                   "a schedule whose occurrences are all due runs in parts") {
  ModelPool P;
  P.addWorker("1");
  JobSpec Spec = job({step(2, 1000, Millis(40))});
  Spec.Repeats_ = 600;
  Spec.FirstDue_ = P.wall();
  P.submit("j1", Spec);
  section("a round looks at part of them", [&] {
    const Demand D = P.Scheduler_.demand(P.Now_, P.wall());
    CPPUNIT_ASSERT_EQUAL(512.0, D.WaitingInTime_ + D.WaitingLate_);
  });
  section("all of them run, each once", [&] {
    CPPUNIT_ASSERT(P.runUntil(
        Seconds(60), [&] { return P.state("j1") == JobState::Complete; }));
    CPPUNIT_ASSERT_EQUAL(1200U, P.Starts_);
    CPPUNIT_ASSERT(PoolFaults() == P.Faults_);
  });
}

// Guards against a job that fails at its first failed run, since nobody knows
// the settings of its queue.
HEATHERCROSS_STORY(UnknownQueue,
                   "a queue that isn't known has attempts of the others") {
  PoolScheduler S;
  const QueueId Unknown("r-old");
  section("as many as are recorded if there is no other queue", [&] {
    CPPUNIT_ASSERT_EQUAL(MaxRecordedFailures, S.settings(Unknown).MaxFailures_);
  });
  section("the fewest of the pool's queues", [&] {
    QueueSettings Three;
    Three.MaxFailures_ = 3;
    QueueSettings Four;
    Four.MaxFailures_ = 4;
    S.setQueues({{QueueId("a"), Four}, {QueueId("b"), Three}});
    CPPUNIT_ASSERT_EQUAL(3U, S.settings(Unknown).MaxFailures_);
    S.restoreQueues({{Unknown, Four}});
    CPPUNIT_ASSERT_EQUAL(4U, S.settings(Unknown).MaxFailures_);
  });
}
