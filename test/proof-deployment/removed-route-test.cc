// End-to-end tests of jobs whose route is removed while they run.
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

// Guards against a holder that doesn't know the settings of a removed queue: it
// showed the queue's job as failed after the first of four attempts.
HEATHERCROSS_STORY(RemovedRoute,
                   "the jobs of a removed route keep its settings") {
  constexpr int Attempts = 4;
  const std::string Job = "00000000000000d1";
  startQt();
  TaskWorkers Workers(1);
  Workers.failRuns(1);
  Deployment D(2);
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, R.Row_);
  D.configure(4, {"quotes", "archive"}, Attempts);
  section("a job of the route runs", [&] {
    waitFor([&] {
      return D.call(0, "POST", Job,
                    R"({"spec":"6000","phases":[{"count":1,"cpu":1000,)"
                    R"("mem_mb":10,"est_ms":6000}]})",
                    "archive")
                 .Status_ == 200;
    });
    waitFor([&] { return Workers.calls().Starts_ == 1; });
  });
  section("the route is removed, and the pool's duty has another holder", [&] {
    D.configure(5, {"quotes"}, Attempts);
    runFor(1000);
    D.restart(D.holder());
  });
  section("the task is started again after its first run has failed",
          [&] { waitFor([&] { return Workers.calls().Starts_ == 2; }); });
  section("the job is complete once the route is there again", [&] {
    D.configure(6, {"quotes", "archive"}, Attempts);
    waitFor([&] {
      return D.call(0, "GET", Job, {}, "archive")
          .Body_.contains(R"("state":"complete")");
    });
  });
}

// Guards against rows that grow with every queue that a pool has ever had.
HEATHERCROSS_STORY(QueueForgotten,
                   "the settings of a queue are stored as long as its jobs") {
  const platform_api::RowPlace Queues{"rosters", "quoting", "queues"};
  startQt();
  TaskWorkers Workers(1);
  Deployment D(1, {.StatusKeptSeconds_ = 1});
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, R.Row_);
  section("they are there once a job is accepted", [&] {
    waitFor([&] { return D.submit(0, "00000000000000d3").Status_ == 200; });
    CPPUNIT_ASSERT(D.hasRow(Queues));
  });
  section("they go with the last job",
          [&] { waitFor([&] { return !D.hasRow(Queues); }); });
}

namespace {

/// Removes the only route of a pool while a job of two steps runs there, and
/// expects that its second step starts although all entries were restarted.
template <class Restart> void runWithoutRoutes(Restart RestartEntries) {
  const std::string Job = "00000000000000d2";
  startQt();
  TaskWorkers Workers(1);
  Deployment D(2);
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, R.Row_);
  section("the first step of a job runs", [&] {
    waitFor([&] {
      return D.call(0, "POST", Job,
                    R"({"spec":"4000","phases":[{"count":1,"est_ms":4000},)"
                    R"({"count":1,"est_ms":4000,"after":[0]}]})")
                 .Status_ == 200;
    });
    waitFor([&] { return Workers.calls().Starts_ == 1; });
  });
  section("its pool has no route any more, and the entries are restarted", [&] {
    D.configure(4, {});
    runFor(1000);
    RestartEntries(D);
  });
  section("the second step starts",
          [&] { waitFor([&] { return Workers.calls().Starts_ == 2; }); });
  section("the job is complete once there is a route again", [&] {
    D.configure(5, {"quotes"});
    waitFor([&] {
      return D.call(1, "GET", Job).Body_.contains(R"("state":"complete")");
    });
  });
}

} // namespace

// Guards against work that is nobody's once its service has no routes: only
// entries that had seen one took the pool's duty.
HEATHERCROSS_STORY(WorkWithoutRoutes,
                   "a pool whose last route is removed finishes its jobs") {
  section("when the entries are restarted in turn", [] {
    runWithoutRoutes([](Deployment &D) {
      for (std::size_t I = 0; I < D.size(); ++I)
        D.restart(I);
    });
  });
  section("when all of them are killed at once",
          [] { runWithoutRoutes([](Deployment &D) { D.killAll(); }); });
}
