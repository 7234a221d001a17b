// Tests of jobs: steps, progress texts, ranking.
#include "heathercross/error.h"
#include "schedule/long-value.h"
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
  TaskState &T = *J.openTask({JobId("j"), 0, 1, 0});
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
    CPPUNIT_ASSERT_EQUAL(1U, Other.step(0, 0).doneCount());
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

namespace {

/// Eight tasks every ten seconds, all day.
JobSpec dailySchedule() {
  JobSpec Spec = job({step(8, 1000, Millis(500))});
  Spec.Repeats_ = 8640;
  Spec.Interval_ = Seconds(10);
  return Spec;
}

void finishOccurrence(Job &J, std::uint32_t Occurrence) {
  for (std::uint32_t I = 0; I < 8; ++I)
    J.finishTask({J.id(), Occurrence, 0, I});
}

} // namespace

// Guards against progress that no row of the store can hold: the holder sent it
// again and again, and all later changes of its pool waited behind it.
HEATHERCROSS_STORY(ScheduledProgress,
                   "the progress of a long schedule fits into a row") {
  // 65,536 bytes, less than half of them for one job.
  constexpr std::size_t FairShareOfRow = 30'000;
  const JobSpec Spec = dailySchedule();
  Job J(JobId("j"), QueueId("q"), Spec, Instant());
  const auto Decoded = [&] {
    Job Other(JobId("j"), QueueId("q"), Spec, Instant());
    Other.decodeProgress(J.encodeProgress());
    return Other;
  };
  section("after the first occurrence", [&] {
    finishOccurrence(J, 0);
    CPPUNIT_ASSERT(J.encodeProgress().size() < FairShareOfRow);
    CPPUNIT_ASSERT_EQUAL(8U, Decoded().step(0, 0).doneCount());
    CPPUNIT_ASSERT_EQUAL(8U, Decoded().step(8639, 0).waitingCount());
  });
  section("while occurrences overlap and tasks fail", [&] {
    std::string Text = "a";
    for (std::uint32_t O = 0; O < Spec.Repeats_; ++O)
      Text += O >= 8000 || (O > 0 && O % 100 == 0) ? "00000000." : "dddddddd.";
    J.decodeProgress(Text);
    TaskState &Failed = *J.openTask({J.id(), 8000, 0, 3});
    Failed.Failures_ = 1;
    Failed.FailedAttempts_ = {262'145};
    CPPUNIT_ASSERT(J.encodeProgress().size() < FairShareOfRow);
    const Job Other = Decoded();
    CPPUNIT_ASSERT_EQUAL(J.encodeProgress(), Other.encodeProgress());
    CPPUNIT_ASSERT_EQUAL(J.remainingWork(), Other.remainingWork());
    CPPUNIT_ASSERT(!Other.step(100, 0).done());
    CPPUNIT_ASSERT(Other.step(101, 0).done());
    CPPUNIT_ASSERT_EQUAL(
        262'145U, Other.task({J.id(), 8000, 0, 3}).FailedAttempts_.at(0));
  });
  section("once it is complete", [&] {
    std::string Text = "c";
    for (std::uint32_t O = 0; O < Spec.Repeats_; ++O)
      Text += "dddddddd.";
    J.decodeProgress(Text);
    CPPUNIT_ASSERT(J.encodeProgress().size() < FairShareOfRow);
    CPPUNIT_ASSERT(Decoded().allDone());
    CPPUNIT_ASSERT(!Decoded().hasWaiting());
  });
}

// Guards against a progress text that no transaction can hold.
HEATHERCROSS_STORY(ManyFailures,
                   "the progress of a large job that fails is stored") {
  constexpr std::uint32_t Tasks = 200'000;
  const JobSpec Spec = job({step(Tasks, 0, Millis(500))});
  Job J(JobId("j"), QueueId("q"), Spec, Instant());
  for (std::uint32_t I = 0; I < Tasks; ++I) {
    TaskState &T = *J.openTask({J.id(), 0, 0, I});
    T.Failures_ = 1 + I % MaxRecordedFailures;
    T.FailedAttempts_.assign(T.Failures_, 262'145);
  }
  Job Other(JobId("j"), QueueId("q"), Spec, Instant());
  section("without the numbers of the failed attempts", [&] {
    const std::string Text = J.encodeProgress();
    CPPUNIT_ASSERT(Text.size() <= MaxValueBytes);
    Other.decodeProgress(Text);
    for (std::uint32_t I = 0; I < Tasks; ++I)
      CPPUNIT_ASSERT_EQUAL(1 + I % MaxRecordedFailures,
                           Other.task({J.id(), 0, 0, I}).Failures_);
  });
  section("and a further failure adds to them", [&] {
    TaskState &T = *Other.openTask({J.id(), 0, 0, 0});
    ++T.Failures_;
    T.FailedAttempts_.push_back(327'681);
    Job Third(JobId("j"), QueueId("q"), Spec, Instant());
    Third.decodeProgress(Other.encodeProgress());
    CPPUNIT_ASSERT_EQUAL(2U, Third.task({J.id(), 0, 0, 0}).Failures_);
  });
}

HEATHERCROSS_STORY(ProgressRepeats, "repeats in a progress text are checked") {
  JobSpec Spec = job({step(5, 1000, Millis(500))});
  Spec.Repeats_ = 3;
  const auto Decode = [&](const std::string &Text) {
    Job J(JobId("j"), QueueId("q"), Spec, Instant());
    J.decodeProgress(Text);
    return J;
  };
  section("a text without repeats is read", [&] {
    const Job J = Decode("addddd.dd0dd.00000.");
    CPPUNIT_ASSERT_EQUAL(1U, J.step(1, 0).waitingCount());
    CPPUNIT_ASSERT_EQUAL(std::string("a*5*d.dd0dd.*5*0."), J.encodeProgress());
  });
  section("a count that is no number or doesn't fit raises FormatError", [&] {
    for (const char *Malformed :
         {"a*6*d.=2=*5*0.", "a*0*d.", "a*-1*d.", "a*5d.", "a=4=*5*d.",
          "a=0=*5*d.", "a=3*5*d.", "a=2=*5*d.", "a=4294967296=*5*d.", "a=3="})
      CPPUNIT_ASSERT_THROW(Decode(Malformed), FormatError);
  });
}

namespace {

/// Finishes and fails random tasks of a job with repeats.
void runRandomProgress() {
  JobSpec Spec = job({step(6, 1000, Millis(300)), step(1, 1000, Millis(300))});
  Spec.Repeats_ = *rc::gen::inRange(0U, 5U);
  Job J(JobId("j"), QueueId("q"), Spec, Instant());
  for (std::uint32_t O = 0; O < Spec.occurrences(); ++O)
    for (std::uint32_t I = 0; I < 6; ++I) {
      const int Progress =
          *rc::gen::weightedElement<int>({{4, 0}, {4, 1}, {1, 2}, {1, 3}});
      const TaskKey Key{J.id(), O, 0, I};
      if (Progress == 1)
        J.finishTask(Key);
      for (Attempt A = 1; A < static_cast<Attempt>(Progress); ++A) {
        TaskState &T = *J.openTask(Key);
        ++T.Failures_;
        T.FailedAttempts_.push_back(A);
      }
    }
  Job Other(JobId("j"), QueueId("q"), Spec, Instant());
  Other.decodeProgress(J.encodeProgress());
  RC_ASSERT(Other.encodeProgress() == J.encodeProgress());
  RC_ASSERT(Other.remainingWork() == J.remainingWork());
  RC_ASSERT(Other.hasWaiting() == J.hasWaiting());
  for (std::uint32_t O = 0; O < Spec.occurrences(); ++O)
    for (std::uint32_t I = 0; I < 6; ++I) {
      const TaskKey Key{J.id(), O, 0, I};
      RC_ASSERT(Other.task(Key).Phase_ == J.task(Key).Phase_);
      RC_ASSERT(Other.task(Key).FailedAttempts_ == J.task(Key).FailedAttempts_);
    }
}

} // namespace

HEATHERCROSS_STORY(ProgressProperty, "decoding restores what was encoded") {
  HEATHERCROSS_PROPERTY("whatever is done or has failed",
                        [] { runRandomProgress(); });
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
