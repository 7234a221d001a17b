// Tests of the history checker: for each check a correct history passes, and
// histories with one injected fault fail.
#include "standin/common/checker.h"
#include "support/story.h"

using namespace heathercross::standin;
using heathercross::test::section;

namespace {

/// Parses a history of one JSON object a line, written with single instead of
/// double quotes and with times in milliseconds instead of microseconds.
HistoryEvents parseEvents(std::string Json) {
  for (char &C : Json)
    C = C == '\'' ? '"' : C;
  int BadLines = 0;
  HistoryEvents Events = parseHistory(Json, BadLines);
  CPPUNIT_ASSERT_EQUAL(0, BadLines);
  for (HistoryEvent &E : Events)
    E.TimeUs_ *= 1000;
  return Events;
}

using CheckFunction = CheckResult (*)(const HistoryEvents &);

void expectNoViolation(CheckFunction Check, const std::string &Json,
                       std::int64_t Checked) {
  const CheckResult Result = Check(parseEvents(Json));
  CPPUNIT_ASSERT_EQUAL(std::string(),
                       Result.Violations_.empty() ? "" : Result.Violations_[0]);
  CPPUNIT_ASSERT_EQUAL(Checked, Result.Checked_);
}

void expectViolation(CheckFunction Check, const std::string &Json) {
  CPPUNIT_ASSERT(!Check(parseEvents(Json)).Violations_.empty());
}

std::string sentEvent(int At, const std::string &Id, int Try = 1) {
  return "{'t':" + std::to_string(At) + ",'p':'load','k':'sent','id':'" + Id +
         "','key':'key-" + Id + "','digest':'d-" + Id +
         "','try':" + std::to_string(Try) + "}\n";
}

std::string answerEvent(int At, const std::string &Id,
                        const std::string &Outcome, int Own = 1, int Port = 1) {
  return "{'t':" + std::to_string(At) + ",'p':'load','k':'answer','id':'" + Id +
         "','key':'key-" + Id + "','digest':'d-" + Id + "','outcome':'" +
         Outcome + "','request':'r-" + Id + "','own':" + std::to_string(Own) +
         ",'port':" + std::to_string(Port) + "}\n";
}

std::string workerEvent(int At, const char *Kind, const std::string &Id,
                        const std::string &Attempt, const char *Worker = "w1") {
  return "{'t':" + std::to_string(At) + ",'p':'" + Worker + "','k':'" + Kind +
         "','id':'r-" + Id + "','digest':'d-" + Id + "','attempt':'" + Attempt +
         "','result':'done'}\n";
}

/// Returns a commit of one row to the store; the value is JSON with single
/// quotes.
std::string commitEvent(int At, const std::string &Key,
                        const std::string &Value) {
  std::string Escaped;
  for (const char C : Value)
    Escaped += C == '\'' ? std::string("\\'") : std::string(1, C);
  return "{'t':" + std::to_string(At) +
         ",'p':'platform','k':'commit','id':'a','put':[{'key':'" + Key +
         "','value':'" + Escaped + "'}],'erase':[]}\n";
}

std::string instanceCommit(int At, const std::string &Id,
                           const std::string &Pool, const std::string &State) {
  return commitEvent(At, "instance/" + Id,
                     "{'pool':'" + Pool + "','state':'" + State + "'}");
}

std::string event(int At, const std::string &Process, const std::string &Kind,
                  const std::string &Id, const std::string &MoreFields = "") {
  return "{'t':" + std::to_string(At) + ",'p':'" + Process + "','k':'" + Kind +
         "','id':'" + Id + "'" + MoreFields + "}\n";
}

std::string headEvent(int At, int Head) {
  return event(At, "load", "head", "1", ",'head':" + std::to_string(Head));
}

std::string jobCommit(int At, const std::string &State, int Bills) {
  return commitEvent(At, "job/j",
                     "{'state':'" + State +
                         "','bills':" + std::to_string(Bills) + "}");
}

std::string manyRequests(int Count, const char *Outcome, int TriesEach) {
  std::string Json;
  for (int I = 0; I < Count; ++I) {
    const std::string Id = std::to_string(I);
    Json += sentEvent(I, Id);
    for (int TryIndex = 0; TryIndex < TriesEach; ++TryIndex)
      Json += workerEvent(I, "refuse", Id, Id + '-' + std::to_string(TryIndex));
    Json += answerEvent(I, Id, Outcome);
  }
  return Json;
}

} // namespace

