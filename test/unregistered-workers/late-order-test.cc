// Tests of late orders of workers that are no longer registered.
#include "schedule/manual-pool.h"
#include "support/story.h"

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

constexpr Millis Step{100};

} // namespace

// Guards against a task that runs twice: the worker refused an order without an
// answer, then crashed, and its next incarnation carries the order out.
HEATHERCROSS_STORY(VoidOrderOfUnregisteredWorker,
                   "a lapsed registration doesn't make a late order void") {
  ManualPool P("w1", 4000);
  const auto First = P.submit("j1", lasting());
  const Instant Ordered = P.Now_;
  P.answer(First[0], StartAnswer::Unknown);
  P.Now_ += Step;
  P.report("w1", 1, {});
  P.addWorker("w2", 4000);
  P.Scheduler_.removeWorker(InstanceId("w1"));
  std::optional<Instant> Restarted;
  for (const Instant End = P.Now_ + Seconds(40); P.Now_ < End && !Restarted;
       P.Now_ += Step) {
    P.report("w2", 1, {});
    if (!P.step().Starts_.empty())
      Restarted = P.Now_;
  }
  section("not before a late run has ended", [&] {
    CPPUNIT_ASSERT(Restarted.has_value());
    CPPUNIT_ASSERT(*Restarted >= Ordered + MaxOrderDelay + ModelPool::MaxLease);
  });
  section("soon after", [&] {
    CPPUNIT_ASSERT(*Restarted <=
                   Ordered + MaxOrderDelay + ModelPool::MaxLease + Seconds(1));
  });
}
