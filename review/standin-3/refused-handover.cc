// The store is down while a holder gives its duty back because of load.
#include "world.h"

#include <QJsonDocument>

namespace heathercross::review {

namespace {

constexpr std::size_t Small = 0;
constexpr std::size_t Large = 1;
/// A processor share of 0.12 is 12 ms of each 100 ms.
constexpr int SmallRunMs = 12;
/// How long the store is down.
constexpr int DownMs = 500;
constexpr int FinishMs = 14'000;
constexpr int IdleMs = 3000;

QString jobPath(int I) {
  return "/quotes/" + QString("%1").arg(0xf0000 + I, 16, 16, QChar('0'));
}

/// Whether a transaction gives the duty of the pool back.
bool givesBack(const QJsonObject &Body) {
  for (const QJsonValue P : Body["set_keys"].toArray()) {
    if (P["table"].toString() != "holders" || P["part"].toString() != "quoting")
      continue;
    const auto Row = QJsonDocument::fromJson(
        QByteArray::fromBase64(P["value"].toString().toLatin1()));
    return Row["holder"].toString().isEmpty();
  }
  return false;
}

} // namespace

Verdict refusedHandover(const QString &RecordFile) {
  World W(RecordFile, {.CpuShares_ = {0.12, 0.5}});
  for (int I = 0; I < 10; ++I)
    W.addWorker(QString("i-%1").arg(I), "quoting");
  W.configure(3, {{"r-quotes", "/quotes/", "quoting"}});
  if (!W.startEntry(Small))
    return Verdict::NotRun;
  World::runFor(4000); // the small entry takes the duty
  if (W.submit(Small, jobPath(0), 1, "100").Status_ != 200)
    return Verdict::NotRun;
  // Planned work: one worker leaves, and later another one comes.
  W.removeWorker("i-9", 3000);
  World::runFor(4000);
  W.addWorker("i-a", "quoting");
  World::runFor(2000);
  if (!W.startEntry(Large))
    return Verdict::NotRun;
  World::runFor(2000);
  bool HandedOver = false;
  W.store().onTransaction([&](const QJsonObject &Body) -> Fate {
    if (!givesBack(Body))
      return {};
    W.record("write that gives the duty back");
    const bool First = !std::exchange(HandedOver, true);
    if (!First || !World::trouble())
      return {};
    W.record("store down");
    W.store().refuseFor(DownMs);
    return {};
  });
  W.setQuota(Small, SmallRunMs);
  const QByteArray Burst =
      R"({"spec":"300","phases":[{"count":200,"cpu":500,"mem_mb":10,"est_ms":300}]})";
  std::set<int> Accepted;
  int Sent = 0;
  const qint64 BurstEnd = W.elapsedMs() + 20'000;
  while (!HandedOver && W.elapsedMs() < BurstEnd) {
    const int I = ++Sent;
    W.send(Large, "POST", jobPath(I), Burst, [&, I](const Answer &A) {
      if (A.Status_ == 200)
        Accepted.insert(I);
    });
    World::runFor(60);
  }
  if (!HandedOver)
    return Verdict::NotRun;
  World::runFor(4000);
  // Some jobs after the burst, as from an ordinary client.
  for (int I = 0; I < 20; ++I) {
    const int Job = ++Sent;
    W.send(
        Large, "POST", jobPath(Job),
        R"({"spec":"300","phases":[{"count":1,"cpu":500,"mem_mb":10,"est_ms":300}]})",
        [&, Job](const Answer &A) {
          if (A.Status_ == 200)
            Accepted.insert(Job);
        });
    World::runFor(200);
  }
  const auto Idle = [&] {
    std::size_t Runs = 0;
    for (const auto &Each : W.workers())
      Runs += Each->runs();
    return Runs == 0;
  };
  World::runFor(FinishMs);
  qint64 IdleSince = W.elapsedMs();
  const qint64 End = W.elapsedMs() + 30'000;
  while (W.elapsedMs() < End && W.elapsedMs() - IdleSince < IdleMs) {
    World::runFor(20);
    if (!Idle())
      IdleSince = W.elapsedMs();
  }
  int Open = 0;
  for (const int I : Accepted)
    Open += W.shows(Large, jobPath(I), "complete") ? 0 : 1;
  W.record(QString("accepted=%1 open=%2").arg(Accepted.size()).arg(Open));
  W.record(QString("the small entry took the duty %1 times")
               .arg(W.log(Small).count("\"event\":\"duty-loaded\",\"jobs\"")));
  if (Open > 0 && Idle())
    W.record("LOST: accepted jobs don't run though all workers are idle");
  return Open > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace heathercross::review
