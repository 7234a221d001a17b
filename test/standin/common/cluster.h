// Runs the platform stand-in, worker stand-ins and entries of one test on
// loopback.
#pragma once

#include "standin/common/checker.h"
#include "standin/common/history.h"

#include <QJsonArray>
#include <QJsonObject>
#include <QProcess>
#include <QTemporaryDir>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathercross::standin {

/// The size of a cluster and the settings of its processes.
struct ClusterOptions {
  std::vector<std::string> Zones_{"a", "b"};
  int EntriesPerZone_ = 2;
  int WorkersPerZone_ = 4;
  int InstanceListLagMs_ = 200;
  int RebootMs_ = 700;
  /// Text appended to each entry's settings file, as "[section]\nkey =
  /// value\n".
  std::string ExtraSettings_;
  std::uint64_t Seed_ = 1;
  /// Whether entries, workers and load generators write histories.
  bool WriteHistories_ = true;
};

/// The result of a call; the status is 0 if there was no complete answer.
struct Reply {
  int Status_ = 0;
  QJsonObject Body_;
};

/// An entry instance and its process.
struct EntryProcess {
  std::string Name_;
  std::string Zone_;
  quint16 Port_ = 0;
  quint16 PeerPort_ = 0;
  std::unique_ptr<QProcess> Process_;
};

/// The address of a worker.
struct WorkerAddress {
  std::string Name_;
  std::string Zone_;
  quint16 Port_ = 0;
};

/// Starts the processes of a test on free ports and kills them at the end.
/// Starts, stops, kills and freezes of entries are recorded in the test's
/// history, because the checker depends on them.
class Cluster {
public:
  explicit Cluster(const ClusterOptions &Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts all processes and waits until each entry is ready. Returns false on
  /// failure.
  bool start();

  std::vector<EntryProcess> &entries() { return Entries_; }
  std::vector<WorkerAddress> &workers() { return Workers_; }

  void startEntry(EntryProcess &E);
  void killEntry(EntryProcess &E);
  void freezeEntry(EntryProcess &E);
  void thawEntry(EntryProcess &E);
  /// Starts a planned stop. Returns false if the entry hasn't exited within
  /// TimeoutMs.
  bool stopEntry(EntryProcess &E, int TimeoutMs = 15000);
  bool waitReady(const EntryProcess &E, int TimeoutMs = 10000);
  /// Makes E stop communicating with Others; an empty list restores the
  /// communication.
  void cutPeers(EntryProcess &E, const std::vector<EntryProcess *> &Others);

  /// Calls an entry with the token of Caller: "team" or the operator "ada",
  /// "ben" or "cleo".
  Reply callEntry(const EntryProcess &E, const char *Method,
                  const std::string &Path, const QJsonObject &Body,
                  const std::string &Caller);
  Reply platformFault(const QJsonObject &Fault);
  Reply platformStats();
  Reply workerCall(const WorkerAddress &W, const std::string &Path,
                   const QJsonObject &Body);
  Reply workerFault(const WorkerAddress &W, const QJsonObject &Fault);

  /// Submits a ticket and votes for it until it is accepted; the ticket names
  /// the versions in the entry's view. After a conflict it retries with a new
  /// number.
  bool submitTicket(const QJsonArray &Changes, std::size_t Entry = 0);
  /// Creates a pool with an availability budget and waits until every entry
  /// reports its instances as active.
  bool createPool(const std::string &Pool, int Size, int MinAvailable);
  int activeInstances(const EntryProcess &E, const std::string &Pool);
  QJsonArray instances(const EntryProcess &E);

  /// Starts the load generator against all entries with additional flags.
  void startLoad(const std::vector<std::string> &Flags,
                 const std::string &Name = "load");
  /// Waits until the load generator exits and returns its summary.
  QJsonObject waitForLoad(const std::string &Name = "load");

  void record(const char *Kind, const std::string &Id);
  /// Reads and merges the histories written so far, without those of entries.
  HistoryEvents history() const;
  /// Polls until a condition holds. Returns false after TimeoutMs.
  static bool waitFor(const std::function<bool()> &Condition, int TimeoutMs);
  static void sleepMs(int Ms);

private:
  std::unique_ptr<QProcess> launch(const std::string &Program,
                                   const std::vector<std::string> &Arguments,
                                   const std::string &Name);
  bool startPlatform();
  bool startWorkers(const std::string &Zone);
  void writeSecrets();
  std::string entrySettings(const EntryProcess &E) const;
  std::string path(const std::string &Name) const;
  /// Path of a process's history file; empty if histories are off.
  std::string historyPath(const std::string &Name) const;
  std::string targets() const;
  QJsonObject expectedVersions(const QJsonArray &Changes,
                               const QJsonObject &View) const;
  int ticketNumber(const QJsonObject &View);
  /// Submits and votes once and returns the ticket's state. Number 0 requests a
  /// new number; it is reset to 0 when the number can't be used any more.
  std::string tryTicket(const QJsonArray &Changes, const EntryProcess &E,
                        int &Number);

  ClusterOptions Options_;
  QTemporaryDir Folder_;
  HistoryFile History_;
  quint16 PlatformPort_ = 0;
  std::unique_ptr<QProcess> Platform_;
  std::vector<std::unique_ptr<QProcess>> WorkerProcesses_;
  std::vector<WorkerAddress> Workers_;
  std::vector<EntryProcess> Entries_;
  std::map<std::string, std::unique_ptr<QProcess>> Loads_;
  std::map<std::string, std::string> Tokens_;
  int LastTicket_ = 0;
};

} // namespace heathercross::standin
