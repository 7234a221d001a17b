// End-to-end tests of planned stops of entry instances and of workers that
// leave.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

HEATHERCROSS_STORY(PlannedStopScenario,
                   "a rolling stop of every entry cuts no request") {
  Cluster C(seededOptions());
  startCluster(C, "main", 8, 4);
  C.startLoad({"--rate", "200", "--seconds", "14", "--keyed_share", "0.1",
               "--work_ms", "100", "--window_ms", "3000"});
  Cluster::sleepMs(500);
  for (EntryProcess &E : C.entries()) {
    CPPUNIT_ASSERT_MESSAGE(E.Name_ + " exits by itself", C.stopEntry(E));
    C.startEntry(E);
    CPPUNIT_ASSERT(C.waitReady(E));
    Cluster::sleepMs(500);
  }
  const QJsonObject Summary = C.waitForLoad();
  CPPUNIT_ASSERT_EQUAL(summaryCount(Summary, "requests"),
                       summaryCount(Summary, "done"));
  expectNoViolations(C, {"planned-stop"});
}

HEATHERCROSS_STORY(LeavingWorkerScenario,
                   "a leaving worker gets no new work after 3 s") {
  ClusterOptions Options = seededOptions();
  Options.InstanceListLagMs_ = 2500;
  Cluster C(Options);
  startCluster(C, "main", 8, 2);
  C.startLoad({"--rate", "300", "--seconds", "12", "--work_ms", "20"});
  Cluster::sleepMs(1000);
  section("while the instance list lags", [&] {
    C.workerFault(C.workers()[0], {{"kind", "leave"}});
    Cluster::sleepMs(1500);
  });
  section("while the platform is away", [&] {
    C.platformFault({{"kind", "down"}, {"ms", 200}});
    C.workerFault(C.workers()[5], {{"kind", "leave"}});
    Cluster::sleepMs(6000);
    C.platformFault({{"kind", "none"}});
  });
  const QJsonObject Summary = C.waitForLoad();
  CPPUNIT_ASSERT(summaryCount(Summary, "done") >
                 summaryCount(Summary, "requests") * 98 / 100);
  expectNoViolations(C, {"leaving"});
}
