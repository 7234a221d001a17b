// Tests of learned run times and of the speed of workers.
#include "schedule/model-worker.h"
#include "schedule/run-times.h"
#include "schedule/worker-speed.h"
#include "support/story.h"

#include <string>

using namespace heathercross;
using namespace heathercross::schedule;

namespace {

const QueueId Queue("q");

StepSpec stepOf(const std::string &Image) {
  StepSpec S = schedule::test::step(1, 1000, Millis(1000));
  S.Image_ = Image;
  return S;
}

} // namespace

// Load: 3% of the work runs seven times as long as its mean. Guards against an
// estimate that such runs raise, wherever they come in the sequence.
HEATHERCROSS_STORY(RunTimesWithOutliers, "single long runs don't count") {
  for (const int First : {0, 3, 7, 20}) {
    RunTimes Times;
    for (int I = 0; I < 40; ++I)
      Times.observe(Queue, stepOf("a"),
                    Millis((I - First) % 33 == 0 ? 7000 : 980 + I));
    const RunTimeEstimate *E = Times.find(Queue, stepOf("a"));
    CPPUNIT_ASSERT(E);
    CPPUNIT_ASSERT(E->expected(Millis(1000)) < Micros(Millis(1150)));
    CPPUNIT_ASSERT(E->conservative(Millis(1000)) < Micros(Millis(1400)));
  }
}

// Guards against estimates that mix different programs, or grow with the number
// of images that callers name.
HEATHERCROSS_STORY(RunTimesPerImage, "run times are learned per image") {
  RunTimes Times;
  for (int I = 0; I < 10; ++I) {
    Times.observe(Queue, stepOf("short"), Millis(100));
    Times.observe(QueueId("other"), stepOf("long"), Millis(5000));
  }
  CPPUNIT_ASSERT(!Times.find(Queue, stepOf("")));
  CPPUNIT_ASSERT(Times.find(Queue, stepOf("long"))->expected(Millis(0)) >
                 Micros(Seconds(4)));
  CPPUNIT_ASSERT(Times.find(Queue, stepOf("short"))->expected(Millis(0)) <
                 Micros(Millis(200)));
  for (std::size_t I = 0; I < 2 * RunTimes::MaxKinds; ++I) {
    Times.observe(Queue, stepOf("one-off" + std::to_string(I)), Millis(100));
    Times.observe(Queue, stepOf("short"), Millis(100));
  }
  CPPUNIT_ASSERT(Times.size() <= RunTimes::MaxKinds);
  CPPUNIT_ASSERT(Times.find(Queue, stepOf("short")));
  CPPUNIT_ASSERT(!Times.find(Queue, stepOf("long")));
}

// Guards against a worker that is avoided for a single long task, or for ever.
HEATHERCROSS_STORY(SlowWorker, "a worker is slow while most tasks are long") {
  WorkerSpeed Speed;
  Instant Now{Seconds(100)};
  for (const double Ratio : {1.0, 7.0, 1.1, 0.9, 1.0})
    Speed.record(Ratio, Now);
  CPPUNIT_ASSERT(!Speed.isSlow(Now));
  for (int I = 0; I < 6; ++I)
    Speed.record(3, Now);
  CPPUNIT_ASSERT(Speed.isSlow(Now));
  CPPUNIT_ASSERT(!Speed.isSlow(Now + Seconds(10)));
}
