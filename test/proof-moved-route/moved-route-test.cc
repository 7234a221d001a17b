// End-to-end tests of a route that moves to another pool while it has jobs.
#include "proof-deployment/deployment.h"
#include "standin/common/task-workers.h"
#include "support/story.h"

using namespace heathercross;
using heathercross::standin::TaskWorkers;
using heathercross::test::Deployment;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

constexpr int ConfigMs = 2000;
const QByteArray
    Task(R"({"spec":"20000","phases":[{"count":1,"cpu":1000,"mem_mb":10,)"
         R"("est_ms":20000}]})");
const std::string Asked = "00000000000000e1";
const std::string Repeated = "00000000000000e2";
const std::string Cancelled = "00000000000000e3";

/// Sends the route quotes to a pool, and archive to the pool "quoting".
void sendTo(Deployment &D, int Version, const std::string &Pool) {
  constexpr int Attempts = 2;
  D.configure(Version, {"quotes", "archive"}, {"quoting", "booking"}, Attempts,
              [&](const std::string &Route) {
                return Route == "quotes" ? Pool : std::string("quoting");
              });
}

/// Submits jobs, lets the route move, and expects that each call finds them.
template <class Move> void jobsStayFound(Move MoveRoute) {
  startQt();
  TaskWorkers Workers(3);
  Deployment D(2);
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, R.Row_);
  sendTo(D, 4, "quoting");
  section("three jobs run", [&] {
    for (const std::string &Job : {Asked, Repeated, Cancelled})
      waitFor([&] { return D.call(0, "POST", Job, Task).Status_ == 200; });
    waitFor([&] { return Workers.calls().Starts_ == 3; });
  });
  MoveRoute(D);
  section("the first one is shown", [&] {
    waitFor([&] { return D.call(1, "GET", Asked).Status_ != 503; });
    CPPUNIT_ASSERT_EQUAL(200, D.call(1, "GET", Asked).Status_);
  });
  section("a repeated submission is the same job", [&] {
    CPPUNIT_ASSERT_EQUAL(200, D.call(1, "POST", Repeated, Task).Status_);
    runFor(1500);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{3}, Workers.calls().Starts_);
  });
  section("a cancel reaches its job", [&] {
    CPPUNIT_ASSERT_EQUAL(200, D.call(1, "DELETE", Cancelled).Status_);
    waitFor(
        [&] { return D.call(0, "GET", Cancelled).Body_.contains("canceled"); });
  });
  section("an id that nobody has accepted is unknown", [&] {
    CPPUNIT_ASSERT_EQUAL(410, D.call(0, "GET", "00000000000000ef").Status_);
  });
}

} // namespace

// Guards against TWICE, LOST and UNASKED: calls for accepted jobs went to the
// pool to which the route had moved, where nobody knew them.
HEATHERCROSS_STORY(
    MovedRoute, "the jobs of a route that moves to another pool stay found") {
  section("it is removed, and added to the other pool", [] {
    jobsStayFound([](Deployment &D) {
      D.configure(5, {"archive"});
      runFor(ConfigMs);
      sendTo(D, 8, "booking");
      runFor(ConfigMs);
    });
  });
  section("it moves in one version, and every process starts anew", [] {
    jobsStayFound([](Deployment &D) {
      sendTo(D, 5, "booking");
      runFor(ConfigMs);
      D.killAll();
    });
  });
  section("it moves there and back", [] {
    jobsStayFound([](Deployment &D) {
      sendTo(D, 5, "booking");
      runFor(ConfigMs);
      sendTo(D, 6, "quoting");
      runFor(ConfigMs);
    });
  });
}

// Guards against a count of queued jobs that leaves out the former pool.
HEATHERCROSS_STORY(QueuedInFormerPool,
                   "queued jobs count in every pool that has them") {
  startQt();
  Deployment D(2);
  sendTo(D, 4, "quoting");
  waitFor([&] { return D.call(0, "POST", Asked, Task).Status_ == 200; });
  sendTo(D, 5, "booking");
  runFor(ConfigMs);
  waitFor([&] { return D.call(1, "POST", Repeated, Task).Status_ == 200; });
  for (std::size_t I = 0; I < D.size(); ++I)
    CPPUNIT_ASSERT(D.call(I, "GET", "").Body_.contains("\"pending_jobs\":2"));
}
