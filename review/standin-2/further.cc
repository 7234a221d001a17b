// Faults that are shown here and aren't among the five cases.
#include "cases.h"

#include <algorithm>

namespace heathercross::review {

// A worker crashes and starts again as another kind, without the label that a
// task requires, while the start of that task is on its way to it.
Verdict playOtherKind(Deployment &D, bool Disrupted) {
  constexpr qint64 RunMs = 500;
  const QString Job = "00000000000000cb";
  const QString Task = Job + ".0.0.0";
  const auto Plan = [](const QString &) { return RunPlan{RunMs, "done"}; };
  Worker &W = D.addWorker("w2", "ledger", Plan);
  W.startAgain("gold");
  D.addWorker("w1", "ledger", Plan);
  D.configure(1, {{"old", "ledger"}}, {"ledger"});
  D.startEntry();
  D.startEntry();
  D.require("a first job runs", StepTimeoutMs, [&] {
    return D.submit(
               "old", "00000000000000cc",
               stepJob(
                   R"("cpu":1000,"count":1,"requires":"gold","est_ms":500)")) &&
           D.waitFor(ContactMs, [&] {
             return D.count("done", "00000000000000cc.0.0.0") > 0;
           });
  });
  D.runFor(ContactMs);
  if (Disrupted)
    W.fallSilent();
  D.require("the job is accepted", StepTimeoutMs, [&] {
    return D.submit(
        "old", Job,
        stepJob(R"("cpu":1000,"count":1,"requires":"gold","est_ms":500)"));
  });
  D.runFor(1000);
  if (Disrupted) {
    W.startAgain("silver");
    D.record("worker w2: has started again, without the label gold");
    D.registerWorkers();
  }
  D.runFor(FinishMs);
  const int Starts = D.count("start", Task);
  D.record("verdict: " + std::to_string(Starts) + " starts, w2 is " +
           W.kind().toStdString());
  if (!Disrupted)
    return Starts == 1 ? Verdict::Held : Verdict::CannotTell;
  return Starts > 0 ? Verdict::Broken : Verdict::Held;
}

// The start of a task gets no answer and is carried out late, when its worker
// has crashed and started again. Meanwhile the duty's holder has been killed,
// and the next one has started the task on another worker.
Verdict playTakeover(Deployment &D, bool Disrupted) {
  const QString Job = "00000000000000e1";
  const QString Task = Job + ".0.0.0";
  const auto Plan = [](const QString &) { return RunPlan{25'000, "done"}; };
  Worker &W = D.addWorker("w1", "ledger", Plan);
  Worker &V = D.addWorker("w2", "ledger", Plan);
  V.startAgain("gold");
  D.registerWorkers();
  D.configure(1, {{"old", "ledger"}}, {"ledger"});
  D.startEntry();
  D.startEntry();
  D.runFor(2 * ContactMs);
  if (Disrupted) {
    W.delayStart(Task);
    V.delayStart(Task);
  }
  D.require("the job is accepted", StepTimeoutMs, [&] {
    return D.submit("old", Job,
                    stepJob(R"("cpu":6000,"count":1,"est_ms":25000)"));
  });
  D.runFor(100);
  D.require("a filler is accepted", StepTimeoutMs, [&] {
    return D.submit(
        "old", "00000000000000e2",
        stepJob(R"("cpu":10000,"count":1,"requires":"gold","est_ms":25000)"));
  });
  D.runFor(100);
  if (!Disrupted) {
    D.runFor(20'000);
    return D.count("start", Task) == 1 ? Verdict::Held : Verdict::Broken;
  }
  if (!W.holdsLateStart())
    return Verdict::CannotTell;
  D.killEntry(D.holder("ledger"));
  D.require("the task runs", 15'000, [&] { return D.runs(Task); });
  if (W.runs(Task))
    return Verdict::CannotTell;
  D.runFor(500);
  W.fallSilent();
  D.runFor(2000);
  W.startAgain("a");
  D.record("worker w1: has started again");
  W.carryOutLate();
  D.registerWorkers();
  const bool Twice = W.runs(Task) && V.runs(Task);
  D.runFor(3000);
  return Twice ? Verdict::Broken : Verdict::Held;
}

// Both members of a gang fail in its first run, on a queue that allows two
// failed runs. Without the disruption one fails and the other is broken off.
Verdict playGang(Deployment &D, bool Disrupted) {
  const QString Job = "00000000000000e3";
  int Runs = 0;
  const auto Plan = [&](const QString &) {
    const bool First = ++Runs <= 2;
    return RunPlan{1000, First && (Disrupted || Runs == 1) ? "failed"
                         : First                           ? "broken"
                                                           : "done"};
  };
  D.addWorker("w1", "ledger", Plan);
  D.addWorker("w2", "ledger", Plan);
  D.configure(1, {{"old", "ledger", 2}}, {"ledger"});
  D.startEntry();
  D.startEntry();
  D.runFor(2 * ContactMs);
  D.require("the job is accepted", StepTimeoutMs, [&] {
    return D.submit(
        "old", Job,
        stepJob(
            R"("cpu":1000,"count":2,"gang":true,"anti_affinity":1,"est_ms":1000)"));
  });
  D.runFor(FinishMs);
  const QByteArray State = stateAt(D, 0, "old", Job);
  return State == "failed"     ? Verdict::Broken
         : State == "complete" ? Verdict::Held
                               : Verdict::CannotTell;
}

// An upkeep gets no answer and is carried out late. Meanwhile the holder of the
// fleet's duty has lost power, and the next one has sent another machine of the
// wave into its upkeep.
Verdict playLateUpkeep(Deployment &D, bool Disrupted) {
  const auto Plan = [](const QString &) { return RunPlan{20'000, "done"}; };
  Worker &W = D.addWorker("w1", "ledger", Plan);
  W.startAgain("gold");
  for (const char *Id : {"w2", "w3", "w4"})
    D.addWorker(Id, "ledger", Plan);
  D.registerWorkers();
  D.configure(1, {{"old", "ledger"}}, {"ledger"});
  D.startEntry();
  D.runFor(1500);
  D.startEntry();
  D.startEntry();
  D.runFor(2 * ContactMs);
  if (Disrupted)
    D.delayNextUpkeep(5500);
  D.requestWave(1, {"m-w1", "m-w2"}, 1, 25);
  if (Disrupted) {
    D.require("an upkeep is ordered", StepTimeoutMs,
              [&] { return !D.delayedMachine().isEmpty(); });
    D.require("the job is accepted", StepTimeoutMs, [&] {
      return D.submit(
          "old", "00000000000000e4",
          stepJob(R"("cpu":1000,"count":1,"requires":"gold","est_ms":20000)"));
    });
    D.powerOff(D.holder("*fleet*"));
  }
  std::size_t Most = 0;
  D.waitFor(20'000, [&] {
    Most = std::max(Most, D.machinesDown());
    return false;
  });
  D.record("verdict: at most " + std::to_string(Most) +
           " machines down at once");
  return Most > 1 ? Verdict::Broken : Verdict::Held;
}

} // namespace heathercross::review
