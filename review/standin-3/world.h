// The surroundings of a case: store, workers, entry processes and clients.
#pragma once

#include "model-store.h"
#include "model-workers.h"

#include <QElapsedTimer>
#include <QFile>
#include <QProcess>
#include <QTcpSocket>
#include <QTemporaryDir>

#include <functional>
#include <memory>
#include <vector>

namespace heathercross::review {

/// The result of a case; the values are the exit codes.
enum class Verdict : std::uint8_t { Held = 0, Broken = 1, NotRun = 2 };

/// One route of a configuration.
struct RouteSpec {
  QString Name_;
  QString Prefix_;
  QString Service_;
  int Attempts_ = 2;
  /// Whether the queue's policy allows only some workers.
  bool Hint_ = false;
};

/// What differs between the deployments of the cases.
struct WorldOptions {
  /// Processor share of each entry.
  std::vector<double> CpuShares_ = {0.25, 0.25};
  int StatusKeptSeconds_ = 120;
  /// Address of the placement service; empty without one.
  QString Advice_ = {};
};

struct Answer {
  /// 0 if no response arrived.
  int Status_ = 0;
  QByteArray Body_;
};

/// What ran, counted from the lines of the workers.
class RunLog {
public:
  void add(const QString &Line);
  /// Tasks that were started although a run had ended as done.
  const std::set<QString> &startedAfterDone() const { return AfterDone_; }
  /// Tasks that had two runs at the same time.
  const std::set<QString> &doubled() const { return Doubled_; }
  int starts(const QString &Task) const;
  int failures(const QString &Task) const;

private:
  std::map<QString, int> Running_;
  std::map<QString, int> Starts_;
  std::map<QString, int> Failures_;
  std::set<QString> Done_;
  std::set<QString> AfterDone_;
  std::set<QString> Doubled_;
};

class World {
public:
  World(const QString &RecordFile, WorldOptions Options);
  ~World();
  World(const World &) = delete;
  World &operator=(const World &) = delete;

  /// Whether the case's disruption is to happen.
  static bool trouble();

  Store &store() { return Store_; }
  void record(const QString &Line);
  /// Sets the address of the placement service, before entries start.
  void setAdvice(const QString &Address) { Options_.Advice_ = Address; }
  const RunLog &runs() const { return Runs_; }

  void configure(int Version, const std::vector<RouteSpec> &Routes);
  Worker &addWorker(const QString &Id, const QString &Service);
  /// The worker drains, leaves, and its row is removed.
  void removeWorker(const QString &Id, int DrainMs);
  const std::vector<std::unique_ptr<Worker>> &workers() const {
    return Workers_;
  }

  /// Starts an entry process with the command of the deploy file and the
  /// rendered template, and waits until it is ready.
  bool startEntry(std::size_t I);
  /// Writes the settings file of an entry anew, as the platform does when
  /// settings change.
  void writeSettings(std::size_t I);
  void signal(std::size_t I, int Number);
  void waitForEnd(std::size_t I);
  /// Lets the process run only for a part of each 100 ms, as its processor
  /// share says; 0 ends that.
  void setQuota(std::size_t I, int RunMs);
  QByteArray log(std::size_t I) const;
  quint16 frontPort(std::size_t I) const { return Entries_[I].Front_; }

  /// Sends a call of a client and waits for its answer.
  Answer call(std::size_t I, const char *Method, const QString &Path,
              const QByteArray &Body = {});
  /// Sends a call without waiting.
  void send(std::size_t I, const char *Method, const QString &Path,
            const QByteArray &Body, std::function<void(Answer)> OnDone);
  Answer submit(std::size_t I, const QString &Path, int Tasks,
                const QString &Spec, int CpuMilli = 1000);
  /// Whether the entry shows the job in this state.
  bool shows(std::size_t I, const QString &Path, const char *State);

  static void runFor(int Ms);
  static bool waitFor(const std::function<bool()> &Holds, int TimeoutMs);
  qint64 elapsedMs() const { return Clock_.elapsed(); }

private:
  struct Entry {
    quint16 Front_ = 0;
    quint16 Ready_ = 0;
    quint16 Peers_ = 0;
    int RunMs_ = 0;
    std::unique_ptr<QProcess> Process_;
  };

  QByteArray settings(std::size_t I) const;
  void stepQuota(std::size_t I);

  WorldOptions Options_;
  QElapsedTimer Clock_;
  QFile Record_;
  RunLog Runs_;
  QTemporaryDir Folder_;
  Store Store_;
  std::vector<std::unique_ptr<Worker>> Workers_;
  std::vector<Entry> Entries_;
  QObject Timers_;
};

/// A connection that a client keeps open to one entry.
class OpenConnection {
public:
  OpenConnection(World &W, std::size_t Entry);
  /// Sends a request; the status is 0 until its response has arrived.
  void send(const char *Method, const QString &Path);
  int status() const { return Status_; }

private:
  void read();

  World &World_;
  std::size_t Entry_;
  QString Sent_;
  int Status_ = 0;
  QByteArray Received_;
  QTcpSocket Socket_;
};

/// The cases; each returns its verdict.
Verdict purgedJobs(const QString &RecordFile);
Verdict movedRoute(const QString &RecordFile);
Verdict refusedHandover(const QString &RecordFile);
Verdict adviceForFew(const QString &RecordFile);
Verdict oddSpec(const QString &RecordFile);
Verdict movedHint(const QString &RecordFile);
Verdict slowAdvice(const QString &RecordFile);
Verdict staleHolder(const QString &RecordFile);

} // namespace heathercross::review
