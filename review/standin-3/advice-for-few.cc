// Empty workers are added beside those that the policy of a queue allows.
#include "policy.h"
#include "world.h"

#include <QRandomGenerator>

namespace heathercross::review {

namespace {

constexpr int Workers = 30;
/// 0.25 of them, and the time over which they come.
constexpr int Added = 7;
constexpr int AddedOverMs = 2000;
constexpr qsizetype AllowedPerStep = 1;
constexpr int Jobs = 200;
constexpr int JobEveryMs = 100;
constexpr int FinishMs = 14'000;
constexpr int IdleMs = 3000;

QString jobPath(int I) {
  return "/audit/" + QString("%1").arg(0xa0000 + I, 16, 16, QChar('0'));
}

QString randomId() {
  return QString("i-%1").arg(QRandomGenerator::system()->generate(), 8, 16,
                             QChar('0'));
}

} // namespace

Verdict adviceForFew(const QString &RecordFile) {
  World W(RecordFile, {});
  Policy P(W, AllowedPerStep);
  W.setAdvice(P.address());
  for (int I = 0; I < Workers; ++I)
    P.add(W.addWorker(randomId(), "reconcile").id());
  W.configure(3, {{"r-audit", "/audit/", "reconcile", 2, true}});
  for (std::size_t I = 0; I < 2; ++I)
    if (!W.startEntry(I))
      return Verdict::NotRun;
  World::runFor(4000);
  if (World::trouble())
    for (int I = 0; I < Added; ++I) {
      W.record("added " + W.addWorker(randomId(), "reconcile").id());
      World::runFor(AddedOverMs / Added);
    }
  World::runFor(4000);
  std::set<int> Accepted;
  for (int I = 0; I < Jobs; ++I) {
    W.send(
        1, "POST", jobPath(I),
        R"({"spec":"300","phases":[{"count":1,"cpu":500,"mem_mb":10,"est_ms":300}]})",
        [&, I](const Answer &A) {
          if (A.Status_ == 200)
            Accepted.insert(I);
        });
    World::runFor(JobEveryMs);
  }
  World::runFor(FinishMs + IdleMs);
  if (Accepted.empty())
    return Verdict::NotRun;
  int Open = 0;
  for (const int I : Accepted) {
    if (W.shows(1, jobPath(I), "complete"))
      continue;
    ++Open;
    const QString Task = jobPath(I).section('/', -1) + ".0.0.0";
    W.record(
        QString("LOST: %1 starts=%2").arg(Task).arg(W.runs().starts(Task)));
  }
  W.record(QString("accepted=%1 open=%2").arg(Accepted.size()).arg(Open));
  return Open > 0 ? Verdict::Broken : Verdict::Held;
}

} // namespace heathercross::review
