// Proof that retries don't multiply an outage.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

HEATHERCROSS_STORY(RetryStormProof,
                   "when half the workers die, retries don't multiply") {
  Cluster C(seeded());
  bringUp(C, "main", 8, 2);
  // 8 workers with 8 slots and 80 ms carry 800/s.
  C.startLoad({"--rate", "700", "--seconds", "7", "--work_ms", "80"}, "storm");
  Cluster::sleepMs(2000);
  for (std::size_t I = 0; I < C.workers().size(); I += 2)
    C.workerFault(C.workers()[I], {{"kind", "die"}});
  Cluster::sleepMs(5000);
  section("goodput is back at what the rest carry, 400/s, after 5 s", [&] {
    C.startLoad({"--rate", "700", "--seconds", "3", "--work_ms", "80"},
                "after");
    const QJsonObject After = C.finishLoad("after");
    std::cout << "done in 3 s " << figure(After, "done") << '\n';
    CPPUNIT_ASSERT(figure(After, "done") > 3 * 400 * 7 / 10);
  });
  C.finishLoad("storm");
  judge(C, {"tries-per-request", "not-run-is-true"});
}
