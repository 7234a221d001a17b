// The cases that are played as scripts.
#include "review-scenarios.h"

#include "review-deployment.h"
#include "review-workers.h"

#include <QDateTime>
#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <csignal>
#include <map>

namespace heathercross::review {

namespace {

/// Bounds of the site file mtk-chipledger.
constexpr std::int64_t FinishMs = 14'000;
constexpr std::int64_t IdleMs = 3000;
constexpr std::int64_t AckMs = 4000;
constexpr std::int64_t CancelMs = 3000;
constexpr std::int64_t StopMs = 400;
constexpr int ClientTries = 5;
constexpr int EntryCount = 3;
constexpr int WorkersPerRack = 4;
constexpr int SettleMs = 4000;

const QString Service = "quoting";
const QString Prefix = "/quotes/";

QByteArray compact(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact);
}

QString machineName(int I) { return QString("m-%1").arg(I, 3, 10, QChar('0')); }

QString rack(int I) { return QString("r1-%1").arg(I / WorkersPerRack); }

/// A deployment of one service with its stand-ins.
struct Site {
  Site(const QString &RecordFile, const QString &Case)
      : Record_(RecordFile), World_{Store_, Record_, {}, {}, {}},
        Machines_(World_) {
    Record_.line("case " + Case);
    World_.PlanOf_ = [](const QString &) { return TaskPlan(); };
  }

  void addMachines(int Count) {
    for (int I = 0; I < Count; ++I)
      Machines_.add(machineName(I), Service, {"a", rack(I)});
  }

  /// Writes the first configuration and starts the entry processes.
  bool start(int Attempts) {
    QJsonObject Route{
        {"name", "r-1"},      {"host", "127.0.0.1"}, {"prefix", Prefix},
        {"kind", "mutating"}, {"timeout_ms", 3000},  {"slo_ms", 600},
        {"prio", 0},          {"service", Service},  {"attempts", Attempts},
        {"slo_factor", 1.6}};
    Store_.put("op", "config",
               {{"version", 3},
                {"routes", QJsonArray{Route}},
                {"services", QJsonArray{QJsonObject{{"name", Service},
                                                    {"standby", false}}}},
                {"limits", QJsonObject{{"max_body_bytes", 262144}}}});
    Deployment_ = std::make_unique<Deployment>(
        Record_, Platform{Store_.address(), Machines_.address(), QString()},
        EntryCount);
    if (!Deployment_->start())
      return false;
    runFor(SettleMs);
    return true;
  }

  /// Hands a job in and waits for the client's last answer.
  int submit(const QString &Job, const QJsonArray &Phases,
             const QJsonObject &More = {}) {
    QJsonObject Body{{"spec", "work"}, {"phases", Phases}};
    for (auto It = More.begin(); It != More.end(); ++It)
      Body[It.key()] = It.value();
    return ask("POST", Job, compact(Body));
  }

  int ask(const QByteArray &Method, const QString &Job,
          const QByteArray &Body = {}) {
    int Status = -1;
    Deployment_->callWithRetries(Next_++, Method, Prefix + Job, Body,
                                 ClientTries,
                                 [&](int Answer, const QByteArray &Text) {
                                   Status = Answer;
                                   LastBody_ = Text;
                                 });
    runFor(ClientTries * 3500, [&] { return Status >= 0; });
    return Status;
  }

  std::vector<const RunRecord *> runsOf(const QString &Job) const {
    std::vector<const RunRecord *> Found;
    for (const RunRecord &R : World_.Runs_)
      if (R.Task_.startsWith(Job + "."))
        Found.push_back(&R);
    return Found;
  }

