// Stand-ins of the workers and of the machines that they run on.
#pragma once

#include "review-record.h"
#include "review-store.h"
#include "standin/common/http-server.h"

#include <QJsonObject>
#include <QObject>
#include <QStringList>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace heathercross::review {

/// What a task does once it is started: it ends after a time, or lasts.
struct TaskPlan {
  /// Run time in milliseconds; 0 for a task that lasts.
  std::int64_t RunMs_ = 1000;
  bool Fails_ = false;
};

/// One run of a task, as the worker saw it.
struct RunRecord {
  QString Task_;
  std::int64_t Attempt_ = 0;
  QString Worker_;
  std::int64_t StartedAt_ = 0;
  /// Negative while the run goes on.
  std::int64_t EndedAt_ = -1;
  QString How_;
  /// When an acknowledgement covered the end; negative before.
  std::int64_t NotedAt_ = -1;
};

/// The part that is shared by all workers of a script.
struct World {
  Store &Store_;
  Record &Record_;
  std::function<TaskPlan(const QString &Task)> PlanOf_;
  /// Whether a worker leaves an order to start a task unanswered, to be carried
  /// out later; none if absent.
  std::function<bool(const QString &Worker, const QJsonObject &Order)> IsLate_;
  std::vector<RunRecord> Runs_;
};

/// A worker that keeps the rules of the protocol page: fences, leases,
/// attempts, run-start, run-stop, hold and pace.
class Worker : public QObject {
public:
  /// Labels are the kind and the rack.
  Worker(World &W, QString Id, QString Service, QString Machine,
         QStringList Labels, quint16 Port = 0);
  ~Worker() override;

  const QString &id() const { return Id_; }
  const QString &service() const { return Service_; }
  /// Registers the worker and repeats that as a heartbeat.
  void registerNow();
  quint16 port() const { return Server_.port(); }
  /// Ends the worker with all its runs, and removes its registration.
  void end();
  /// Ends the worker with all its runs; its registration stays for now.
  void crash();
  /// Carries out an order that was left unanswered.
  void carryOut(const QJsonObject &Order);
  std::size_t running() const { return Running_.size(); }

private:
  struct Running {
    std::int64_t Attempt_ = 0;
    std::int64_t StartedAt_ = 0;
    TaskPlan Plan_;
    std::size_t Record_ = 0;
  };
  struct Ended {
    std::int64_t Number_ = 0;
    QString Task_;
    std::int64_t Attempt_ = 0;
    QString How_;
    std::size_t Record_ = 0;
  };

  void handle(const standin::HttpRequest &R, const standin::Responder &To);
  standin::HttpResponse start(const QJsonObject &O);
  void stop(const QJsonObject &O, const standin::Responder &To);
  void hold(const QJsonObject &O, const standin::Responder &To);
  void extendLease(const QJsonObject &O);
  void checkRuns();
  void finish(const QString &Task, const QString &How);
  void wake();
  std::int64_t clockMs() const { return nowMs() - Born_ + 1000; }
  standin::HttpResponse report() const;
  standin::HttpResponse plain(int Status, const char *Reason) const;

  World &World_;
  QString Id_;
  QString Service_;
  QString Machine_;
  QStringList Labels_;
  std::int64_t Born_ = nowMs();
  std::int64_t BornWall_;
  std::int64_t Fence_ = 0;
  std::int64_t LeaseUntil_ = 0;
  std::int64_t LastNumber_ = 0;
  std::int64_t Heartbeats_ = 0;
  bool Gone_ = false;
  std::map<QString, Running> Running_;
  /// The highest attempt of each task that ended or was stopped here.
  std::map<QString, std::int64_t> EndedAttempt_;
  std::vector<Ended> Ended_;
  std::map<int, standin::Responder> Waiting_;
  int LastWaiting_ = 0;
  QTimer CheckTimer_;
  QTimer HeartbeatTimer_;
  standin::HttpServer Server_;
};

/// The platform's machines, with the list, moves and upkeeps.
class Machines : public QObject {
public:
  explicit Machines(World &W);

  QString address() const;
  /// Adds a machine with a worker.
  void add(const QString &Name, const QString &Pool, const QStringList &Labels);
  /// Crashes the worker with this id.
  void crash(const QString &Id);
  /// Starts a crashed worker again under its id and address.
  Worker &startAgain(const QString &Id);
  /// How long the platform takes to answer an upkeep.
  int UpkeepAnswerMs_ = 4;
  /// Called when an upkeep was asked for, before it is carried out.
  std::function<void(const QString &Machine)> OnUpkeepCall_;

  struct Upkeep {
    QString Machine_;
    QString Holder_;
    std::int64_t BeganAt_ = 0;
    /// Machines that were down for their upkeep when this one began.
    std::size_t DownBefore_ = 0;
  };
  std::vector<Upkeep> Upkeeps_;

private:
  struct Machine {
    QString Pool_;
    QStringList Labels_;
    QString State_ = "up";
    std::int64_t Token_ = 0;
    int Lives_ = 0;
    quint16 Port_ = 0;
    std::set<qint64> Waves_;
    std::unique_ptr<Worker> Worker_;
  };

  void handle(const standin::HttpRequest &R, const standin::Responder &To);
  standin::HttpResponse list() const;
  standin::HttpResponse order(const standin::HttpRequest &R, bool IsUpkeep);
  void takeDown(const QString &Name, const QString &State, int ForMs);
  void bringUp(const QString &Name);

  World &World_;
  std::map<QString, Machine> Machines_;
  standin::HttpServer Server_;
};

} // namespace heathercross::review