HEATHERCROSS_STORY(RequestChecks, "the checker verifies requests") {
  const std::string RanOnce = sentEvent(1, "a") +
                              workerEvent(2, "start", "a", "t1") +
                              workerEvent(3, "end", "a", "t1");
  section("at most once", [&] {
    expectNoViolation(
        checkAtMostOnce,
        RanOnce + sentEvent(4, "a", 2) + answerEvent(5, "a", "done"), 1);
    section("a second start on any worker is detected", [&] {
      expectViolation(checkAtMostOnce,
                      RanOnce + workerEvent(9, "start", "a", "t2", "w2"));
    });
  });
  section("not run is true", [&] {
    expectNoViolation(checkNotRun,
                      sentEvent(1, "a") + answerEvent(2, "a", "not-run"), 1);
    expectNoViolation(checkNotRun,
                      sentEvent(1, "a") +
                          "{'t':2,'p':'l','k':'answer','id':'a','digest':'d-a',"
                          "'outcome':'not-run','request':'r1'}\n" +
                          sentEvent(3, "a", 2) +
                          workerEvent(4, "start", "a", "t2") +
                          answerEvent(5, "a", "done"),
                      1);
    section("a start before the answer is detected", [&] {
      expectViolation(checkNotRun, RanOnce + answerEvent(9, "a", "not-run"));
    });
    section("a start long after the answer is detected", [&] {
      expectViolation(checkNotRun, sentEvent(1, "a") +
                                       answerEvent(2, "a", "not-run") +
                                       workerEvent(9999, "start", "a", "t1"));
    });
    section("so is one under the request's id with another body", [&] {
      expectViolation(checkNotRun,
                      sentEvent(1, "a") + answerEvent(2, "a", "not-run") +
                          event(5, "w1", "start", "r-a", ",'digest':'other'"));
    });
  });
  section("own and whole answers", [&] {
    expectNoViolation(checkOwnAnswer, RanOnce + answerEvent(4, "a", "done"), 1);
    section("an answer for another caller is detected", [&] {
      expectViolation(checkOwnAnswer, RanOnce + answerEvent(4, "a", "done", 0));
    });
    section("an answer without work is detected", [&] {
      expectViolation(checkOwnAnswer, sentEvent(1, "a") +
                                          workerEvent(2, "start", "a", "t1") +
                                          answerEvent(4, "a", "done"));
    });
  });
  section("tries and unknown outcomes", [&] {
    expectNoViolation(checkTries, manyRequests(300, "done", 1), 300);
    expectViolation(checkTries, manyRequests(300, "done", 2));
    expectNoViolation(checkUnknownOutcomes, manyRequests(300, "done", 1), 300);
    expectViolation(checkUnknownOutcomes, manyRequests(300, "unknown", 1));
    expectViolation(checkUnknownOutcomes, manyRequests(300, "timeout", 1));
    expectNoViolation(checkUnknownOutcomes, manyRequests(300, "not-run", 0),
                      300);
    section("a retry that is not run after an unknown try settles nothing",
            [&] {
              expectViolation(checkUnknownOutcomes,
                              manyRequests(300, "unknown", 1) +
                                  manyRequests(300, "not-run", 0));
            });
  });
}

HEATHERCROSS_STORY(JobCheck, "the checker verifies jobs") {
  const std::string Accepted = event(1, "test", "job-accepted", "j");
  expectNoViolation(
      checkJobs,
      Accepted + jobCommit(1, "waiting", 0) + jobCommit(2, "done", 1), 1);
  section("a job without a row is detected",
          [&] { expectViolation(checkJobs, Accepted); });
  section("a second bill is detected", [&] {
    expectViolation(checkJobs, Accepted + jobCommit(1, "done", 1) +
                                   jobCommit(2, "done", 2));
    expectViolation(checkJobs, jobCommit(1, "done", 1) +
                                   jobCommit(2, "done", 0) +
                                   jobCommit(3, "done", 1));
  });
  section("a final state that changes is detected", [&] {
    expectViolation(checkJobs,
                    jobCommit(1, "cancelled", 0) + jobCommit(2, "done", 1));
  });
  section("an erased job is detected", [&] {
    expectViolation(checkJobs,
                    "{'t':1,'p':'platform','k':'commit','id':'a','put':[],"
                    "'erase':['job/j']}\n");
  });
}

