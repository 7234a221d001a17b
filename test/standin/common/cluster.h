// A whole system on loopback for one scenario: platform, workers, entries.
#pragma once

#include "standin/common/history.h"
#include "standin/common/judge.h"

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

/// How large a cluster is and how its entries are set up.
struct ClusterOptions {
  std::vector<std::string> Zones_{"a", "b"};
  int EntriesEach_ = 2;
  int WorkersEach_ = 4;
  int LagMs_ = 200;
  int RebootMs_ = 700;
  /// Lines added to each entry's settings, as "[section]\nkey = value\n".
  std::string MoreSettings_;
  std::uint64_t Seed_ = 1;
  /// Whether entries, workers and loads write histories.
  bool Histories_ = true;
};

/// What a call came to; status 0 when there was no whole answer.
struct Reply {
  int Status_ = 0;
  QJsonObject Body_;
};

/// One entry instance of the cluster.
struct EntryProcess {
  std::string Name_;
  std::string Zone_;
  quint16 Port_ = 0;
  quint16 PeerPort_ = 0;
  std::unique_ptr<QProcess> Process_;
};

/// One worker of the cluster.
struct WorkerAddress {
  std::string Name_;
  std::string Zone_;
  quint16 Port_ = 0;
};

/// Starts the processes of a scenario on free ports and ends them by their
/// ids. Every step that a judgement depends on goes into the test's history.
class Cluster {
public:
  explicit Cluster(const ClusterOptions &Options);
  ~Cluster();
  Cluster(const Cluster &) = delete;
  Cluster &operator=(const Cluster &) = delete;

  /// Starts everything and waits until each entry is ready. False on failure.
  bool start();

  std::vector<EntryProcess> &entries() { return Entries_; }
  std::vector<WorkerAddress> &workers() { return Workers_; }

  void startEntry(EntryProcess &E);
  void killEntry(EntryProcess &E);
  void freezeEntry(EntryProcess &E);
  void thawEntry(EntryProcess &E);
  /// Asks for a planned stop; false when it took longer than TimeoutMs.
  bool stopEntry(EntryProcess &E, int TimeoutMs = 15000);
  bool waitReady(const EntryProcess &E, int TimeoutMs = 10000);
  /// Cuts entries off from each other, or ends that with an empty list.
  void cutPeers(EntryProcess &E, const std::vector<EntryProcess *> &Others);

  /// Calls an entry as "team" or as the operator "ada", "ben" or "cleo".
  Reply callEntry(const EntryProcess &E, const char *Method,
                  const std::string &Path, const QJsonObject &Body,
                  const std::string &As);
  Reply platformFault(const QJsonObject &Fault);
  Reply platformStats();
  Reply workerCall(const WorkerAddress &W, const std::string &Path,
                   const QJsonObject &Body);
  Reply workerFault(const WorkerAddress &W, const QJsonObject &Fault);

  /// Submits a ticket and votes for it until it is accepted, under a new number
  /// after each conflict, against the versions that the entry's view shows.
  bool ticket(const QJsonArray &Changes, std::size_t Entry = 0);
  /// Creates a pool with a budget and waits until its instances are active in
  /// the eyes of every entry.
  bool makePool(const std::string &Pool, int Size, int MinAvailable);
  int activeInstances(const EntryProcess &E, const std::string &Pool);
  QJsonArray instances(const EntryProcess &E);

  /// Starts the load tool against all entries with further flags.
  void startLoad(const std::vector<std::string> &Flags,
                 const std::string &Name = "load");
  /// Waits for the load tool's end and returns its summary.
  QJsonObject finishLoad(const std::string &Name = "load");

  void record(const char *Kind, const std::string &Id);
  /// Reads the histories of the run so far.
  HistoryEvents history() const;
  /// Waits until a condition holds; false when the time is over.
  static bool waitFor(const std::function<bool()> &Condition, int TimeoutMs);
  static void sleepMs(int Ms);

private:
  std::unique_ptr<QProcess> launch(const std::string &Program,
                                   const std::vector<std::string> &Arguments,
                                   const std::string &Name);
  bool startPlatform();
  bool startWorkers(const std::string &Zone);
  void makeSecrets();
  std::string settingsOf(const EntryProcess &E) const;
  std::string path(const std::string &Name) const;
  /// The file of a process's history; empty when none is written.
  std::string historyOf(const std::string &Name) const;
  std::string targets() const;
  QJsonObject against(const QJsonArray &Changes, const QJsonObject &View) const;
  int ticketNumber(const QJsonObject &View);
  /// One round of submitting and voting; gives the ticket's state. A number of
  /// 0 is replaced by a new one, and set back when that is spent.
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
