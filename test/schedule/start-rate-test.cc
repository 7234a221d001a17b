// Tests of the start rate: its estimate, and what admission does with it.
#include "schedule/start-rate.h"
#include "support/story.h"

#include <algorithm>
#include <deque>
#include <string>
#include <vector>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

constexpr Millis RoundInterval{50};

/// Plays rounds that hold back orders while this many tasks a second start.
void play(StartRate &R, Instant &Now, Micros For, double PerSecond,
          bool HeldBack = true) {
  double Due = 0;
  for (const Instant End = Now + For; Now < End;) {
    Now += RoundInterval;
    Due += PerSecond * std::chrono::duration<double>(RoundInterval).count();
    for (; Due >= 1; --Due)
      R.startAnswered(Now);
    R.roundEnded(HeldBack, Now);
  }
}

JobSpec shortJob() {
  JobSpec S;
  StepSpec Step;
  Step.Count_ = 8;
  Step.Estimate_ = Millis(750);
  Step.Needs_ = {1500, 128, 0};
  S.Steps_ = {Step};
  return S;
}

QueueSettings queue() {
  QueueSettings Q;
  Q.ObjectiveFactor_ = 1.6;
  Q.ObjectiveSlack_ = Millis(600);
  return Q;
}

/// A burst of short jobs against a holder that can start 300 tasks a second on
/// a pool that has room for all of them.
struct Burst {
  static constexpr double TasksPerSecond = 300;
  static constexpr double JobsPerSecond = 120;
  static constexpr Millis Duration{4500};

  struct Accepted {
    Job Job_;
    Instant At_;
    std::uint32_t Waiting_ = 8;
  };
  std::uint32_t Accepted_ = 0;
  std::uint32_t Rejected_ = 0;
  /// Accepted jobs whose last task started too late for any value.
  std::uint32_t Late_ = 0;
  Micros LongestWait_{0};

  void run(bool WithStartRate) {
    StartRate Rate;
    std::deque<Accepted> Open;
    const Instant Start(Seconds(10));
    double JobsDue = 0;
    double StartsDue = 0;
    int Number = 0;
    constexpr Millis Tick{10};
    const double TickSeconds = std::chrono::duration<double>(Tick).count();
    for (Instant Now = Start; Now < Start + Duration || !Open.empty();
         Now += Tick) {
      StartsDue = Open.empty() ? 0 : StartsDue + TasksPerSecond * TickSeconds;
      for (; StartsDue >= 1 && !Open.empty(); --StartsDue) {
        Rate.startAnswered(Now);
        if (--Open.front().Waiting_ > 0)
          continue;
        started(Open.front(), Now);
        Open.pop_front();
      }
      Rate.roundEnded(!Open.empty(), Now);
      if (Now >= Start + Duration)
        continue;
      for (JobsDue += JobsPerSecond * TickSeconds; JobsDue >= 1; --JobsDue) {
        const Job J(JobId("j" + std::to_string(Number++)), QueueId("q"),
                    shortJob(), Now);
        std::uint32_t Ahead = 0;
        for (const Accepted &A : Open)
          Ahead += A.Waiting_;
        const Micros Wait = Rate.startWait(Ahead + J.waitingTasks(), Now);
        if (WithStartRate && !endsInTime(J, queue(), Wait)) {
          ++Rejected_;
          continue;
        }
        ++Accepted_;
        Open.push_back({J, Now});
      }
    }
  }

private:
  void started(const Accepted &A, Instant Now) {
    const Micros Wait = Now - A.At_;
    LongestWait_ = std::max(LongestWait_, Wait);
    if (!endsInTime(A.Job_, queue(), Wait))
      ++Late_;
  }
};

} // namespace

