// End-to-end tests of an account's limit over several pools.
#include "proof-deployment/deployment.h"
#include "standin/common/task-workers.h"
#include "support/story.h"

#include <array>

using namespace heathercross;
using heathercross::standin::TaskWorkers;
using heathercross::test::Deployment;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

constexpr int Ok = 200;
constexpr std::size_t Limit = 6;
/// Tasks of 0.4 s on one core.
const char *const Body =
    R"({"spec":"400","phases":[{"count":60,"cpu":1000,"est_ms":400}]})";
const char *const Accounts =
    R"([{"name":"mill","keys":["mill-1"],"weight":50,)"
    R"("max_count":{"cpu":6000,"mem_mb":0,"gpus":0}}])";
const std::array<std::pair<const char *, const char *>, 2> Jobs{
    {{"quoting", "00000000000000b1"}, {"archive", "00000000000000b2"}}};

std::string inPool(std::string Row, const std::string &Pool) {
  const std::string Quoting = R"("service":"quoting")";
  return Row.replace(Row.find(Quoting), Quoting.size(),
                     R"("service":")" + Pool + '"');
}

bool isComplete(Deployment &D, std::size_t I, const char *Pool,
                const char *Job) {
  return D.call(I, "GET", Job, {}, Pool, "mill-1")
      .Body_.contains(R"("state":"complete")");
}

} // namespace

// Guards against pools that exceed an account's limit together, also while
// their holders are killed, and against a pool that gets no share.
HEATHERCROSS_STORY(LimitOverPools, "an account's limit holds over two pools") {
  startQt();
  TaskWorkers Workers(4);
  Deployment D(2);
  std::size_t Index = 0;
  for (const auto &R : Workers.registrations())
    D.writeWorker(R.Id_, inPool(R.Row_, Index++ < 2 ? "quoting" : "archive"));
  D.setAccounts(Accounts);
  D.configurePools(4, {"quoting", "archive"});
  std::size_t Most = 0;
  std::array<std::size_t, 2> MostOfPool{};
  const auto Observe = [&] {
    const std::size_t First = Workers.runs(0) + Workers.runs(1);
    const std::size_t Second = Workers.runs(2) + Workers.runs(3);
    Most = std::max(Most, First + Second);
    MostOfPool = {std::max(MostOfPool[0], First),
                  std::max(MostOfPool[1], Second)};
  };
  section("both pools run tasks of the account", [&] {
    for (const auto &[Pool, Job] : Jobs)
      waitFor([&, P = Pool, J = Job] {
        Observe();
        return D.call(0, "POST", J, Body, P, "mill-1").Status_ == Ok;
      });
    waitFor([&] {
      Observe();
      return MostOfPool[0] > 0 && MostOfPool[1] > 0;
    });
    CPPUNIT_ASSERT(Most <= Limit);
  });
  section("each entry instance is killed in turn", [&] {
    for (const std::size_t I : {0, 1}) {
      const auto Starts = Workers.calls().Starts_;
      D.sendSignal(I, SIGKILL);
      D.startAgain(I);
      waitFor([&] {
        Observe();
        return Workers.calls().Starts_ > Starts + Limit;
      });
    }
  });
  section("both jobs complete", [&] {
    for (const auto &[Pool, Job] : Jobs)
      waitFor([&, P = Pool, J = Job] {
        Observe();
        return isComplete(D, 0, P, J);
      });
  });
  CPPUNIT_ASSERT_EQUAL(Limit, Most);
}
