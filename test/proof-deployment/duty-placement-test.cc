// End-to-end tests of which entry holds a duty where processor shares differ.
#include "proof-deployment/deployment.h"
#include "standin/common/task-workers.h"
#include "support/story.h"

#include <set>

using namespace heathercross;
using heathercross::test::Deployment;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

constexpr double SmallShare = 0.12;
constexpr double LargeShare = 0.5;
constexpr std::size_t Small = 0;
constexpr std::size_t Large = 1;

std::string jobId(int I) { return "0000000000d0" + std::to_string(1000 + I); }

/// A job of 200 tasks of 0.3 s.
const QByteArray ManyTasks =
    R"({"spec":"300","phases":[{"count":200,"cpu":500,"mem_mb":10,"est_ms":300}]})";

bool holds(const Deployment &D, std::size_t I) {
  return D.log(I).find(R"("event":"duty-loaded","jobs")") != std::string::npos;
}

bool isComplete(Deployment &D, std::size_t I, int Job) {
  const auto A = D.call(I, "GET", jobId(Job));
  return A.Status_ == 200 && A.Body_.contains("complete");
}

} // namespace

// Guards against a duty that stays on a small entry which can't start the tasks
// of a burst: orders take it 60 ms, and it has 30 of them without an answer.
HEATHERCROSS_STORY(LoadedSmallEntry,
                   "a loaded small entry hands its duty to a larger one") {
  startQt();
  standin::TaskWorkers Workers(10);
  Workers.setAnswerDelay(std::chrono::milliseconds(60));
  Deployment D(2, {.CpuShares_ = {SmallShare, LargeShare}, .Absent_ = 1});
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, R.Row_);
  waitFor([&] { return holds(D, Small); });
  D.startAbsent(Large);
  waitFor([&] { return D.submit(Large, jobId(0)).Status_ == 200; });
  std::set<int> Accepted{0};
  std::set<int> Rejected;
  section("the duty moves while jobs arrive", [&] {
    constexpr int MaxJobs = 1500;
    for (int I = 1; I < MaxJobs && !holds(D, Large); ++I) {
      const auto A = D.call(Large, "POST", jobId(I), ManyTasks);
      if (A.Status_ == 200)
        Accepted.insert(I);
      else if (A.Status_ == 429)
        Rejected.insert(I);
      CPPUNIT_ASSERT(A.Status_ == 200 || A.Status_ == 429 || A.Status_ == 503);
      runFor(30);
    }
    CPPUNIT_ASSERT(holds(D, Large));
    CPPUNIT_ASSERT(D.log(Small).find("duty-handover") != std::string::npos);
  });
  section(
      "jobs that couldn't start in time were rejected, and don't exist", [&] {
        CPPUNIT_ASSERT(!Rejected.empty());
        CPPUNIT_ASSERT(D.log(Small).find("start-rate") != std::string::npos);
        for (const int I : Rejected)
          CPPUNIT_ASSERT_EQUAL(410, D.call(Large, "GET", jobId(I)).Status_);
      });
  section("no accepted job is lost", [&] {
    for (const int I : Accepted)
      if (I > 0)
        waitFor([&] { return isComplete(D, Large, I); });
  });
  section("the former holder passes calls on", [&] {
    CPPUNIT_ASSERT_EQUAL(200, D.submit(Small, jobId(5000)).Status_);
  });
}

// Guards against a small entry that takes its duty again after a restart before
// a larger one had a chance.
HEATHERCROSS_STORY(SmallEntryRestarts,
                   "a small entry that restarts leaves its duty to a larger "
                   "one") {
  startQt();
  Deployment D(2, {.CpuShares_ = {SmallShare, LargeShare}, .Absent_ = 1});
  waitFor([&] { return holds(D, Small); });
  CPPUNIT_ASSERT_EQUAL(200, D.submit(Small, jobId(1)).Status_);
  D.startAbsent(Large);
  D.sendSignal(Small, SIGKILL);
  D.startAgain(Small);
  waitFor([&] { return holds(D, Large); });
  CPPUNIT_ASSERT(!holds(D, Small));
  CPPUNIT_ASSERT_EQUAL(200, D.call(Small, "GET", jobId(1)).Status_);
}
