// The scripted cases.
#include "cases.h"

#include "json.h"

#include <QDateTime>
#include <QFile>

#include <algorithm>
#include <array>
#include <map>
#include <set>

namespace heathercross::review {

QByteArray stepJob(const QByteArray &Fields) {
  return R"({"spec":"x","phases":[{"mem_mb":100,)" + Fields + "}]}";
}

QByteArray stateAt(Deployment &D, std::size_t Entry, const QString &Route,
                   const QString &Job) {
  const auto A = D.call(Entry, "GET", Route, Job);
  return A.Status_ == 200 ? objectOf(A.Body_)["state"].toString().toUtf8()
                          : QByteArray();
}

// An entry that holds the duties of several services is partitioned from the
// store. A client hands one job in for each of these services at the other
// entry, which takes the duties over, and cancels each at the former holder,
// which is still ready.
Verdict playCutHolder(Deployment &D, bool Disrupted) {
  constexpr int CutMs = 5500;
  constexpr int CancelMs = 3000;
  constexpr int StopMs = 400;
  constexpr int TryPauseMs = 20;
  constexpr int BeforeJobsMs = 2400;
  /// The client asks quickly and often.
  constexpr int DeadlineMs = 400;
  constexpr int Services = 10;
  std::vector<Deployment::RouteSpec> Routes;
  std::vector<QString> Pools;
  for (int I = 0; I < Services; ++I) {
    const QString Number = QString::number(I);
    Routes.push_back({"q" + Number, "service" + Number});
    Pools.push_back("service" + Number);
    D.addWorker("w" + Number, Pools.back(),
                [](const QString &) { return RunPlan{}; });
  }
  D.configure(1, Routes, Pools);
  D.startEntry();
  D.startEntry();
  D.runFor(2 * ContactMs);
  std::array<std::set<int>, 2> Held;
  for (int I = 0; I < Services; ++I)
    Held.at(D.holder(Pools[static_cast<std::size_t>(I)])).insert(I);
  const std::size_t Former = Held[0].size() >= Held[1].size() ? 0 : 1;
  const std::size_t Next = 1 - Former;
  std::set<int> Left = Held.at(Former);
  D.record("entry-" + std::to_string(Former) + " holds the duties of " +
           std::to_string(Left.size()) + " services");
  const qint64 CutAt = D.now();
  if (Disrupted)
    D.cutFromStore(Former, true);
  D.runFor(BeforeJobsMs);
  const QByteArray Body =
      stepJob(R"("cpu":1000,"count":1,"service_mode":true)");
  const auto JobOf = [](int I) {
    return QString("00000000000000d") + QString::number(I);
  };
  std::map<int, int> Cancelled;
  while (!Left.empty() && D.now() - CutAt < CutMs) {
    std::erase_if(Left, [&](int I) {
      const QString &Route = Routes[static_cast<std::size_t>(I)].Name_;
      if (D.call(Next, "POST", Route, JobOf(I), Body, DeadlineMs).Status_ !=
          200)
        return false;
      // The platform sends clients to entries that are ready.
      if (D.isReady(Former))
        Cancelled[I] =
            D.call(Former, "DELETE", Route, JobOf(I), {}, DeadlineMs).Status_;
      return true;
    });
    D.runFor(TryPauseMs);
  }
  D.runFor(static_cast<int>(std::max<qint64>(0, CutAt + CutMs - D.now())));
  if (Disrupted)
    D.cutFromStore(Former, false);
  D.runFor(ContactMs + CancelMs + StopMs + FinishMs);
  int Acknowledged = 0;
  int RunOn = 0;
  for (const auto &[I, Status] : Cancelled) {
    if (Status != 200 && Status != 410)
      continue;
    ++Acknowledged;
    RunOn += D.runs(JobOf(I) + ".0.0.0") ? 1 : 0;
    stateAt(D, Next, Routes[static_cast<std::size_t>(I)].Name_, JobOf(I));
  }
  D.record("verdict: " + std::to_string(Acknowledged) +
           " cancels were acknowledged, the tasks of " + std::to_string(RunOn) +
           " of these jobs run on");
  if (Acknowledged == 0)
    return Verdict::CannotTell;
  return RunOn > 0 ? Verdict::Broken : Verdict::Held;
}

// A machine is moved, then the holder of the fleet's duty and its successor are
// stopped as in a rolling restart, and the operator asks for that machine's
// upkeep.
Verdict playRollingRestart(Deployment &D, bool Disrupted) {
  constexpr int LeaseMs = 3000;
  constexpr int GapMs = 1050;
  constexpr int WatchMs = 8000;
  const auto Plan = [](const QString &) { return RunPlan{500, "done"}; };
  for (const char *Id : {"w1", "w2", "w3", "w4", "w5"})
    D.addWorker(Id, "ledger", Plan);
  D.addWorker("w6", "quoting", Plan);
  D.configure(1, {{"old", "ledger"}, {"kept", "quoting"}},
              {"ledger", "quoting"});
  for (int I = 0; I < 4; ++I)
    D.startEntry();
  D.runFor(2 * ContactMs);
  const auto Accepted = [&](std::size_t From) {
    const auto &All = D.orders();
    return std::find_if(All.begin() + static_cast<std::ptrdiff_t>(From),
                        All.end(),
                        [](const auto &O) { return O.Status_ == 200; });
  };
  const std::size_t Seen = D.orders().size();
  D.configure(2, {{"old", "ledger"}, {"kept", "quoting"}, {"new", "archive"}},
              {"ledger", "quoting", "archive"});
  D.require("a machine is moved", StepTimeoutMs,
            [&] { return Accepted(Seen) != D.orders().end(); });
  const MachineOrder First = *Accepted(Seen);
  D.requestWave(1, {First.Machine_}, 1, 10);
  if (Disrupted) {
    D.stopEntry(D.entryOf(First.Holder_));
    D.runFor(GapMs);
    const std::size_t Former = D.entryOf(First.Holder_);
    D.require("the duty has another holder", StepTimeoutMs,
              [&] { return D.holder("*fleet*") != Former; });
    D.stopEntry(D.holder("*fleet*"));
  }
  D.runFor(WatchMs);
  const auto &All = D.orders();
  const auto Second = std::ranges::find_if(All, [&](const auto &O) {
    return O.Machine_ == First.Machine_ && O.AtMs_ > First.AtMs_ &&
           O.Holder_ != First.Holder_;
  });
  if (Second == All.end()) {
    D.record("verdict: no other holder gave an order for the machine");
    return Verdict::Held;
  }
  D.record("verdict: another holder gave an order for the machine " +
           std::to_string(Second->AtMs_ - First.AtMs_) + " ms later");
  return Second->AtMs_ - First.AtMs_ < LeaseMs ? Verdict::Broken
                                               : Verdict::Held;
}

// The last route of a service is removed while a job with two tasks that last
// is at work there, and then the entries are restarted one after the other.
Verdict playLastRouteRemoved(Deployment &D, bool Disrupted) {
  const QString Job = "00000000000000c7";
  const std::vector<QString> Tasks{Job + ".0.0.0", Job + ".0.0.1"};
  const auto Lasting = [](const QString &) { return RunPlan{}; };
  for (const char *Id : {"w1", "w2", "w3"})
    D.addWorker(Id, "ledger", Lasting);
  for (const char *Id : {"w4", "w5", "w6"})
    D.addWorker(Id, "quoting", Lasting);
  const Deployment::RouteSpec Old{"old", "ledger"};
  const Deployment::RouteSpec Kept{"kept", "quoting"};
  D.configure(1, {Old, Kept}, {"ledger", "quoting"});
  D.startEntry();
  D.startEntry();
  D.require("the job is accepted", StepTimeoutMs, [&] {
    return D.submit(
        "old", Job,
        stepJob(R"("cpu":1000,"count":2,"service_mode":true,"lossy":1)"));
  });
  const auto AllRun = [&] {
    return std::ranges::all_of(Tasks, [&](const auto &T) { return D.runs(T); });
  };
  D.require("its tasks run", StepTimeoutMs, AllRun);
  D.configure(2, {Kept}, {"ledger", "quoting"});
  D.runFor(ConfigMs);
  if (Disrupted)
    for (std::size_t I = 0; I < D.entries(); ++I)
      D.restartEntry(I);
  // From 6 s after its last run, a task that lasts may be without a run for 3 s
  // at most while there is capacity for it, if these and the 4 s before them
  // are calm. Nothing is disrupted from here on.
  constexpr int CalmMs = 4000;
  constexpr int AfterRunMs = 6000;
  constexpr int MayBeAwayMs = 3000;
  constexpr int WatchMs = 25'000;
  D.runFor(CalmMs);
  const qint64 CalmSince = D.now();
  qint64 AwaySince = -1;
  const bool Broken = D.waitFor(WatchMs, [&] {
    if (AllRun())
      AwaySince = -1;
    else if (AwaySince < 0)
      AwaySince = D.now();
    return AwaySince >= CalmSince &&
           D.now() - AwaySince > AfterRunMs + MayBeAwayMs;
  });
  D.record(std::string("verdict: the tasks ") +
           (AllRun() ? "run" : "don't run, with three workers empty"));
  D.configure(3, {Old, Kept}, {"ledger", "quoting"});
  D.runFor(ConfigMs + ContactMs);
  stateAt(D, 0, "old", Job);
  return Broken ? Verdict::Broken : Verdict::Held;
}

// Two queues of one service. The route of one is removed while its job runs,
// the duty's holder is restarted, and then a run of the job's task fails once
// out of the four times that its queue allows.
Verdict playRouteRemoved(Deployment &D, bool Disrupted) {
  constexpr int Attempts = 4;
  constexpr qint64 FirstRunMs = 12'000;
  constexpr qint64 LaterRunMs = 500;
  const QString Job = "00000000000000c6";
  const QString Task = Job + ".0.0.0";
  int Starts = 0;
  const auto Plan = [&](const QString &) {
    return ++Starts == 1 ? RunPlan{FirstRunMs, "failed"}
                         : RunPlan{LaterRunMs, "done"};
  };
  for (const char *Id : {"w1", "w2", "w3"})
    D.addWorker(Id, "ledger", Plan);
  const Deployment::RouteSpec Old{"old", "ledger", Attempts};
  const Deployment::RouteSpec Kept{"kept", "ledger", Attempts};
  D.configure(1, {Old, Kept}, {"ledger"});
  D.startEntry();
  D.startEntry();
  D.require("the job is accepted", StepTimeoutMs, [&] {
    return D.submit("old", Job,
                    stepJob(R"("cpu":1000,"count":1,"est_ms":12000)"));
  });
  D.require("its task runs", StepTimeoutMs, [&] { return D.runs(Task); });
  D.configure(2, {Kept}, {"ledger"});
  D.runFor(ConfigMs);
  if (Disrupted)
    D.restartEntry(D.holder("ledger"));
  D.require("the first run ends", static_cast<int>(FirstRunMs) + StepTimeoutMs,
            [&] { return D.count("failed", Task) == 1; });
  D.runFor(FinishMs);
  D.configure(3, {Old, Kept}, {"ledger"});
  D.runFor(ConfigMs + ContactMs);
  const QByteArray State = stateAt(D, 0, "old", Job);
  const int Failed = D.count("failed", Task);
  D.record("verdict: " + std::to_string(Failed) + " of " +
           std::to_string(Attempts) + " runs have failed, " +
           std::to_string(D.count("start", Task)) + " were started, state " +
           State.toStdString());
  if (State == "failed" && Failed < Attempts)
    return Verdict::Broken;
  return State == "complete" ? Verdict::Held : Verdict::CannotTell;
}

// Jobs with long schedules are handed in for each of four services. A process
// over its memory limit is killed and started again, as the platform does it.
Verdict playLongSchedules(Deployment &D, bool Disrupted) {
  constexpr qint64 LimitKb = qint64{260} * 1024;
  constexpr int Services = 4;
  constexpr int JobsEach = 10;
  constexpr int CheckMs = 200;
  constexpr int WatchMs = 40'000;
  /// "three times in the day", on "two at least" of the machines.
  constexpr int MaxEnds = 3;
  constexpr std::ptrdiff_t MaxMachines = 2;
  const QByteArray Repeats = Disrupted ? "8640" : "8";
  std::vector<Deployment::RouteSpec> Routes;
  std::vector<QString> Pools;
  for (int I = 0; I < Services; ++I) {
    const QString Number = QString::number(I);
    Routes.push_back({"q" + Number, "service" + Number});
    Pools.push_back("service" + Number);
    D.addWorker("w" + Number, Pools.back(), [](const QString &) {
      return RunPlan{200, "done"};
    });
  }
  D.configure(1, Routes, Pools);
  D.startEntry();
  D.startEntry();
  D.runFor(ContactMs);
  std::vector<int> Ends(D.entries());
  const auto Enforce = [&] {
    for (std::size_t I = 0; I < D.entries(); ++I) {
      QFile Status("/proc/" + QString::number(D.processId(I)) + "/status");
      if (!Status.open(QIODevice::ReadOnly))
        continue;
      for (const QByteArray &Line : Status.readAll().split('\n'))
        if (Line.startsWith("VmRSS:") &&
            Line.simplified().split(' ').at(1).toLongLong() > LimitKb) {
          D.record("entry-" + std::to_string(I) + " " +
                   Line.simplified().toStdString());
          ++Ends[I];
          D.killEntry(I);
          break;
        }
    }
  };
  const qint64 Due = QDateTime::currentMSecsSinceEpoch() + 60'000;
  const QByteArray Body =
      R"({"spec":"x","repeats":)" + Repeats + R"(,"start_ms":)" +
      QByteArray::number(Due) +
      R"(,"interval_ms":300000,"phases":[{"count":20,"cpu":100,"mem_mb":10,"est_ms":200}]})";
  int Accepted = 0;
  const auto JobOf = [](int I) {
    return QString("00000000000ca%1").arg(I, 3, 10, QChar('0'));
  };
  for (int I = 0; I < Services * JobsEach; ++I) {
    const QString &Route = Routes[static_cast<std::size_t>(I % Services)].Name_;
    const auto Entry = static_cast<std::size_t>(I) % D.entries();
    if (D.call(Entry, "POST", Route, JobOf(I), Body).Status_ == 200)
      ++Accepted;
    Enforce();
  }
  for (const qint64 Since = D.now(); D.now() - Since < WatchMs;) {
    D.runFor(CheckMs);
    Enforce();
  }
  const QByteArray State = stateAt(D, 0, Routes.front().Name_, JobOf(0));
  D.record("verdict: " + std::to_string(Accepted) +
           " jobs accepted; processes over the limit: " +
           std::to_string(Ends[0]) + " and " + std::to_string(Ends[1]));
  const auto Machines =
      std::ranges::count_if(Ends, [](int Count) { return Count >= MaxEnds; });
  if (Machines >= MaxMachines)
    return Verdict::Broken;
  return State.isEmpty() ? Verdict::CannotTell : Verdict::Held;
}

} // namespace heathercross::review
