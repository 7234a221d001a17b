// Tests of takeovers while a worker is unresponsive: its tasks start again when
// its leases have ended, not later and not earlier.
#include "schedule/model-pool.h"
#include "schedule/store-clock.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

JobSpec longRunning(std::uint32_t Count) {
  StepSpec S = step(Count, 2000, Millis(1000));
  S.LongRunning_ = true;
  S.MaxUnavailable_ = 1;
  return job({S});
}

/// The worker that runs a task of the job.
ModelWorker &workerOf(ModelPool &P, const std::string &Job) {
  const auto It = std::ranges::find_if(P.Workers_, [&](const auto &Entry) {
    return std::ranges::any_of(Entry.second.Running_, [&](const auto &R) {
      return R.first.Job_ == JobId(Job);
    });
  });
  CPPUNIT_ASSERT(It != P.Workers_.end());
  return It->second;
}

} // namespace

// Guards against a successor that waits for a worker as if it had been
// reachable until the takeover: lasting tasks stood still for 17 s.
HEATHERCROSS_STORY(SilentBeforeTakeover,
                   "a successor waits for a silent worker's last lease only") {
  ModelPool P;
  P.addWorker("w1");
  P.addWorker("w2");
  P.submit("lasting", longRunning(1));
  CPPUNIT_ASSERT(
      P.runUntil(Seconds(2), [&] { return P.running("lasting") > 0; }));
  ModelWorker &Lost = workerOf(P, "lasting");
  const InstanceId LostId = Lost.Info_.Id_;
  P.run(Seconds(1));
  Lost.Partitioned_ = true;
  const Instant LeaseEnd = P.Now_ + ModelPool::Lease;
  section("before the silence has lasted, nothing is known of its end", [&] {
    P.run(Millis(200));
    CPPUNIT_ASSERT(!P.Scheduler_.silentRunsEnd(LostId, P.Now_));
  });
  section("the end of its runs is that of its last lease", [&] {
    P.run(Millis(4800));
    const auto End = P.Scheduler_.silentRunsEnd(LostId, P.Now_);
    CPPUNIT_ASSERT(End.has_value());
    CPPUNIT_ASSERT(*End <= LeaseEnd);
  });
  section("the successor starts nothing before", [&] {
    P.changeHolder();
    P.runUntil(Micros(LeaseEnd - P.Now_) - Millis(100), [] { return false; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.running("lasting"));
    CPPUNIT_ASSERT(!Lost.Running_.empty());
  });
  section("and starts the task again as soon as it has ended", [&] {
    CPPUNIT_ASSERT(P.runUntil(Seconds(1), [&] {
      return Lost.Running_.empty() && P.running("lasting") == 1;
    }));
  });
  section("no guarantee is violated",
          [&] { CPPUNIT_ASSERT_EQUAL(PoolFaults(), P.Faults_); });
}

// Guards against a wait that begins anew with each takeover.
HEATHERCROSS_STORY(SilentDuringTakeovers,
                   "a second successor waits no longer than the first") {
  ModelPool P;
  P.addWorker("w1");
  P.addWorker("w2");
  P.submit("lasting", longRunning(1));
  CPPUNIT_ASSERT(
      P.runUntil(Seconds(2), [&] { return P.running("lasting") > 0; }));
  ModelWorker &Lost = workerOf(P, "lasting");
  Lost.Partitioned_ = true;
  P.run(Millis(100));
  P.changeHolder();
  const Instant FirstTakeover = P.Now_;
  P.run(Seconds(3));
  P.changeHolder();
  CPPUNIT_ASSERT(P.runUntil(Seconds(11), [&] {
    return Lost.Running_.empty() && P.running("lasting") == 1;
  }));
  CPPUNIT_ASSERT(P.Now_ <= FirstTakeover + Seconds(11) + Millis(100));
  CPPUNIT_ASSERT_EQUAL(PoolFaults(), P.Faults_);
}

// Guards against a recorded end that is too early: an order without an answer
// may still start a task, which then gets a whole lease.
HEATHERCROSS_STORY(SilentWithOpenOrders,
                   "an unanswered order moves the end of a worker's runs") {
  ModelPool P;
  ModelWorker &W = P.addWorker("w1");
  P.run(Seconds(1));
  W.OrderDelay_ = Millis(3000);
  P.submit("lasting", longRunning(1));
  P.run(Millis(40));
  const Instant OrderedAt = P.Now_ - Millis(40);
  W.Partitioned_ = true;
  P.run(Seconds(2));
  const auto End = P.Scheduler_.silentRunsEnd(InstanceId("w1"), P.Now_);
  CPPUNIT_ASSERT(End.has_value());
  CPPUNIT_ASSERT(*End >= OrderedAt + MaxOrderDelay);
}

HEATHERCROSS_STORY(StoreClockBounds,
                   "the store's clock is known within the time of a call") {
  StoreClock C;
  const Instant SentAt(Seconds(10));
  section("nothing is known before the first answer", [&] {
    CPPUNIT_ASSERT(!C.latestAt(SentAt));
    CPPUNIT_ASSERT(!C.reachedBy(Millis(1)));
  });
  C.answered(Millis(5000), SentAt, SentAt + Millis(40));
  section("it may have been read when the call was sent", [&] {
    CPPUNIT_ASSERT(C.latestAt(SentAt + Millis(100)) == Millis(5100));
  });
  section("it has certainly been read when the answer arrived", [&] {
    CPPUNIT_ASSERT(C.reachedBy(Millis(5100)) == SentAt + Millis(140));
  });
  section("a time that one entry records isn't reached earlier for another",
          [&] {
            StoreClock Other;
            Other.answered(Millis(5010), Instant(Seconds(70)),
                           Instant(Seconds(70)) + Millis(8));
            const Instant End = SentAt + Millis(500);
            const Millis Recorded = *C.latestAt(End);
            // The other entry's clock is 60 s ahead of this one's, give or take
            // the time of the two calls.
            CPPUNIT_ASSERT(*Other.reachedBy(Recorded) >=
                           Instant(Seconds(70)) + Millis(490));
          });
}
