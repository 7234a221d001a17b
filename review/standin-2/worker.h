// A worker of the platform.
#pragma once

#include "http/http-server.h"

#include <QElapsedTimer>
#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::review {

/// How a run goes on the worker.
struct RunPlan {
  /// Duration in milliseconds; 0 for a task that lasts.
  qint64 DurationMs_ = 0;
  /// How the run ends: "done" or "failed".
  QString End_ = "done";
};

/// Serves hold, run-start, run-stop and pace as PROTOCOL.md describes them. It
/// starts whatever it is told to (admission_check is false).
class Worker : public QObject {
public:
  /// Decides how a run of a task goes, by the number of the worker's starts.
  using Planner = std::function<RunPlan(const QString &Task)>;
  /// Called with "start", or with how a run ended.
  using Observer =
      std::function<void(const QString &Worker, const QString &What,
                         const QString &Task, qint64 Attempt)>;

  Worker(QString Id, QString Pool, Planner Plan, Observer Observe);

  const QString &id() const { return Id_; }
  const QString &pool() const { return Pool_; }
  /// The row with which the worker registers itself.
  QByteArray registration();
  /// The next start of the task gets no answer, and isn't carried out before
  /// carryOutLate().
  void delayStart(const QString &Task) { Delayed_ = Task; }
  bool holdsLateStart() const { return LateStart_.has_value(); }
  /// Carries the delayed start out now, unless a higher fence has been seen.
  void carryOutLate();

  /// From now on the worker answers nothing.
  void fallSilent() { Silent_ = true; }
  /// The worker has crashed and starts again under its id and address, as
  /// another kind. It holds and knows nothing of before.
  void startAgain(const QString &Kind);
  const QString &kind() const { return Kind_; }

  /// Whether a run of the task is there.
  bool runs(const QString &Task) const { return Runs_.contains(Task); }
  std::size_t runCount() const { return Runs_.size(); }

private:
  struct Run {
    qint64 Attempt_ = 0;
    qint64 StartedMs_ = 0;
    RunPlan Plan_;
    /// When a stop takes effect; 0 without one.
    qint64 StopAtMs_ = 0;
  };
  struct End {
    qint64 Number_ = 0;
    QString Task_;
    qint64 Attempt_ = 0;
    QString How_;
  };
  struct Holding {
    qint64 DeadlineMs_ = 0;
    http::Responder To_;
  };

  void handle(http::Request &&R, http::Responder &&To);
  http::Response start(const QJsonObject &Body);
  http::Response stop(const QJsonObject &Body);
  void hold(const QJsonObject &Body, http::Responder &&To);
  void extendLease(const QJsonObject &Body);
  void endRun(const QString &Task, const QString &How);
  void tick();
  QJsonObject report() const;
  http::Response refuse(const char *Reason) const;

  QString Id_;
  QString Pool_;
  QString Kind_ = "a";
  bool Silent_ = false;
  QString Delayed_;
  std::optional<QJsonObject> LateStart_;
  /// Answers that a silent worker owes; their connections stay open.
  std::vector<http::Responder> Unanswered_;
  Planner Plan_;
  Observer Observe_;
  qint64 Born_ = 0;
  qint64 Sequence_ = 0;
  qint64 Fence_ = 0;
  qint64 LeaseEndMs_ = 0;
  std::map<QString, Run> Runs_;
  std::vector<End> Ends_;
  qint64 LastEnd_ = 0;
  /// The highest attempt of each task that has been stopped or has ended here.
  std::map<QString, qint64> LastAttempts_;
  std::vector<Holding> Holding_;
  QElapsedTimer Clock_;
  QTimer Timer_;
  http::Server Server_;
};

} // namespace heathercross::review
