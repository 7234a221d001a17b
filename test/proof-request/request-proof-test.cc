// End-to-end tests of requests, with real processes on loopback and injected
// faults.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

namespace {

QJsonObject makeFault(const char *Kind, double Share = 1, int Ms = 0) {
  return {{"kind", Kind}, {"share", Share}, {"ms", Ms}};
}

void injectFaultOnAll(Cluster &C, const QJsonObject &Fault) {
  for (const WorkerAddress &W : C.workers())
    C.workerFault(W, Fault);
}

const QJsonObject NoFault = makeFault("none");

} // namespace

HEATHERCROSS_STORY(AtMostOnceScenario,
                   "keyed requests run at most once under two faults at once") {
  Cluster C(seededOptions());
  startCluster(C, "main", 8, 4);
  C.startLoad({"--rate", "150", "--seconds", "11", "--keyed_share", "0.6",
               "--repeat_keyed", "--work_ms", "40", "--window_ms", "1500"});
  section("an entry is killed while answers of the table are lost", [&] {
    Cluster::sleepMs(1000);
    C.platformFault(makeFault("lose-answer", 0.3));
    C.killEntry(C.entries()[0]);
    Cluster::sleepMs(1000);
    C.platformFault(NoFault);
    C.startEntry(C.entries()[0]);
  });
  section("an entry is frozen while workers close after reading", [&] {
    C.freezeEntry(C.entries()[3]);
    injectFaultOnAll(C, makeFault("close-after-read", 0.1));
    Cluster::sleepMs(2500);
    injectFaultOnAll(C, NoFault);
    C.thawEntry(C.entries()[3]);
  });
  section("workers answer late, then cut replies short", [&] {
    injectFaultOnAll(C, makeFault("late", 0.2, 2000));
    Cluster::sleepMs(1000);
    injectFaultOnAll(C, makeFault("truncate", 0.2));
    Cluster::sleepMs(1000);
    injectFaultOnAll(C, NoFault);
  });
  section("the platform is down, so that claims are refused", [&] {
    C.platformFault(makeFault("down", 1, 100));
    Cluster::sleepMs(2200);
    C.platformFault(NoFault);
  });
  const QJsonObject Summary = C.waitForLoad();
  const int Repeats =
      summaryCount(Summary, "tries") - summaryCount(Summary, "requests");
  std::cout << "repeats " << Repeats << '\n';
  CPPUNIT_ASSERT(summaryCount(Summary, "requests") > 1000);
  CPPUNIT_ASSERT(Repeats > 0);
  CPPUNIT_ASSERT(summaryCount(Summary, "done") >
                 summaryCount(Summary, "requests") / 2);
  expectNoViolations(C, {"at-most-once", "not-run-is-true", "own-whole-answer",
                         "unknown-share"});
}

HEATHERCROSS_STORY(OwnAnswerScenario,
                   "a caller gets the whole answer to its own request") {
  Cluster C(seededOptions());
  startCluster(C, "main", 8, 4);
  C.startLoad({"--rate", "200", "--seconds", "6", "--keyed_share", "0.2",
               "--work_ms", "10"});
  for (const char *Kind : {"truncate", "wrong-request", "twice", "late"}) {
    injectFaultOnAll(C, makeFault(Kind, 0.2, 1500));
    Cluster::sleepMs(1200);
  }
  injectFaultOnAll(C, NoFault);
  const QJsonObject Summary = C.waitForLoad();
  CPPUNIT_ASSERT_EQUAL(0, summaryCount(Summary, "answers_of_others"));
  expectNoViolations(C, {"own-whole-answer"});
}

HEATHERCROSS_STORY(PlatformAwayScenario,
                   "with the platform away, interactive work goes on") {
  Cluster C(seededOptions());
  startCluster(C, "main", 8, 4);
  C.platformFault(makeFault("down", 1, 300));
  Cluster::sleepMs(500);
  C.startLoad({"--rate", "200", "--seconds", "5", "--work_ms", "10"}, "plain");
  C.startLoad({"--rate", "50", "--seconds", "5", "--keyed_share", "1"},
              "keyed");
  const QJsonObject Plain = C.waitForLoad("plain");
  const QJsonObject Keyed = C.waitForLoad("keyed");
  section("repeatable requests are done", [&] {
    CPPUNIT_ASSERT(summaryCount(Plain, "done") >
                   summaryCount(Plain, "requests") * 99 / 100);
  });
  section("whatever needs the table is answered as not run", [&] {
    CPPUNIT_ASSERT_EQUAL(summaryCount(Keyed, "requests"),
                         countOutcomes(Keyed, "not-run"));
  });
  section("recovery is quick and causes no burst", [&] {
    C.platformFault(NoFault);
    Cluster::sleepMs(2000);
    C.startLoad({"--rate", "50", "--seconds", "2", "--keyed_share", "1"},
                "after");
    const QJsonObject After = C.waitForLoad("after");
    CPPUNIT_ASSERT(summaryCount(After, "done") >
                   summaryCount(After, "requests") * 95 / 100);
    const QJsonObject Stats = C.platformStats().Body_;
    std::cout << "table reads/s " << summaryCount(Stats, "reads_per_s_max")
              << " writes/s " << summaryCount(Stats, "writes_per_s_max")
              << '\n';
    CPPUNIT_ASSERT(summaryCount(Stats, "reads_per_s_max") < 2000);
    CPPUNIT_ASSERT(summaryCount(Stats, "writes_per_s_max") < 500);
  });
  expectNoViolations(C, {"at-most-once", "not-run-is-true"});
}
