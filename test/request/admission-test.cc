// Tests of the fair queue, the retry budget and the run time estimate.
#include "core/run-time-estimate.h"
#include "request/fair-queue.h"
#include "request/fixture.h"
#include "request/retry-budget.h"
#include "request/slot-share.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <cmath>

using namespace heathercross;
using namespace heathercross::request;
using namespace heathercross::request::test;
using heathercross::test::section;

namespace {
WaitingRequest waiting(Sequence S, const std::string &Team, int DeadlineMs,
                       Urgency U = Urgency::Normal) {
  return {S, TeamId(Team), U, Instant(Millis(DeadlineMs)), Millis(10)};
}

std::vector<Sequence> drain(FairQueue &Q) {
  std::vector<Sequence> Order;
  while (const auto W = Q.front()) {
    Order.push_back(W->Sequence_);
    Q.serve(W->Sequence_);
  }
  return Order;
}
} // namespace

HEATHERCROSS_STORY(QueueOrder, "the queue serves by urgency, share, deadline") {
  section("the more urgent first, then the earlier deadline", [] {
    FairQueue Q;
    Q.push(waiting(1, "t", 300, Urgency::Batch));
    Q.push(waiting(2, "t", 200));
    Q.push(waiting(3, "t", 100));
    Q.push(waiting(4, "t", 900, Urgency::Urgent));
    CPPUNIT_ASSERT(drain(Q) == std::vector<Sequence>({4, 3, 2, 1}));
  });
  section("one team's early deadlines don't starve the others", [] {
    FairQueue Q;
    for (Sequence S = 0; S != 100; ++S)
      Q.push(waiting(S, "greedy", 100));
    Q.push(waiting(100, "modest", 500));
    const auto Order = drain(Q);
    const auto Position =
        std::ranges::find(Order, Sequence{100}) - Order.begin();
    CPPUNIT_ASSERT(Position < 15);
  });
  section("the team most over its share makes room", [] {
    FairQueue Q;
    Q.push(waiting(1, "greedy", 100));
    Q.push(waiting(2, "greedy", 200));
    CPPUNIT_ASSERT_EQUAL(Sequence{2},
                         Q.victimFor(waiting(3, "modest", 900))->Sequence_);
    CPPUNIT_ASSERT(!Q.victimFor(waiting(3, "greedy", 50)));
    CPPUNIT_ASSERT(!Q.victimFor(waiting(3, "modest", 50, Urgency::Batch)));
    CPPUNIT_ASSERT(Q.exceedsShare(TeamId("greedy")) == false);
    Q.push(waiting(4, "modest", 300));
    CPPUNIT_ASSERT(Q.exceedsShare(TeamId("greedy")));
  });
  section("what is served before it is counted by deadline and share", [] {
    FairQueue Q;
    for (Sequence S = 0; S != 50; ++S)
      Q.push(waiting(S, "greedy", 100));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Q.countAhead(waiting(99, "greedy", 50), 99));
    CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                         Q.countAhead(waiting(99, "greedy", 500), 9));
    CPPUNIT_ASSERT_EQUAL(std::size_t{0},
                         Q.countAhead(waiting(99, "modest", 500), 9));
  });
}

HEATHERCROSS_STORY(QueueProperties,
                   "the queue loses nothing and duplicates nothing") {
  HEATHERCROSS_PROPERTY("each request leaves once, urgent ones first", [] {
    FairQueue Q;
    std::set<Sequence> Queued;
    const auto Size = *rc::gen::inRange<Sequence>(0, 80);
    for (Sequence S = 0; S != Size; ++S) {
      const auto Team = std::to_string(*rc::gen::inRange(0, 5));
      const auto U =
          *rc::gen::element(Urgency::Urgent, Urgency::Normal, Urgency::Batch);
      Q.push(waiting(S, Team, *rc::gen::inRange(0, 1000), U));
      Queued.insert(S);
      if (*rc::gen::inRange(0, 4) != 0)
        continue;
      const Sequence Removed = *rc::gen::inRange<Sequence>(0, Size);
      Q.erase(Removed);
      Queued.erase(Removed);
    }
    RC_ASSERT(Q.size() == Queued.size());
    auto Last = Urgency::Urgent;
    while (const auto W = Q.front()) {
      RC_ASSERT(W->Urgency_ >= Last);
      Last = W->Urgency_;
      RC_ASSERT(Queued.erase(W->Sequence_) == 1U);
      Q.serve(W->Sequence_);
    }
    RC_ASSERT(Queued.empty() && Q.teams() == 0U);
  });
}

HEATHERCROSS_STORY(RetryBudgets, "retries stay a share of first tries") {
  HEATHERCROSS_PROPERTY("in any order", [] {
    RetryBudget B(0.1, 10);
    std::size_t First = 0;
    std::size_t Retries = 0;
    for (const bool Retry : *rc::gen::arbitrary<std::vector<bool>>()) {
      if (!Retry) {
        B.earn();
        ++First;
      }
      Retries += Retry && B.take();
      RC_ASSERT(static_cast<double>(Retries) <=
                10 + 0.1 * static_cast<double>(First) + 1e-6);
    }
  });
}

HEATHERCROSS_STORY(LearnedRunTime,
                   "run times are estimated from measured ones") {
  const auto RelativeError = [](Micros Estimate, double RealMicros) {
    return std::abs(static_cast<double>(Estimate.count()) / RealMicros - 1);
  };
  section("declared times that are off by a factor of 4 are corrected", [&] {
    for (const double Error : {0.25, 4.0}) {
      RunTimeEstimate E;
      for (std::uint64_t I = 0; I != 400; ++I) {
        const auto RealMs = static_cast<std::int64_t>(20 + mix(I, 1) % 80);
        E.observe(Millis(std::llround(static_cast<double>(RealMs) * Error)),
                  Millis(RealMs));
      }
      const Millis Declared(std::llround(60 * Error));
      CPPUNIT_ASSERT(RelativeError(E.expected(Declared), 60'000) < 0.2);
      CPPUNIT_ASSERT(E.conservative(Declared) >= E.expected(Declared));
    }
  });
  section("the estimate follows a change of the run time", [&] {
    RunTimeEstimate E;
    for (int I = 0; I != 100; ++I)
      E.observe(Millis(0), Millis(10));
    for (int I = 0; I != 200; ++I)
      E.observe(Millis(0), Millis(100));
    CPPUNIT_ASSERT(RelativeError(E.expected(Millis(0)), 100'000) < 0.2);
  });
  section("an estimate that is too high can't keep causing refusals", [&] {
    RunTimeEstimate E;
    for (int I = 0; I != 100; ++I)
      E.observe(Millis(0), Seconds(10));
    for (int I = 0; I != 300; ++I)
      E.refused();
    CPPUNIT_ASSERT(E.expected(Millis(0)) < Millis(100));
  });
}
