// The holder is killed while it deletes the rows of ended jobs.
#include "world.h"

#include <QJsonDocument>

#include <csignal>

namespace heathercross::review {

namespace {

constexpr int StatusKeptSeconds = 20;
constexpr int TrafficMs = 65'000;
constexpr int JobEveryMs = 30;
constexpr int EndMs = 85'000;

QString jobPath(int I) {
  return "/settle/" + QString("%1").arg(0xe0000 + I, 16, 16, QChar('0'));
}

/// Jobs whose progress a transaction deletes, but not the job.
std::vector<QString> halfDeleted(const QJsonObject &Body) {
  std::set<QString> Jobs;
  std::set<QString> Progress;
  for (const QJsonValue R : Body["remove"].toArray())
    if (R["table"].toString() == "jobs")
      Jobs.insert(R["key"].toString());
    else if (R["table"].toString() == "progress")
      Progress.insert(R["key"].toString());
  std::vector<QString> Found;
  for (const QString &Id : Progress)
    if (!Jobs.contains(Id))
      Found.push_back(Id);
  return Found;
}

/// Four tasks of 60 ms, one after the other.
QByteArray chainOfTasks() {
  constexpr int Steps = 4;
  QJsonArray List;
  for (int I = 0; I < Steps; ++I) {
    QJsonObject S{{"count", 1}, {"cpu", 500}, {"mem_mb", 10}, {"est_ms", 60}};
    if (I > 0)
      S["after"] = QJsonArray{I - 1};
    List.append(S);
  }
  return QJsonDocument(QJsonObject{{"spec", "60"}, {"phases", List}})
      .toJson(QJsonDocument::Compact);
}

} // namespace

Verdict purgedJobs(const QString &RecordFile) {
  World W(RecordFile, {.StatusKeptSeconds_ = StatusKeptSeconds});
  for (int I = 0; I < 4; ++I)
    W.addWorker(QString("i-%1").arg(I), "settlement");
  W.configure(3, {{"r-settle", "/settle/", "settlement"}});
  if (!W.startEntry(0))
    return Verdict::NotRun;
  World::runFor(3000); // entry 0 takes the duty
  if (!W.startEntry(1))
    return Verdict::NotRun;
  bool Killed = false;
  W.store().onAnswered([&](const QJsonObject &Body) {
    const auto Half = halfDeleted(Body);
    if (Killed || Half.empty())
      return;
    W.record("progress deleted, job row left: " + Half.front());
    Killed = true;
    if (World::trouble()) {
      W.record("kill entry 0");
      W.signal(0, SIGKILL);
    }
  });
  int Sent = 0;
  int Accepted = 0;
  bool Restarted = false;
  while (W.elapsedMs() < TrafficMs && W.runs().startedAfterDone().empty()) {
    if (Killed && World::trouble() && !std::exchange(Restarted, true)) {
      W.waitForEnd(0);
      World::runFor(1000); // the platform starts it again
      W.startEntry(0);
    }
    const QByteArray Body = chainOfTasks();
    W.send(Killed ? 1 : 0, "POST", jobPath(Sent++), Body,
           [&](const Answer &A) { Accepted += A.Status_ == 200 ? 1 : 0; });
    World::runFor(JobEveryMs);
  }
  World::waitFor([&] { return Killed; },
                 static_cast<int>(EndMs - W.elapsedMs()));
  if (Accepted == 0 || (World::trouble() && !Killed))
    return Verdict::NotRun;
  World::waitFor([&] { return !W.runs().startedAfterDone().empty(); }, 25'000);
  for (const QString &Task : W.runs().startedAfterDone())
    W.record("TWICE: started after its end was done: " + Task);
  return W.runs().startedAfterDone().empty() ? Verdict::Held : Verdict::Broken;
}

} // namespace heathercross::review
