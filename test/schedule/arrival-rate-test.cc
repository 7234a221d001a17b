// Stories of how much work arrives, and when it is known.
#include "schedule/arrival-rate.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

/// Jobs of equal size at an even pace; returns when the last one came.
Instant jobsAt(ArrivalRate &R, Instant From, double PerSecond, int Count,
               double Work) {
  Instant At = From;
  for (int I = 0; I < Count; ++I) {
    R.arrived(Work, At);
    if (I + 1 < Count)
      At += Micros(static_cast<std::int64_t>(1e6 / PerSecond));
  }
  return At;
}

} // namespace

// The load: a queue that gets one job in 2 s gets 45 a second from one moment
// to the next, of 17 core-seconds each, and again none after 4.5 s.
HEATHERCROSS_STORY(JumpOfDemand, "a jump of demand is known within 0.25 s") {
  ArrivalRate R;
  Instant Now = jobsAt(R, Instant(Seconds(10)), 0.5, 10, 17);
  section("before it, next to nothing arrives",
          [&] { CPPUNIT_ASSERT(R.cores(Now + Millis(300)) < 30); });
  section("a quarter of a second later most of it is known", [&] {
    Now = jobsAt(R, Now + Seconds(2), 45, 12, 17);
    CPPUNIT_ASSERT(R.cores(Now) > 0.6 * 45 * 17);
  });
  section("while it lasts the figure stays near the truth", [&] {
    Now = jobsAt(R, Now + Millis(22), 45, 90, 17);
    CPPUNIT_ASSERT(R.cores(Now) > 0.8 * 45 * 17);
    CPPUNIT_ASSERT(R.cores(Now) < 1.2 * 45 * 17);
  });
  section("a second after its end it is forgotten for the most part",
          [&] { CPPUNIT_ASSERT(R.cores(Now + Seconds(1)) < 0.35 * 45 * 17); });
}

HEATHERCROSS_STORY(LargeJob, "one large job is no jump of demand") {
  ArrivalRate R;
  Instant Now = jobsAt(R, Instant(Seconds(10)), 1, 20, 17);
  R.arrived(400, Now + Millis(1000));
  CPPUNIT_ASSERT(R.cores(Now + Millis(1000)) < 100);
}
