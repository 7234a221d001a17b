// Tests of jobs: steps, progress texts, ranking.
#include "heathercross/error.h"
#include "schedule/model-pool.h"
#include "schedule/ranking.h"
#include "support/story.h"

#include <rapidcheck.h>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

Job twoSteps() {
  StepSpec Second = step(2, 2000, Millis(500));
  Second.DependsOn_ = {0};
  return Job(JobId("j"), QueueId("q"),
             job({step(3, 1000, Millis(300)), Second}), Instant());
}

} // namespace

HEATHERCROSS_STORY(Progress, "progress survives encoding and decoding") {
  Job J = twoSteps();
  J.finishTask({JobId("j"), 0, 0, 1});
  TaskState &T = J.task({JobId("j"), 0, 1, 0});
  T.Failures_ = 2;
  T.FailedAttempts_ = {1, 17};
  J.setState(JobState::Active);
  const std::string Text = J.encodeProgress();
  section("another holder decodes the same content", [&] {
    Job Other = twoSteps();
    Other.decodeProgress(Text);
    CPPUNIT_ASSERT_EQUAL(Text, Other.encodeProgress());
    CPPUNIT_ASSERT(Other.state() == JobState::Active);
    CPPUNIT_ASSERT_EQUAL(2U, Other.task({JobId("j"), 0, 1, 0}).Failures_);
    CPPUNIT_ASSERT_EQUAL(
        17U, Other.task({JobId("j"), 0, 1, 0}).FailedAttempts_.at(1));
    CPPUNIT_ASSERT_EQUAL(1U, Other.occurrences()[0].Steps_[0].Done_);
  });
  section("an ill-formed text raises FormatError", [&] {
    for (const std::string &Malformed :
         {std::string(), std::string("z000.00."), Text.substr(0, 5),
          std::string("a000.1x;0."), std::string("a0000.00.")}) {
      Job Other = twoSteps();
      CPPUNIT_ASSERT_THROW(Other.decodeProgress(Malformed), FormatError);
    }
  });
}

HEATHERCROSS_STORY(Timetable, "occurrences start when they are due") {
  JobSpec Spec = job({step(1, 1000, Millis(100))});
  Spec.Repeats_ = 3;
  Spec.FirstDue_ = WallTime(Seconds(1000));
  Spec.Interval_ = Millis(2000);
  const Job J(JobId("j"), QueueId("q"), Spec, Instant());
  CPPUNIT_ASSERT(!J.ready(0, 0, WallTime(Millis(999'999))));
  CPPUNIT_ASSERT(J.ready(0, 0, WallTime(Seconds(1000))));
  CPPUNIT_ASSERT(!J.ready(1, 0, WallTime(Seconds(1001))));
  CPPUNIT_ASSERT(J.ready(2, 0, WallTime(Seconds(1004))));
}

// The load: a burst of jobs, of which only some can meet their objective.
HEATHERCROSS_STORY(Ranking,
                   "small work that can meet its objective goes first") {
  QueueSettings Q;
  Q.ObjectiveFactor_ = 1.6;
  Q.ObjectiveSlack_ = Millis(600);
  const auto JobOfTasks = [](std::uint32_t Tasks) {
    return Job(JobId("j"), QueueId("q"), job({step(Tasks, 1000, Millis(1000))}),
               Instant());
  };
  const Job Small = JobOfTasks(2);
  const Job Large = JobOfTasks(20);
  const double Mean = (Small.work() + Large.work()) / 2;
  CPPUNIT_ASSERT_EQUAL(Millis(2200).count(), objective(Small, Q).count());
  section("of two jobs in time the smaller one goes first", [&] {
    CPPUNIT_ASSERT(rankOf(Small, Q, Micros(0), Mean) <
                   rankOf(Large, Q, Micros(0), Mean));
  });
  section("a large job in time goes before a small late one", [&] {
    CPPUNIT_ASSERT(rankOf(Large, Q, Micros(0), Mean) <
                   rankOf(Small, Q, Millis(1300), Mean));
  });
  section("while a job waits its probability falls gradually", [&] {
    CPPUNIT_ASSERT_EQUAL(1.0, probabilityInTime(Small, Q, Millis(600)));
    CPPUNIT_ASSERT(probabilityInTime(Small, Q, Millis(1200)) < 0.6);
    CPPUNIT_ASSERT(probabilityInTime(Small, Q, Millis(1200)) > 0.4);
    CPPUNIT_ASSERT_EQUAL(0.0, probabilityInTime(Small, Q, Millis(2000)));
  });
  section("of two equal jobs the one with the better chance goes first", [&] {
    CPPUNIT_ASSERT(rankOf(Small, Q, Millis(300), Mean) <
                   rankOf(Small, Q, Millis(1100), Mean));
  });
  section("a late one goes before one whose result has no worth", [&] {
    CPPUNIT_ASSERT(rankOf(Large, Q, Millis(1300), Mean) <
                   rankOf(Small, Q, Seconds(6), Mean));
  });
  section("work that can't finish while it has any worth is turned away", [&] {
    CPPUNIT_ASSERT(worthAccepting(Small, Q, 500, 100));
    CPPUNIT_ASSERT(!worthAccepting(Small, Q, 600, 100));
  });
}

// The load: the store is unavailable for some seconds, and each caller has few
// retries.
HEATHERCROSS_STORY(ReturnAfterOutage,
                   "the retry delay after an outage is as long as the outage") {
  CPPUNIT_ASSERT(Seconds(1) == retryAfterOutage(Millis(400)));
  CPPUNIT_ASSERT(Millis(2500) == retryAfterOutage(Millis(2500)));
  CPPUNIT_ASSERT(Seconds(4) == retryAfterOutage(Seconds(30)));
}
