// Tests of the dispatcher: a request from its arrival to its single answer.
#include "request/dispatcher.h"
#include "support/story.h"

#include "request/fixture.h"

using namespace heathercross;
using namespace heathercross::request;
using namespace heathercross::request::test;
using heathercross::test::section;

HEATHERCROSS_STORY(RequestLifecycle, "a request is placed, sent and answered") {
  DispatcherHarness D(smallFleet(1, 1));
  section("it goes to a worker of its pool", [&] {
    D.arrive("r1");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, D.all<Send>().size());
    CPPUNIT_ASSERT_EQUAL(std::string("p0-w0"), D.all<Send>()[0].Worker_.str());
  });
  section("the whole answer is passed on exactly once", [&] {
    const Send S = D.all<Send>()[0];
    D.endTry(S, TryResult::Answered);
    D.endTry(S, TryResult::Answered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, D.all<Answer>().size());
    CPPUNIT_ASSERT(D.answer("r1")->Outcome_ == Outcome::Done);
    CPPUNIT_ASSERT(D.answer("r1")->Attempt_ == S.Attempt_);
  });
  section("with all slots taken it waits, then gets a free one", [&] {
    for (int I = 0; I != 9; ++I)
      D.arrive("q" + std::to_string(I));
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, D.dispatcher().queued());
    D.endTry(D.all<Send>()[1], TryResult::Answered);
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, D.dispatcher().queued());
  });
  section("what waits past its window is not run", [&] {
    D.arrive("late", Millis(50));
    D.advance(Millis(60));
    CPPUNIT_ASSERT(D.answer("late")->Outcome_ == Outcome::NotRun);
    CPPUNIT_ASSERT(D.answer("late")->Reason_ == Reason::WindowTooShort);
  });
}

HEATHERCROSS_STORY(RequestRefusals, "what can't be served is refused at once") {
  section("before the first view of the fleet", [] {
    DispatcherHarness D;
    D.arrive("r");
    CPPUNIT_ASSERT(D.answer("r")->Reason_ == Reason::NotReady);
  });
  DispatcherHarness D(smallFleet(1, 1));
  section("for a pool that isn't in the view", [&] {
    RequestSpec S = D.spec("r");
    S.Pool_ = PoolId("elsewhere");
    D.arrive(S);
    CPPUNIT_ASSERT(D.answer("r")->Reason_ == Reason::NoSuchPool);
  });
  section("after a planned stop began, while the others finish", [&] {
    D.arrive("before");
    D.deliver(StopBegan());
    D.arrive("after");
    CPPUNIT_ASSERT(D.answer("after")->Reason_ == Reason::Stopping);
    D.endTry(D.all<Send>().back(), TryResult::Answered);
    CPPUNIT_ASSERT(D.answer("before")->Outcome_ == Outcome::Done);
  });
}
