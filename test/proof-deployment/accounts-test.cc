// End-to-end tests of client accounts: their keys and their jobs.
#include "proof-deployment/deployment.h"
#include "standin/common/task-workers.h"
#include "support/story.h"

using namespace heathercross;
using heathercross::standin::TaskWorkers;
using heathercross::test::Deployment;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

constexpr int Ok = 200;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;

const char *const BothAccounts =
    R"([{"name":"mill","keys":["mill-1","mill-2"],"weight":5},)"
    R"({"name":"farm","keys":["farm-1"],"weight":5}])";
const char *const WithoutOneKey =
    R"([{"name":"mill","keys":["mill-2"],"weight":5},)"
    R"({"name":"farm","keys":["farm-1"],"weight":5}])";
const char *const LongTask =
    R"({"spec":"60000","phases":[{"count":1,"cpu":1000,"est_ms":60000}]})";

/// Calls through entry instance I with a key.
int statusOf(Deployment &D, std::size_t I, const char *Method,
             const std::string &Job, const char *Key) {
  return D.call(I, Method, Job, Method[0] == 'P' ? LongTask : "", "quotes", Key)
      .Status_;
}

} // namespace

// Guards against calls that are served without a valid key, and against jobs
// that change their owner when their holder does.
HEATHERCROSS_STORY(AccountsOfJobs, "calls need a key of the job's account") {
  const std::string Job = "00000000000000a1";
  startQt();
  TaskWorkers Workers(1);
  Deployment D(2);
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, R.Row_);
  D.setAccounts(BothAccounts);
  D.configure(4, {"quotes"});
  section("a call without a known key gets 401", [&] {
    for (const std::size_t I : {0, 1}) {
      waitFor([&] { return statusOf(D, I, "GET", Job, "") == Unauthorized; });
      for (const char *Key : {"", "mill", "mill-3"})
        CPPUNIT_ASSERT_EQUAL(Unauthorized, statusOf(D, I, "POST", Job, Key));
    }
  });
  section("a job is accepted with a key, also when it is sent again", [&] {
    waitFor([&] { return statusOf(D, 0, "POST", Job, "mill-1") == Ok; });
    CPPUNIT_ASSERT_EQUAL(Ok, statusOf(D, 1, "POST", Job, "mill-2"));
  });
  section("another account can't see, cancel or submit it", [&] {
    for (const char *Method : {"GET", "DELETE", "POST"})
      for (const std::size_t I : {0, 1})
        CPPUNIT_ASSERT_EQUAL(Forbidden, statusOf(D, I, Method, Job, "farm-1"));
  });
  section("a withdrawn key is unknown on all entry instances", [&] {
    D.setAccounts(WithoutOneKey);
    D.configure(5, {"quotes"});
    for (const std::size_t I : {0, 1})
      waitFor(
          [&] { return statusOf(D, I, "GET", Job, "mill-1") == Unauthorized; });
  });
  section("the job keeps its account when all entry instances are killed", [&] {
    D.killAll();
    waitFor([&] { return statusOf(D, 0, "GET", Job, "farm-1") == Forbidden; });
    CPPUNIT_ASSERT_EQUAL(Ok, statusOf(D, 1, "GET", Job, "mill-2"));
    CPPUNIT_ASSERT_EQUAL(Ok, statusOf(D, 0, "DELETE", Job, "mill-2"));
  });
  section("no key stands in a log", [&] {
    for (const std::size_t I : {0, 1})
      for (const char *Key : {"mill-1", "mill-2", "farm-1"})
        CPPUNIT_ASSERT(D.log(I).find(Key) == std::string::npos);
  });
}
