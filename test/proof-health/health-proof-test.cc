// End-to-end test that a worker which fails every request is taken out of
// service and healthy workers aren't.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

HEATHERCROSS_STORY(
    FailingWorkerScenario,
    "workers that fail everything are excluded, healthy ones stay") {
  ClusterOptions Options = seededOptions();
  Options.WorkersPerZone_ = 5;
  Cluster C(Options);
  startCluster(C, "main", 10, 6);
  const std::string FailingWorker = C.workers()[3].Name_;
  // Requests per worker: 300/s for 10 s over 10 workers.
  constexpr int FairShare = 3000 / 10;
  constexpr int HalfRunUs = 5'000'000;
  const std::int64_t StartedAt = nowMicros();
  C.workerFault(C.workers()[3], {{"kind", "fail-all"}});
  C.startLoad({"--rate", "300", "--seconds", "10", "--work_ms", "10",
               "--poison_share", "0.01"});
  C.waitForLoad();
  // Starts as the workers recorded them: per worker, and those of the failing
  // worker in the second half of the run.
  std::map<std::string, int> Starts;
  int StartsInSecondHalf = 0;
  std::int64_t LastStart = StartedAt;
  for (const HistoryEvent &E : C.history()) {
    if (E.Kind_ != "start")
      continue;
    ++Starts[E.Process_];
    if (E.Process_ != FailingWorker)
      continue;
    LastStart = E.TimeUs_;
    StartsInSecondHalf += E.TimeUs_ > StartedAt + HalfRunUs ? 1 : 0;
  }
  std::cout << "the failing worker got " << Starts[FailingWorker]
            << " starts, the last after ms " << (LastStart - StartedAt) / 1000
            << '\n';
  section("the failing worker gets at most a tenth of its fair share", [&] {
    CPPUNIT_ASSERT(Starts[FailingWorker] < FairShare / 10);
    CPPUNIT_ASSERT(StartsInSecondHalf < FairShare / 2 / 10);
  });
  section("every healthy worker carries on serving", [&] {
    for (const WorkerAddress &W : C.workers())
      if (W.Name_ != FailingWorker)
        CPPUNIT_ASSERT_MESSAGE(W.Name_ + " got " +
                                   std::to_string(Starts[W.Name_]),
                               Starts[W.Name_] > FairShare / 4);
    const QJsonArray Instances = C.instances(C.entries()[1]);
    for (const QJsonValue I : Instances)
      if (I["id"].toString().toStdString() != FailingWorker)
        CPPUNIT_ASSERT_EQUAL(std::string("active"),
                             I["state"].toString().toStdString());
  });
  expectNoViolations(C, {"own-whole-answer"});
}