// Guards against a holder that is limited by itself and doesn't know how
// slowly: 300 starts a second on an entry with 0.12 of a core.
HEATHERCROSS_STORY(StartRateEstimate,
                   "the start rate is known while orders are held back") {
  StartRate R;
  Instant Now(Seconds(10));
  section("without a limit there is no estimate and no wait", [&] {
    play(R, Now, Seconds(3), 300, false);
    CPPUNIT_ASSERT(!R.tasksPerSecond(Now));
    CPPUNIT_ASSERT(R.startWait(100'000, Now) == Micros(0));
  });
  section("a short limit gives none either", [&] {
    play(R, Now, Millis(250), 300);
    CPPUNIT_ASSERT(!R.tasksPerSecond(Now));
  });
  section("within a second it is known", [&] {
    play(R, Now, Millis(750), 300);
    CPPUNIT_ASSERT(R.tasksPerSecond(Now).has_value());
    CPPUNIT_ASSERT(*R.tasksPerSecond(Now) > 270);
    CPPUNIT_ASSERT(*R.tasksPerSecond(Now) < 330);
    CPPUNIT_ASSERT(R.startWait(300, Now) > Millis(900));
    CPPUNIT_ASSERT(R.startWait(300, Now) < Millis(1100));
  });
  section("2 s after the limit it is forgotten", [&] {
    Now += Millis(2100);
    R.roundEnded(false, Now);
    CPPUNIT_ASSERT(!R.tasksPerSecond(Now));
  });
}

// Guards against definitive refusals because of workers that don't answer: a
// lost zone occupies the limit for some time although the holder is fast.
HEATHERCROSS_STORY(SilentWorkersStartRate,
                   "silent workers don't make a holder slow") {
  StartRate R;
  Instant Now(Seconds(10));
  play(R, Now, Seconds(1), 2500);
  play(R, Now, Millis(700), 0);
  CPPUNIT_ASSERT(R.tasksPerSecond(Now).has_value());
  CPPUNIT_ASSERT(*R.tasksPerSecond(Now) > 2200);
}

// Guards against jobs that are accepted although the holder can't start them:
// 960 tasks a second arrive for 4.5 s, and it starts 300.
HEATHERCROSS_STORY(BurstBeyondStartRate,
                   "a holder accepts what it can start in time") {
  Burst Without;
  Without.run(false);
  Burst With;
  With.run(true);
  section("without the start rate, accepted jobs start after their time", [&] {
    CPPUNIT_ASSERT_EQUAL(0U, Without.Rejected_);
    CPPUNIT_ASSERT(Without.Late_ > 100);
    CPPUNIT_ASSERT(Without.LongestWait_ > Seconds(8));
  });
  section("with it, every accepted job starts in time", [&] {
    CPPUNIT_ASSERT_EQUAL(0U, With.Late_);
    CPPUNIT_ASSERT(With.Rejected_ > 100);
  });
  section("and the holder still starts as many as it can", [&] {
    const double Possible = Burst::TasksPerSecond / 8 * 4.5;
    CPPUNIT_ASSERT(With.Accepted_ > Possible);
  });
}

HEATHERCROSS_STORY(StartRateExceptions,
                   "long-running and scheduled jobs are accepted as before") {
  const Micros Long = Seconds(60);
  JobSpec Serving = shortJob();
  Serving.Steps_[0].LongRunning_ = true;
  JobSpec Scheduled = shortJob();
  Scheduled.Repeats_ = 3;
  const auto Accepts = [&](const JobSpec &S) {
    return endsInTime(Job(JobId("a"), QueueId("q"), S, Instant(Seconds(1))),
                      queue(), Long);
  };
  CPPUNIT_ASSERT(Accepts(Serving));
  CPPUNIT_ASSERT(Accepts(Scheduled));
  CPPUNIT_ASSERT(!Accepts(shortJob()));
}

HEATHERCROSS_STORY(StartRateRetryAfter, "Retry-After follows from the wait") {
  CPPUNIT_ASSERT(retryAfterStarts(Millis(300)) == Millis(1000));
  CPPUNIT_ASSERT(retryAfterStarts(Millis(2500)) == Millis(2500));
  CPPUNIT_ASSERT(retryAfterStarts(Seconds(25)) == Millis(4000));
}
