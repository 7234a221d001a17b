// Tests of long-running tasks that are moved for several reasons at once.
#include "schedule/model-pool.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

// Guards against a stop for an evacuation that takes effect after the tasks of
// a draining worker were stopped, too: five tasks were away where four may be.
HEATHERCROSS_STORY(DrainDuringEvacuation,
                   "a draining worker's tasks wait for a stop of their step") {
  ModelPool P;
  for (const char *Id : {"w1", "w2", "w3", "w4"})
    P.addWorker(Id).StopTime_ = Millis(400);
  StepSpec S = step(3, 2000, Millis(1000));
  S.LongRunning_ = true;
  S.MaxUnavailable_ = 1;
  S.MaxPerWorker_ = 2;
  P.submit("lasting", job({S}));
  CPPUNIT_ASSERT(
      P.runUntil(Seconds(2), [&] { return P.running("lasting") == 3; }));
  P.run(Seconds(1));
  ModelWorker *One = nullptr;
  ModelWorker *Two = nullptr;
  for (auto &[Id, W] : P.Workers_) {
    One = W.Running_.size() == 1 ? &W : One;
    Two = W.Running_.size() == 2 ? &W : Two;
  }
  CPPUNIT_ASSERT(One && Two);
  const TaskKey Evacuated = One->Running_.begin()->first;
  section("the stop for the evacuation is under way", [&] {
    P.Scheduler_.evacuate({One->Info_.Id_}, P.Now_ + Seconds(5));
    P.run(Millis(100));
    CPPUNIT_ASSERT(One->Running_.contains(Evacuated));
  });
  section("the other worker begins to drain", [&] {
    Two->Info_.Draining_ = true;
    Two->StopTime_ = Millis(0);
    P.Scheduler_.setWorker(Two->Info_);
    P.run(Millis(200));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Two->Running_.size());
  });
  section("its tasks move once the first one has ended", [&] {
    CPPUNIT_ASSERT(P.runUntil(Seconds(2), [&] {
      return Two->Running_.empty() && P.running("lasting") == 3;
    }));
  });
}
