// End-to-end test that retries don't amplify the load when workers fail.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

HEATHERCROSS_STORY(RetryStormScenario,
                   "when half the workers die, retries don't multiply") {
  Cluster C(seededOptions());
  startCluster(C, "main", 8, 2);
  // 8 workers of 8 slots each, at 80 ms a request, carry 800 requests/s.
  C.startLoad({"--rate", "700", "--seconds", "7", "--work_ms", "80"}, "storm");
  Cluster::sleepMs(2000);
  for (std::size_t I = 0; I < C.workers().size(); I += 2)
    C.workerFault(C.workers()[I], {{"kind", "die"}});
  Cluster::sleepMs(5000);
  section("after 5 s goodput is back at the 400/s that the rest carry", [&] {
    C.startLoad({"--rate", "700", "--seconds", "3", "--work_ms", "80"},
                "after");
    const QJsonObject After = C.waitForLoad("after");
    std::cout << "done in 3 s " << summaryCount(After, "done") << '\n';
    // At least 70% of 400 requests/s over 3 s.
    CPPUNIT_ASSERT(summaryCount(After, "done") > 3 * 400 * 7 / 10);
  });
  C.waitForLoad("storm");
  expectNoViolations(C, {"tries-per-request", "not-run-is-true"});
}
