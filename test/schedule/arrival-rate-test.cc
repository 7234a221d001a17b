// Tests of the arrival rate: response to jumps of demand.
#include "schedule/arrival-rate.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::test::section;

namespace {

/// Records jobs of equal size at a constant rate; returns the last arrival
/// time.
Instant recordJobs(ArrivalRate &R, Instant From, double PerSecond, int Count,
                   double Work) {
  Instant Arrival = From;
  for (int I = 0; I < Count; ++I) {
    R.recordArrival(Work, Arrival);
    if (I + 1 < Count)
      Arrival += Micros(static_cast<std::int64_t>(1e6 / PerSecond));
  }
  return Arrival;
}

} // namespace

// Guards against a rate that follows a jump of demand too late: a queue goes
// from one job in 2 s to 45 jobs a second at once, of 17 core-seconds each, and
// back to none after 4.5 s.
HEATHERCROSS_STORY(JumpOfDemand,
                   "a jump of demand becomes known within 0.25 s") {
  ArrivalRate R;
  Instant Now = recordJobs(R, Instant(Seconds(10)), 0.5, 10, 17);
  section("before the jump, next to nothing arrives",
          [&] { CPPUNIT_ASSERT(R.cores(Now + Millis(300)) < 30); });
  section("a quarter of a second later most of the jump is visible", [&] {
    Now = recordJobs(R, Now + Seconds(2), 45, 12, 17);
    CPPUNIT_ASSERT(R.cores(Now) > 0.6 * 45 * 17);
  });
  section("while demand is constant the estimate deviates by less than 20%",
          [&] {
            Now = recordJobs(R, Now + Millis(22), 45, 90, 17);
            CPPUNIT_ASSERT(R.cores(Now) > 0.8 * 45 * 17);
            CPPUNIT_ASSERT(R.cores(Now) < 1.2 * 45 * 17);
          });
  section("a second after its end the jump is for the most part forgotten",
          [&] { CPPUNIT_ASSERT(R.cores(Now + Seconds(1)) < 0.35 * 45 * 17); });
}

HEATHERCROSS_STORY(LargeJob, "one large job is no jump of demand") {
  ArrivalRate R;
  Instant Now = recordJobs(R, Instant(Seconds(10)), 1, 20, 17);
  R.recordArrival(400, Now + Millis(1000));
  CPPUNIT_ASSERT(R.cores(Now + Millis(1000)) < 100);
}
