// End-to-end tests of pools, availability budgets, maintenance waves and jobs.
#include "proof/scenario.h"

using namespace heathercross::standin;
using namespace heathercross::test;

namespace {

/// Submits jobs through all entry instances in turn and records each accepted
/// job in the history. Returns the number of accepted jobs.
int submitJobs(Cluster &C, const std::string &Prefix, int Count, int WorkMs) {
  int Accepted = 0;
  for (int I = 0; I < Count; ++I) {
    EntryProcess &E =
        C.entries()[static_cast<std::size_t>(I) % C.entries().size()];
    const std::string Id = Prefix + std::to_string(I);
    const QJsonObject Job{{"id", QString::fromStdString(Id)},
                          {"pool", "main"},
                          {"work_ms", WorkMs},
                          {"cores", 1},
                          {"memory_mb", 64}};
    if (C.callEntry(E, "POST", "/v1/jobs", Job, "team").Status_ != 202)
      continue;
    C.record("job-accepted", Id);
    ++Accepted;
  }
  return Accepted;
}

std::string jobState(Cluster &C, const std::string &Id) {
  return C.callEntry(C.entries()[1], "GET", "/v1/jobs/" + Id, {}, "team")
      .Body_["state"]
      .toString()
      .toStdString();
}

/// Waits until the jobs Prefix0 to Prefix(Count-1) are all in a state.
bool waitForJobs(Cluster &C, const std::string &Prefix, int Count,
                 const std::string &State, int TimeoutMs) {
  return Cluster::waitFor(
      [&] {
        for (int I = 0; I < Count; ++I)
          if (jobState(C, Prefix + std::to_string(I)) != State)
            return false;
        return true;
      },
      TimeoutMs);
}

QJsonArray waveChange(const char *Name) {
  return {QJsonObject{{"wave", QJsonObject{{"name", Name},
                                           {"pool", "main"},
                                           {"mode", "running"},
                                           {"drain_limit_ms", 3000}}}}};
}

/// Counts the workers that have rebooted at least once.
std::size_t countRebooted(const Cluster &C) {
  std::set<std::string> Names;
  for (const HistoryEvent &E : C.history())
    if (E.Kind_ == "reboot")
      Names.insert(E.Id_);
  return Names.size();
}

} // namespace

HEATHERCROSS_STORY(BudgetScenario,
                   "budgets hold through a wave with competing duty holders") {
  ClusterOptions Options = seededOptions();
  Options.ExtraSettings_ = "[control]\nlease_ms = 1500\nstep_ms = 200\n";
  Cluster C(Options);
  startCluster(C, "main", 8, 5);
  C.startLoad({"--rate", "150", "--seconds", "16", "--work_ms", "50"});
  CPPUNIT_ASSERT(C.submitTicket(waveChange("weekly")));
  section("holders are paused for longer than their leases", [&] {
    for (EntryProcess &E : C.entries()) {
      C.freezeEntry(E);
      Cluster::sleepMs(2000);
      C.thawEntry(E);
    }
  });
  section("a worker dies during maintenance", [&] {
    C.workerFault(C.workers()[6], {{"kind", "die"}, {"ms", 1500}});
  });
  C.waitForLoad();
  section("the wave has rebooted all eight", [&] {
    CPPUNIT_ASSERT(
        Cluster::waitFor([&] { return countRebooted(C) >= 8; }, 10000));
  });
  expectNoViolations(C, {"budget", "maintenance-cuts-nothing", "one-pool"});
}

HEATHERCROSS_STORY(JobScenario,
                   "accepted jobs end once, whatever entry or worker dies") {
  ClusterOptions Options = seededOptions();
  Options.ExtraSettings_ = "[control]\nlease_ms = 1500\nstep_ms = 200\n";
  Cluster C(Options);
  startCluster(C, "main", 8, 4);
  const int Accepted = submitJobs(C, "sweep", 40, 1500);
  CPPUNIT_ASSERT_EQUAL(40, Accepted);
  submitJobs(C, "poison", 1, 100);
  section("an entry is killed and a worker dies", [&] {
    C.killEntry(C.entries()[0]);
    C.workerFault(C.workers()[2], {{"kind", "die"}, {"ms", 2000}});
    Cluster::sleepMs(1000);
    C.startEntry(C.entries()[0]);
  });
  section("the platform is away for some seconds", [&] {
    C.platformFault({{"kind", "down"}, {"ms", 200}});
    Cluster::sleepMs(2000);
    C.platformFault({{"kind", "none"}});
  });
  section("each job is done",
          [&] { CPPUNIT_ASSERT(waitForJobs(C, "sweep", 40, "done", 20000)); });
  section("the job that fails everywhere is set aside", [&] {
    CPPUNIT_ASSERT(waitForJobs(C, "poison", 1, "set-aside", 10000));
  });
  section("another team has no right to the result", [&] {
    const Reply R = C.callEntry(C.entries()[1], "GET", "/v1/jobs/sweep0/result",
                                {}, "nobody");
    CPPUNIT_ASSERT_EQUAL(401, R.Status_);
  });
  expectNoViolations(C, {"jobs"});
}