HEATHERCROSS_STORY(FleetChecks, "the checker verifies the fleet") {
  const std::string TwoActive =
      commitEvent(1, "view/budget/p", "{'budget':{'min_available':1}}") +
      instanceCommit(1, "w1", "p", "active") +
      instanceCommit(1, "w2", "p", "active");
  section("one pool", [&] {
    const std::string WithRunningWork =
        TwoActive + workerEvent(2, "start", "a", "t1");
    expectNoViolation(checkOnePool,
                      WithRunningWork + workerEvent(3, "end", "a", "t1") +
                          instanceCommit(4, "w1", "q", "active"),
                      3);
    section("a move with work running is detected", [&] {
      expectViolation(checkOnePool,
                      WithRunningWork + instanceCommit(4, "w1", "q", "active"));
    });
  });
  section("budget", [&] {
    const std::string OneDraining =
        TwoActive + instanceCommit(2, "w1", "p", "draining");
    expectNoViolation(checkAvailabilityBudget, OneDraining, 1);
    section("a drain below the budget is detected", [&] {
      expectViolation(checkAvailabilityBudget,
                      OneDraining + instanceCommit(3, "w2", "p", "draining"));
    });
    section("a move below the budget is detected", [&] {
      expectViolation(checkAvailabilityBudget,
                      OneDraining + instanceCommit(3, "w2", "q", "active"));
    });
    section("a worker that died long ago doesn't count as available", [&] {
      expectViolation(checkAvailabilityBudget,
                      TwoActive + event(2, "w2", "die", "w2") +
                          instanceCommit(9000, "w1", "p", "draining"));
    });
    section("one that has just died may still count", [&] {
      expectNoViolation(checkAvailabilityBudget,
                        TwoActive + event(2, "w2", "die", "w2") +
                            instanceCommit(500, "w1", "p", "draining"),
                        1);
    });
  });
  section("leaving", [&] {
    const std::string ListedAsLeaving =
        event(1, "platform", "listed", "w1", ",'state':'leaving'");
    expectNoViolation(checkLeaving,
                      ListedAsLeaving + workerEvent(2900, "refuse", "a", "t"),
                      1);
    for (const char *Kind : {"start", "refuse", "task-start"})
      expectViolation(checkLeaving,
                      ListedAsLeaving + workerEvent(3100, Kind, "a", "t"));
    expectViolation(checkLeaving, event(1, "w1", "leaving", "w1") +
                                      workerEvent(3100, "start", "a", "t"));
  });
  section("planned stop", [&] {
    const std::string EntryStop = event(5, "test", "entry-stop", "1");
    expectNoViolation(checkPlannedStop, EntryStop + answerEvent(9, "a", "done"),
                      1);
    for (const char *Outcome : {"cut", "refused", "timeout"})
      expectViolation(checkPlannedStop,
                      EntryStop + answerEvent(9, "a", Outcome));
    section("a killed entry may cut replies", [&] {
      expectNoViolation(
          checkPlannedStop,
          event(2, "test", "entry-kill", "1") + answerEvent(9, "a", "cut"), 0);
    });
  });
  section("maintenance", [&] {
    expectViolation(checkMaintenance,
                    event(1, "w1", "reboot", "w1") +
                        event(1, "w1", "cut", "t1", ",'reason':'reboot'"));
  });
}

HEATHERCROSS_STORY(ConfigurationCheck, "the checker verifies configuration") {
  const std::string Committed =
      headEvent(1, 0) + commitEvent(1000, "head", "{'ticket':1}");
  expectNoViolation(checkConfiguration,
                    Committed + headEvent(1500, 0) + headEvent(3000, 1), 3);
  section("a head that goes down is detected", [&] {
    expectViolation(checkConfiguration, headEvent(1, 2) + headEvent(2, 1));
  });
  section("a ticket that doesn't come into force in time is detected", [&] {
    std::string Json = Committed;
    for (int At = 1000; At < 10000; At += 500)
      Json += headEvent(At, 0);
    expectViolation(checkConfiguration, Json);
  });
  section("the deadline restarts for an entry that was away", [&] {
    expectNoViolation(checkConfiguration,
                      Committed + headEvent(20000, 0) + headEvent(20500, 1), 3);
  });
}
