// Tests of the placement of tasks while a worker is slow.
#include "schedule/model-pool.h"
#include "support/story.h"

#include <string>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

/// Submits a job of four tasks every 200 ms, and returns on how many rounds the
/// worker had runs.
std::uint32_t busyRounds(ModelPool &P, const InstanceId &Worker, int Jobs) {
  static int Submitted = 0;
  std::uint32_t Busy = 0;
  for (int I = 0; I < Jobs; ++I) {
    P.submit("j" + std::to_string(Submitted++),
             job({schedule::test::step(4, 1000, Millis(400))}));
    for (int Round = 0; Round < 10; ++Round) {
      P.run(ModelPool::Tick);
      Busy += P.Workers_.at(Worker).Running_.empty() ? 0 : 1;
    }
  }
  return Busy;
}

} // namespace

// Load: some workers run all tasks several times slower for some seconds.
// Guards against tasks that go to such a worker while others have room, and
// against a worker that gets no tasks when it is fast again.
HEATHERCROSS_STORY(SlowWorkerLast, "a slow worker is chosen last") {
  ModelPool P;
  const InstanceId Slow("w0");
  for (int I = 0; I < 3; ++I)
    P.addWorker("w" + std::to_string(I), "r1", 16'000);
  P.run(Millis(100));
  const std::uint32_t Before = busyRounds(P, Slow, 20);
  CPPUNIT_ASSERT(Before > 150);
  P.Workers_.at(Slow).SlowdownFactor_ = 5;
  section("it gets tasks until some have ended there", [&] {
    busyRounds(P, Slow, 30);
    CPPUNIT_ASSERT(busyRounds(P, Slow, 15) < 40);
  });
  section("it is tried again when the evidence has expired", [&] {
    P.Workers_.at(Slow).SlowdownFactor_ = 1;
    // Best fit prefers workers that have runs, so all become idle first.
    P.run(Seconds(7));
    CPPUNIT_ASSERT(busyRounds(P, Slow, 20) > 150);
  });
  section("it is not excluded", [&] {
    P.Workers_.at(Slow).SlowdownFactor_ = 5;
    busyRounds(P, Slow, 30);
    P.submit("large", job({schedule::test::step(45, 1000, Millis(400))}));
    P.run(Millis(200));
    CPPUNIT_ASSERT(!P.Workers_.at(Slow).Running_.empty());
  });
  CPPUNIT_ASSERT_EQUAL(PoolFaults(), P.Faults_);
}
