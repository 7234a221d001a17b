// Proof that bad workers get out and healthy ones stay in.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

HEATHERCROSS_STORY(BlackHoleProof,
                   "workers that fail everything get out, healthy ones stay") {
  ClusterOptions Options = seeded();
  Options.WorkersEach_ = 5;
  Cluster C(Options);
  bringUp(C, "main", 10, 6);
  const std::string Bad = C.workers()[3].Name_;
  const std::int64_t Begun = nowMicros();
  C.workerFault(C.workers()[3], {{"kind", "fail-all"}});
  C.startLoad({"--rate", "300", "--seconds", "10", "--work_ms", "10",
               "--poison_share", "0.01"});
  C.finishLoad();
  // The workers' own records: starts of each in all and in the last half.
  std::map<std::string, int> Starts;
  int BadLater = 0;
  std::int64_t LastBad = Begun;
  for (const HistoryEvent &E : C.history()) {
    if (E.Kind_ != "start")
      continue;
    ++Starts[E.Process_];
    if (E.Process_ != Bad)
      continue;
    LastBad = E.At_;
    BadLater += E.At_ > Begun + 5'000'000 ? 1 : 0;
  }
  std::cout << "the bad worker got " << Starts[Bad] << ", the last after ms "
            << (LastBad - Begun) / 1000 << '\n';
  section("the bad worker gets a tenth of its fair share at most", [&] {
    CPPUNIT_ASSERT(Starts[Bad] < 3000 / 10 / 10);
    CPPUNIT_ASSERT(BadLater < 1500 / 10 / 10);
  });
  section("every healthy worker goes on", [&] {
    for (const WorkerAddress &W : C.workers())
      if (W.Name_ != Bad)
        CPPUNIT_ASSERT_MESSAGE(W.Name_ + " got " +
                                   std::to_string(Starts[W.Name_]),
                               Starts[W.Name_] > 3000 / 10 / 4);
    const QJsonArray Instances = C.instances(C.entries()[1]);
    for (const QJsonValue I : Instances)
      if (I["id"].toString().toStdString() != Bad)
        CPPUNIT_ASSERT_EQUAL(std::string("active"),
                             I["state"].toString().toStdString());
  });
  judge(C, {"own-whole-answer"});
}