  /// The first time at or after From at which nothing of the job has run for
  /// IdleMs; negative if there is none until now.
  std::int64_t idleSince(const QString &Job, std::int64_t From) const {
    std::vector<std::pair<std::int64_t, std::int64_t>> Busy;
    for (const RunRecord *R : runsOf(Job))
      Busy.emplace_back(R->StartedAt_, R->EndedAt_ < 0 ? nowMs() : R->EndedAt_);
    std::ranges::sort(Busy);
    std::int64_t Covered = From;
    for (const auto &[Begin, End] : Busy) {
      if (Begin - Covered >= IdleMs)
        return Covered;
      Covered = std::max(Covered, End);
    }
    return nowMs() - Covered >= IdleMs ? Covered : -1;
  }

  Verdict verdict(bool Broken, const QString &Why) {
    Record_.line((Broken ? "BROKEN: " : "held: ") + Why);
    return Broken ? Verdict::Broken : Verdict::Held;
  }

  Verdict notRun(const QString &Why) {
    Record_.line("not run: " + Why);
    return Verdict::NotRun;
  }

  Record Record_;
  Store Store_;
  World World_;
  Machines Machines_;
  std::unique_ptr<Deployment> Deployment_;
  std::size_t Next_ = 0;
  QByteArray LastBody_;
};

QJsonObject step(int Count, int Cpu, int EstimateMs) {
  return {
      {"count", Count}, {"cpu", Cpu}, {"mem_mb", 1000}, {"est_ms", EstimateMs}};
}

/// One accepted job with a task of minutes that needs the kind of worker of
/// which the service has one. Without the trouble the task takes 20 s.
Verdict playLongTasks(bool Trouble, const QString &RecordFile) {
  Site S(RecordFile, "long-tasks");
  constexpr int Workers = 9;
  const int TaskMs = Trouble ? 400'000 : 20'000;
  S.World_.PlanOf_ = [TaskMs](const QString &) { return TaskPlan{TaskMs}; };
  S.addMachines(Workers - 1);
  S.Machines_.add(machineName(Workers - 1), Service, {"b", rack(Workers - 1)});
  if (!S.start(2))
    return S.notRun("the entries don't start");
  QJsonObject Step = step(1, 4000, TaskMs);
  Step["requires"] = "b";
  const QString Job = "00000000000000a1";
  if (S.submit(Job, {Step}) != 200)
    return S.notRun("the job isn't accepted");
  const std::int64_t TrafficEnd = nowMs();
  const auto Count = [&](const char *How) {
    const auto Runs = S.runsOf(Job);
    return std::ranges::count_if(
        Runs, [How](const RunRecord *R) { return R->How_ == How; });
  };
  runFor(Trouble ? 45'000 : 30'000, [&] { return Count("done") == 1; });
  S.Record_.line(
      QString("%1 runs, %2 done, %3 stopped by the system, nobody cancelled")
          .arg(S.runsOf(Job).size())
          .arg(Count("done"))
          .arg(Count("stopped")));
  if (Count("done") == 1)
    return S.verdict(false, "the task was done");
  const std::int64_t Idle = S.idleSince(Job, TrafficEnd + FinishMs);
  return S.verdict(Idle >= 0,
                   QString("LOST: nothing of the accepted job ran for 3 s "
                           "from %1 ms on, with all workers idle")
                       .arg(Idle));
}

/// A scheduled job with many occurrences beside jobs that last, which are
/// cancelled later. Without the trouble the scheduled job has few occurrences.
Verdict playManyOccurrences(bool Trouble, const QString &RecordFile) {
  Site S(RecordFile, "many-occurrences");
  S.World_.PlanOf_ = [](const QString &Task) {
    return TaskPlan{Task.startsWith("00000000000000b2") ? 500 : 0};
  };
  S.addMachines(9);
  if (!S.start(4))
    return S.notRun("the entries don't start");
  const QString Scheduled = "00000000000000b2";
  const std::vector<QString> Lasting{"00000000000000b3", "00000000000000b4",
                                     "00000000000000b5", "00000000000000b6"};
  QJsonObject LastingStep = step(2, 2000, 1000);
  LastingStep["service_mode"] = true;
  for (const QString &Job : Lasting)
    if (S.submit(Job, {LastingStep}) != 200)
      return S.notRun("a lasting job isn't accepted");
  const qint64 First = QDateTime::currentMSecsSinceEpoch() + 3000;
  // Every 10 s for a day, or for a minute and a half.
  const int Repeats = Trouble ? 8640 : 9;
  if (S.submit(Scheduled, {step(8, 1000, 500)},
               {{"repeats", Repeats},
                {"start_ms", First},
                {"interval_ms", 10'000}}) != 200)
    return S.notRun("the scheduled job isn't accepted");
  runFor(12'000);
  std::map<QString, std::int64_t> SentAt;
  std::map<QString, int> Answers;
  for (const QString &Job : Lasting) {
    SentAt[Job] = nowMs();
    S.Deployment_->callWithRetries(
        S.Next_++, "DELETE", Prefix + Job, {}, ClientTries,
        [&Answers, Job](int Status, const QByteArray &) {
          Answers[Job] = Status;
        });
    runFor(700);
  }
  runFor(35'000);
  S.Record_.line(QString("the store rejected %1 transactions with a row over "
                         "row_bytes")
                     .arg(S.Store_.oversized()));
  for (const QString &Job : Lasting) {
    const std::int64_t Owed = SentAt[Job] + AckMs + CancelMs;
    S.Record_.line(QString("cancel of %1: sent at %2 ms, last answer %3")
                       .arg(Job)
                       .arg(SentAt[Job])
                       .arg(Answers[Job]));
    for (const RunRecord *R : S.runsOf(Job)) {
      const bool Starts = R->StartedAt_ > Owed;
      if (Starts || R->EndedAt_ < 0 || R->EndedAt_ > Owed + StopMs)
        return S.verdict(true,
                         QString("UNASKED: %1 of the cancelled job %2 at %3 ms")
                             .arg(R->Task_, Starts ? "starts" : "runs on")
                             .arg(Starts ? R->StartedAt_ : Owed + StopMs));
    }
  }
  return S.verdict(false, "no task of a cancelled job starts or runs on");
}

/// A job whose tasks always fail, in a queue with 12 attempts. Without the
/// trouble its tasks are done.
Verdict playManyAttempts(bool Trouble, const QString &RecordFile) {
  Site S(RecordFile, "many-attempts");
  constexpr int Attempts = 12;
  S.World_.PlanOf_ = [Trouble](const QString &) {
    return TaskPlan{300, Trouble};
  };
  S.addMachines(9);
  if (!S.start(Attempts))
    return S.notRun("the entries don't start");
  const QString Job = "00000000000000c1";
  if (S.submit(Job, {step(1, 1000, 300)}) != 200)
    return S.notRun("the job isn't accepted");
  runFor(40'000);
  S.ask("GET", Job);
  const auto Runs = S.runsOf(Job);
  // Starts after the ends of 12 failed runs were taken note of.
  std::int64_t NotedAt = -1;
  int Failed = 0;
  for (const RunRecord *R : Runs)
    if (R->How_ == "failed" && R->NotedAt_ >= 0 && ++Failed == Attempts)
      NotedAt = R->NotedAt_;
  const auto After = std::ranges::count_if(Runs, [&](const RunRecord *R) {
    return NotedAt >= 0 && R->StartedAt_ > NotedAt;
  });
  return S.verdict(After > 0,
                   QString("BUDGET: %1 starts after %2 failed runs were taken "
                           "note of; the job's state is %3")
                       .arg(After)
                       .arg(Attempts)
                       .arg(QString::fromUtf8(S.LastBody_)));
}

/// A job that requires the label of a rack, in an idle service. Without the
/// trouble it requires none.
Verdict playRequiredLabel(bool Trouble, const QString &RecordFile) {
  Site S(RecordFile, "required-label");
  constexpr int Workers = 12;
  S.addMachines(Workers);
  if (!S.start(2))
    return S.notRun("the entries don't start");
  const QString Job = "00000000000000e1";
  QJsonObject Step = step(4, 1000, 1000);
  if (Trouble)
    Step["requires"] = "r1-0";
  if (S.submit(Job, {Step}) != 200)
    return S.notRun("the job isn't accepted");
  const std::int64_t TrafficEnd = nowMs();
  runFor(60'000, [&] {
    const auto Runs = S.runsOf(Job);
    return nowMs() > TrafficEnd + FinishMs + IdleMs && !Runs.empty();
  });
  S.ask("GET", Job);
  const auto Runs = S.runsOf(Job);
  const bool Done = std::ranges::any_of(
      Runs, [](const RunRecord *R) { return R->How_ == "done"; });
  const std::int64_t Idle = S.idleSince(Job, TrafficEnd + FinishMs);
  return S.verdict(!Done && Idle >= 0,
                   QString("LOST: %1 runs of the accepted job, state %2, and "
                           "%3 idle workers in its service")
                       .arg(Runs.size())
                       .arg(QString::fromUtf8(S.LastBody_))
                       .arg(Workers));
}

/// A worker leaves an order unanswered; the order is repeated and its task is
/// done. Then the worker crashes, starts again under its id, and the first
/// order arrives. Without the trouble the order is answered and no worker
/// crashes.
Verdict playFormerLife(bool Trouble, const QString &RecordFile) {
  constexpr int DownMs = 4500;

  Site S(RecordFile, "former-life");
  S.World_.PlanOf_ = [](const QString &) { return TaskPlan{500}; };
  S.addMachines(9);
  QString Worker;
  QJsonObject Order;
  S.World_.IsLate_ = [&](const QString &Id, const QJsonObject &O) {
    if (!Trouble || !Worker.isEmpty())
      return false;
    Worker = Id;
    Order = O;
    return true;
  };
  if (!S.start(2))
    return S.notRun("the entries don't start");
  const QString Job = "00000000000000f1";
  if (S.submit(Job, {step(1, 1000, 500)}) != 200)
    return S.notRun("the job isn't accepted");
  const auto Noted = [&]() -> std::int64_t {
    for (const RunRecord *R : S.runsOf(Job))
      if (R->How_ == "done" && R->NotedAt_ >= 0)
        return R->NotedAt_;
    return -1;
  };
  if (!runFor(10'000, [&] { return Noted() >= 0; }))
    return S.notRun("the task isn't done");
  S.ask("GET", Job);
  if (Trouble) {
    S.Machines_.crash(Worker);
    runFor(DownMs);
    auto &Again = S.Machines_.startAgain(Worker);
    Again.carryOut(Order);
  }
  runFor(4000);
  const auto Runs = S.runsOf(Job);
  const auto Late = std::ranges::find_if(
      Runs, [&](const RunRecord *R) { return R->StartedAt_ > Noted(); });
  if (Late == Runs.end())
    return S.verdict(false, "TWICE: the task ran once");
  return S.verdict(true, QString("TWICE: %1 starts at %2 ms, its end was taken "
                                 "note of at %3 ms")
                             .arg((*Late)->Task_)
                             .arg((*Late)->StartedAt_)
                             .arg(Noted()));
}

} // namespace

Verdict play(const QString &Name, bool Trouble, const QString &RecordFile) {
  using Case = Verdict (*)(bool, const QString &);
  const std::map<QString, Case> Cases{{"long-tasks", playLongTasks},
                                      {"many-occurrences", playManyOccurrences},
                                      {"many-attempts", playManyAttempts},
                                      {"required-label", playRequiredLabel},
                                      {"former-life", playFormerLife}};
  const auto It = Cases.find(Name);
  return It == Cases.end() ? Verdict::NotRun : It->second(Trouble, RecordFile);
}

} // namespace heathercross::review
