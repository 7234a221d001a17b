// End-to-end test of fair shares: what a pool's holder answers to an account
// that exceeds its guaranteed rate.
#include "proof-deployment/deployment.h"
#include "standin/common/task-workers.h"
#include "support/story.h"

#include <string>

using namespace heathercross;
using heathercross::standin::TaskWorkers;
using heathercross::test::Deployment;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

constexpr int Ok = 200;
constexpr int TooManyRequests = 429;

const char *const Accounts =
    R"([{"name":"mill","keys":["mill-1"],"weight":1},)"
    R"({"name":"farm","keys":["farm-1"],"weight":50}])";
/// More work than the worker can do within the objective.
const char *const LargeJob =
    R"({"spec":"1000","phases":[{"count":400,"cpu":1000,"est_ms":1000}]})";
const char *const SmallJob =
    R"({"spec":"100","phases":[{"count":1,"cpu":1000,"est_ms":100}]})";

int submit(Deployment &D, std::size_t I, const std::string &Job,
           const char *Body, const char *Key) {
  return D.call(I, "POST", Job, Body, "quotes", Key).Status_;
}

} // namespace

// Guards against a holder that doesn't count submissions against the rate, or
// doesn't say why it rejects one.
HEATHERCROSS_STORY(
    AccountBeyondRate,
    "a full pool rejects what an account sends beyond its rate") {
  startQt();
  TaskWorkers Workers(1);
  Deployment D(1);
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, R.Row_);
  D.setAccounts(Accounts);
  D.configure(4, {"quotes"});
  section("while there is room it is accepted", [&] {
    waitFor([&] {
      return submit(D, 0, "00000000000000a0", SmallJob, "mill-1") == Ok;
    });
    for (int I = 1; I < 8; ++I)
      CPPUNIT_ASSERT_EQUAL(Ok,
                           submit(D, 0, "00000000000000a" + std::to_string(I),
                                  SmallJob, "mill-1"));
  });
  section("the pool knows its capacity once jobs have run", [&] {
    waitFor([&] {
      return D.call(0, "GET", "00000000000000a7", "", "quotes", "mill-1")
          .Body_.contains("complete");
    });
  });
  section("in a full pool it is rejected, with the cause in the log", [&] {
    CPPUNIT_ASSERT_EQUAL(Ok,
                         submit(D, 0, "00000000000000f0", LargeJob, "farm-1"));
    // The bucket holds fewer jobs than are sent at once.
    int Last = 0;
    for (int I = 0; I < 8; ++I)
      Last = submit(D, 0, "00000000000000b" + std::to_string(I), SmallJob,
                    "mill-1");
    CPPUNIT_ASSERT_EQUAL(TooManyRequests, Last);
    waitFor([&] {
      return D.log(0).find(R"("cause":"over-share")") != std::string::npos &&
             D.log(0).find(R"("event":"account-over-share")") !=
                 std::string::npos;
    });
  });
  section("the other account is still served", [&] {
    CPPUNIT_ASSERT_EQUAL(Ok,
                         submit(D, 0, "00000000000000f1", SmallJob, "farm-1"));
  });
}
