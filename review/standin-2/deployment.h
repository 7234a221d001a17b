// A small deployment: the platform's stand-ins and the project's own entry
// processes.
#pragma once

#include "http/http-client.h"
#include "link.h"
#include "store.h"
#include "worker.h"

#include <QElapsedTimer>
#include <QProcess>

#include <fstream>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::review {

/// A step of a case couldn't be carried out, so the case says nothing.
class CannotRun : public Error {
public:
  explicit CannotRun(const std::string &Step) : Error(Step) {}
  const char *code() const noexcept override { return "cannot-run"; }
};

struct DeploymentOptions {
  /// The program of the deploy file.
  QString Daemon_;
  /// A temporary folder for settings and logs.
  QString Folder_;
  /// The file to which the case writes what was sent, answered and run.
  QString Record_;
};

/// What a worker saw of a task.
struct WorkerEvent {
  qint64 AtMs_ = 0;
  QString Worker_;
  /// "start", or how a run ended.
  QString What_;
  QString Task_;
  qint64 Attempt_ = 0;
};

/// An order for a machine as the platform has seen it.
struct MachineOrder {
  qint64 AtMs_ = 0;
  QString Machine_;
  /// "move" or "upkeep".
  QString Kind_;
  QString Holder_;
  qint64 Token_ = 0;
  int Status_ = 0;
};

class Deployment : public QObject {
public:
  explicit Deployment(DeploymentOptions Options);
  ~Deployment() override;

  Worker &addWorker(const QString &Id, const QString &Pool,
                    Worker::Planner Plan);
  /// Writes op/config with these routes; Attempts is the same for each.
  struct RouteSpec {
    QString Name_;
    QString Pool_;
    int Attempts_ = 3;
  };
  void configure(int Version, const std::vector<RouteSpec> &Routes,
                 const std::vector<QString> &Pools);
  /// Adds an entry instance in a zone of its own and waits until it is ready.
  void startEntry();
  /// Stops an entry instance as planned and starts it again.
  void restartEntry(std::size_t I);
  /// Kills an entry instance and starts it again.
  void killEntry(std::size_t I);
  std::size_t entries() const { return Entries_.size(); }
  qint64 processId(std::size_t I) const;
  bool entryRuns(std::size_t I) const;
  /// The entry that last logged that it has loaded the duty of a pool.
  std::size_t holder(const QString &Pool) const;

  /// A client waits this long for an answer.
  static constexpr int ClientDeadlineMs = 3000;
  struct Answer {
    int Status_ = 0;
    QByteArray Body_;
  };
  /// Sends a client's call to an entry. Status 0 means that no answer came.
  Answer call(std::size_t Entry, const char *Method, const QString &Route,
              const QString &Job, const QByteArray &Body = {},
              int DeadlineMs = ClientDeadlineMs);
  /// Submits a job as a client does: with the same id at the next entry until
  /// it is accepted. Returns whether it was.
  bool submit(const QString &Route, const QString &Job, const QByteArray &Body);

  /// Asks for the upkeep of machines, as the operator does.
  void requestWave(int Number, const std::vector<QString> &Machines,
                   int MaxAtOnce, int WithinSeconds);
  const std::vector<MachineOrder> &orders() const { return Orders_; }
  /// Sends SIGTERM to an entry and doesn't start it again.
  void stopEntry(std::size_t I);
  /// The next upkeep order gets no answer and is carried out after this time.
  void delayNextUpkeep(int Ms) { UpkeepDelayMs_ = Ms; }
  /// The machine of the delayed upkeep order; empty before it has come.
  QString delayedMachine() const { return DelayedMachine_; }
  std::size_t machinesDown() const;
  /// Kills an entry and leaves it without power.
  void powerOff(std::size_t I);
  Worker *workerOf(const QString &Machine);
  /// Asks for an entry's readiness as the platform does.
  bool isReady(std::size_t I);
  /// Partitions an entry from the platform's store, or ends that.
  void cutFromStore(std::size_t I, bool Cut);
  /// The entry with this name, as it gives it in its orders.
  std::size_t entryOf(const QString &Holder) const;

  const std::vector<WorkerEvent> &events() const { return Events_; }
  /// Number of events of a kind for a task.
  int count(const QString &What, const QString &Task) const;
  /// Whether a run of the task is on any worker.
  bool runs(const QString &Task) const;
  qint64 now() const { return Clock_.elapsed(); }
  void record(const std::string &Line);

  /// Runs the event loop for a time, or until the condition holds; returns
  /// whether it held.
  void runFor(int Ms);
  bool waitFor(int Ms, const std::function<bool()> &Condition);
  /// Throws CannotRun unless the condition holds in time.
  void require(const char *Step, int Ms,
               const std::function<bool()> &Condition);

  /// Writes the registrations of all workers, as their heartbeats do.
  void registerWorkers();

private:
  struct Entry {
    QString Name_;
    /// "IP:PORT" each.
    QString Front_;
    QString Ready_;
    QString Peers_;
    /// Its link to the platform's store.
    std::unique_ptr<Link> Store_;
    std::unique_ptr<QProcess> Process_;
  };

  void launch(Entry &E);
  void awaitReady(Entry &E);
  http::Reply send(http::Call C);
  QString logOf(const Entry &E) const;

  DeploymentOptions Options_;
  std::ofstream Record_;
  QElapsedTimer Clock_;
  Store Store_;
  http::Client Http_;
  /// A machine and the worker that is its present life, if it is up.
  struct Machine {
    QString Id_;
    QString Pool_;
    /// "up", "moving" or "upkeep".
    QString State_ = "up";
    QString Kind_ = "a";
    std::unique_ptr<Worker> Worker_;
    Worker::Planner Plan_;
    /// When the machine is up again.
    qint64 UpAtMs_ = 0;
    qint64 Token_ = 0;
    int Lives_ = 1;
  };
  http::Response orderMachine(const http::Request &R);
  void handleMachineOrder(http::Request &&R, http::Responder &&To);
  void bringUp(Machine &M, const QString &Worker);
  void returnMachines();

  std::vector<std::unique_ptr<Machine>> Machines_;
  std::vector<MachineOrder> Orders_;
  /// Waves and machines whose upkeep has begun.
  std::set<std::pair<qint64, QString>> Upkept_;
  QTimer Returns_;
  int UpkeepDelayMs_ = 0;
  QString DelayedMachine_;
  std::vector<http::Responder> Unanswered_;
  std::vector<Entry> Entries_;
  std::vector<WorkerEvent> Events_;
  QTimer Heartbeat_;
};

} // namespace heathercross::review
