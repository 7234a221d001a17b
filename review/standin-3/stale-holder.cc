// A frozen holder wakes up and answers a cancel from what it knew before.
#include "world.h"

#include <QJsonDocument>

#include <csignal>

namespace heathercross::review {

namespace {

constexpr std::size_t Frozen = 0;
constexpr std::size_t Other = 1;
constexpr int FreezeMs = 4000;
constexpr int SubmitMs = 3000;
constexpr int CancelSentMs = 3400;
constexpr int CancelMs = 3000;
constexpr int StopMs = 400;
constexpr int Steps = 6;
constexpr const char *Job = "/audit/00000000000c0001";

/// Steps of one task of 2 s, one after the other.
QByteArray longJob() {
  QJsonArray List;
  for (int I = 0; I < Steps; ++I) {
    QJsonObject S{
        {"count", 1}, {"cpu", 1000}, {"mem_mb", 10}, {"est_ms", 2000}};
    if (I > 0)
      S["after"] = QJsonArray{I - 1};
    List.append(S);
  }
  return QJsonDocument(QJsonObject{{"spec", "2000"}, {"phases", List}})
      .toJson(QJsonDocument::Compact);
}

} // namespace

Verdict staleHolder(const QString &RecordFile) {
  World W(RecordFile, {});
  for (int I = 0; I < 4; ++I)
    W.addWorker(QString("i-%1").arg(I), "reconcile");
  W.configure(3, {{"r-audit", "/audit/", "reconcile"}});
  if (!W.startEntry(Frozen))
    return Verdict::NotRun;
  World::runFor(4000); // entry 0 takes the duty
  if (!W.startEntry(Other))
    return Verdict::NotRun;
  World::runFor(2000);
  // A client keeps a connection open to entry 0.
  OpenConnection Client(W, Frozen);
  Client.send("GET", "/audit/");
  if (!World::waitFor([&] { return Client.status() == 200; }, 2000))
    return Verdict::NotRun;
  const qint64 Began = W.elapsedMs();
  const auto Until = [&](int Ms) {
    World::runFor(static_cast<int>(Began + Ms - W.elapsedMs()));
  };
  if (World::trouble()) {
    W.record("entry 0 stands still");
    W.signal(Frozen, SIGSTOP);
  }
  Until(SubmitMs);
  if (W.call(Other, "POST", Job, longJob()).Status_ != 200)
    return Verdict::NotRun;
  Until(CancelSentMs);
  Client.send("DELETE", Job);
  Until(FreezeMs);
  if (World::trouble()) {
    W.record("entry 0 wakes up");
    W.signal(Frozen, SIGCONT);
  }
  World::waitFor([&] { return Client.status() != 0; }, 3000);
  const qint64 AnsweredAt = W.elapsedMs();
  const bool Acknowledged =
      Client.status() / 100 == 2 || Client.status() == 410;
  const auto Starts = [&] {
    int Sum = 0;
    for (int I = 0; I < Steps; ++I)
      Sum += W.runs().starts(QString(Job).section('/', -1) +
                             QString(".0.%1.0").arg(I));
    return Sum;
  };
  World::runFor(static_cast<int>(AnsweredAt + CancelMs - W.elapsedMs()));
  const int StartsBefore = Starts();
  World::runFor(2 * 2000 + StopMs);
  const Answer State = W.call(Other, "GET", Job);
  if (!Acknowledged || Starts() == StartsBefore)
    return Verdict::Held;
  W.record(QString("UNASKED: %1 starts later than cancel_ms after the cancel "
                   "was acknowledged")
               .arg(Starts() - StartsBefore));
  return Verdict::Broken;
}

} // namespace heathercross::review
