// Empty workers are added beside those that the policy of a queue allows.
#include "world.h"

#include <QCryptographicHash>
#include <QJsonDocument>
#include <QRandomGenerator>

#include <algorithm>

namespace heathercross::review {

namespace {

constexpr int Workers = 30;
/// 0.3 of them.
constexpr int Added = 9;
constexpr std::size_t AllowedPerStep = 1;
constexpr int DecideMs = 20;
constexpr int EachMs = 1;
constexpr int ValidMs = 3000;
constexpr int Jobs = 100;
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

/// The placement service. Its policy allows one of the first workers for each
/// step, always the same.
class Policy : public QObject {
public:
  explicit Policy(World &W)
      : World_(W),
        Server_([this](const standin::HttpRequest &R,
                       const standin::Responder &To) { serve(R, To); }) {
    Server_.listen(0);
  }
  QString address() const {
    return QString("127.0.0.1:%1").arg(Server_.port());
  }
  void add(const QString &Worker) { Known_.push_back(Worker); }

private:
  /// The workers that may run a step.
  QStringList allowed(const QString &Step) const {
    QStringList Ranked = Known_;
    std::ranges::sort(Ranked, {}, [&](const QString &Id) {
      return QCryptographicHash::hash((Step + Id).toUtf8(),
                                      QCryptographicHash::Md5);
    });
    return Ranked.mid(0, AllowedPerStep);
  }

  void serve(const standin::HttpRequest &R, const standin::Responder &To) {
    const QJsonObject O = QJsonDocument::fromJson(R.Body_).object();
    const QString Step = O["phase"].toString();
    const QJsonArray Asked = O["workers"].toArray();
    const QStringList May = allowed(Step);
    QJsonArray Allowed;
    for (const QJsonValue V : Asked)
      if (May.contains(V.toString()))
        Allowed.append(QJsonArray{V.toString(), "t-" + V.toString()});
    World_.record(QString("advise phase=%1 workers=%2 allowed=%3 of %4")
                      .arg(Step)
                      .arg(Asked.size())
                      .arg(Allowed.size())
                      .arg(May.join(',')));
    QTimer::singleShot(DecideMs + EachMs * static_cast<int>(Asked.size()), this,
                       [To, Allowed] {
                         To(standin::jsonResponse(
                             QJsonDocument(QJsonObject{{"allowed", Allowed},
                                                       {"valid_ms", ValidMs}})
                                 .toJson(QJsonDocument::Compact)));
                       });
  }

  World &World_;
  QStringList Known_;
  standin::HttpServer Server_;
};

} // namespace

Verdict adviceForFew(const QString &RecordFile) {
  World W(RecordFile, {});
  Policy P(W);
  W.setAdvice(P.address());
  for (int I = 0; I < Workers; ++I)
    P.add(W.addWorker(randomId(), "reconcile").id());
  W.configure(3, {{"r-audit", "/audit/", "reconcile", 2, true}});
  for (std::size_t I = 0; I < 2; ++I)
    if (!W.startEntry(I))
      return Verdict::NotRun;
  World::runFor(4000);
  if (World::trouble())
    for (int I = 0; I < Added; ++I)
      W.record("added " + W.addWorker(randomId(), "reconcile").id());
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
