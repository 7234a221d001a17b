// Proofs about requests: real processes on loopback under faults.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

namespace {

QJsonObject fault(const char *Kind, double Share = 1, int Ms = 0) {
  return {{"kind", Kind}, {"share", Share}, {"ms", Ms}};
}

void faultOnAll(Cluster &C, const QJsonObject &Fault) {
  for (const WorkerAddress &W : C.workers())
    C.workerFault(W, Fault);
}

const QJsonObject NoFault = fault("none");

} // namespace

HEATHERCROSS_STORY(AtMostOnceProof,
                   "keyed requests run at most once under two faults at once") {
  Cluster C(seeded());
  bringUp(C, "main", 8, 4);
  C.startLoad({"--rate", "150", "--seconds", "11", "--keyed_share", "0.6",
               "--repeat_keyed", "--work_ms", "40", "--window_ms", "1500"});
  section("an entry is killed while answers of the table are lost", [&] {
    Cluster::sleepMs(1000);
    C.platformFault(fault("lose-answer", 0.3));
    C.killEntry(C.entries()[0]);
    Cluster::sleepMs(1000);
    C.platformFault(NoFault);
    C.startEntry(C.entries()[0]);
  });
  section("an entry is frozen while workers close after reading", [&] {
    C.freezeEntry(C.entries()[3]);
    faultOnAll(C, fault("close-after-read", 0.1));
    Cluster::sleepMs(2500);
    faultOnAll(C, NoFault);
    C.thawEntry(C.entries()[3]);
  });
  section("workers answer late and cut short", [&] {
    faultOnAll(C, fault("late", 0.2, 2000));
    Cluster::sleepMs(1000);
    faultOnAll(C, fault("truncate", 0.2));
    Cluster::sleepMs(1000);
    faultOnAll(C, NoFault);
  });
  section("the platform is down, so that claims are refused", [&] {
    C.platformFault(fault("down", 1, 100));
    Cluster::sleepMs(2200);
    C.platformFault(NoFault);
  });
  const QJsonObject Summary = C.finishLoad();
  const int Repeats = figure(Summary, "tries") - figure(Summary, "requests");
  std::cout << "repeats " << Repeats << '\n';
  CPPUNIT_ASSERT(figure(Summary, "requests") > 1000);
  CPPUNIT_ASSERT(Repeats > 0);
  CPPUNIT_ASSERT(figure(Summary, "done") > figure(Summary, "requests") / 2);
  judge(C, {"at-most-once", "not-run-is-true", "own-whole-answer",
            "unknown-share"});
}

HEATHERCROSS_STORY(OwnAnswerProof,
                   "a caller gets the whole answer to its own request") {
  Cluster C(seeded());
  bringUp(C, "main", 8, 4);
  C.startLoad({"--rate", "200", "--seconds", "6", "--keyed_share", "0.2",
               "--work_ms", "10"});
  for (const char *Kind : {"truncate", "wrong-request", "twice", "late"}) {
    faultOnAll(C, fault(Kind, 0.2, 1500));
    Cluster::sleepMs(1200);
  }
  faultOnAll(C, NoFault);
  const QJsonObject Summary = C.finishLoad();
  CPPUNIT_ASSERT_EQUAL(0, figure(Summary, "answers_of_others"));
  judge(C, {"own-whole-answer"});
}

HEATHERCROSS_STORY(PlatformAwayProof,
                   "with the platform away, interactive work goes on") {
  Cluster C(seeded());
  bringUp(C, "main", 8, 4);
  C.platformFault(fault("down", 1, 300));
  Cluster::sleepMs(500);
  C.startLoad({"--rate", "200", "--seconds", "5", "--work_ms", "10"}, "plain");
  C.startLoad({"--rate", "50", "--seconds", "5", "--keyed_share", "1"},
              "keyed");
  const QJsonObject Plain = C.finishLoad("plain");
  const QJsonObject Keyed = C.finishLoad("keyed");
  section("repeatable requests are done", [&] {
    CPPUNIT_ASSERT(figure(Plain, "done") >
                   figure(Plain, "requests") * 99 / 100);
  });
  section("what needs the table is answered as not run", [&] {
    CPPUNIT_ASSERT_EQUAL(figure(Keyed, "requests"), ended(Keyed, "not-run"));
  });
  section("recovery is quick and no stampede", [&] {
    C.platformFault(NoFault);
    Cluster::sleepMs(2000);
    C.startLoad({"--rate", "50", "--seconds", "2", "--keyed_share", "1"},
                "after");
    const QJsonObject After = C.finishLoad("after");
    CPPUNIT_ASSERT(figure(After, "done") >
                   figure(After, "requests") * 95 / 100);
    const QJsonObject Stats = C.platformStats().Body_;
    std::cout << "table reads/s " << figure(Stats, "reads_per_s_max")
              << " writes/s " << figure(Stats, "writes_per_s_max") << '\n';
    CPPUNIT_ASSERT(figure(Stats, "reads_per_s_max") < 2000);
    CPPUNIT_ASSERT(figure(Stats, "writes_per_s_max") < 500);
  });
  judge(C, {"at-most-once", "not-run-is-true"});
}
