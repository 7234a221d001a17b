// A deployment of entry instances with real processes, for end-to-end tests.
#pragma once

#include "http/http-client.h"
#include "platform/store.h"
#include "support/event-loop.h"
#include "support/free-port.h"

#include <QElapsedTimer>
#include <QProcess>
#include <QTemporaryDir>

#include <csignal>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::test {

inline constexpr int StartTimeoutMs = 10'000;

inline std::string programPath(const char *Name) {
  const char *Folder = std::getenv("HEATHERCROSS_BIN");
  return std::string(Folder ? Folder : ".") + "/" + Name;
}

inline std::string loopbackAddress(quint16 Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

/// What differs between the deployments of tests.
struct DeploymentOptions {
  /// Further lines of the settings' section entry.
  std::string EntryKeys_ = {};
  /// Port of the machine API; there is none if it is 0.
  quint16 MachinesPort_ = 0;
  /// How long the state of an ended job can be queried.
  int StatusKeptSeconds_ = 120;
  /// Processor shares of the instances in cores; the rest get 0.25.
  std::vector<double> CpuShares_ = {};
  /// Number of the last instances that aren't started at first.
  std::size_t Absent_ = 0;
};

/// A stand-in for the platform's store and several entry instances, each in its
/// own zone.
class Deployment {
public:
  struct Entry {
    quint16 FrontPort_ = freePort();
    quint16 ReadyPort_ = freePort();
    quint16 PeersPort_ = freePort();
    std::unique_ptr<QProcess> Process_;
  };

  /// Starts the instances with one route, /quotes/, to the pool "quoting".
  explicit Deployment(int Count, DeploymentOptions Options = {})
      : Options_(std::move(Options)),
        Entries_(static_cast<std::size_t>(Count)) {
    StoreProcess_ = startProcess(
        "standin-platform", {"--port", QString::number(StorePort_)}, "store");
    configure(3, {"quotes"});
    for (std::size_t I = 0; I + Options_.Absent_ < Entries_.size(); ++I)
      startEntry(I);
  }

  ~Deployment() {
    for (Entry &E : Entries_)
      if (E.Process_)
        terminate(*E.Process_);
    terminate(*StoreProcess_);
  }

  void sendSignal(std::size_t I, int Signal) {
    ::kill(static_cast<pid_t>(Entries_[I].Process_->processId()), Signal);
  }

  struct Answer {
    int Status_ = 0;
    qint64 ElapsedMs_ = 0;
    QByteArray Body_;
  };

  /// Sends a client's call to an entry instance. Status 0 means that no reply
  /// arrived.
  Answer call(std::size_t I, const char *Method, const std::string &Job,
              const QByteArray &Body = {}, const std::string &Route = "quotes",
              const std::string &Key = "") {
    http::Call C;
    C.Method_ = Method;
    C.Url_ = "http://" + loopbackAddress(Entries_[I].FrontPort_) + "/" + Route +
             "/" + Job;
    C.Headers_ = {"Host: trade.example", "Content-Type: application/json",
                  "Heathercross-Deadline-Ms: 3000"};
    if (!Key.empty())
      C.Headers_.push_back("Heathercross-Key: " + Key);
    C.Body_ = Body;
    C.Timeout_ = Millis(4000);
    return send(std::move(C));
  }

  Answer submit(std::size_t I, const std::string &Job) {
    return call(
        I, "POST", Job,
        R"({"spec":"x","phases":[{"count":1,"cpu":1000,"mem_mb":10,"est_ms":500}]})");
  }

  /// Replaces a part of an entry instance's settings file, without a signal;
  /// returns the former text.
  std::string changeSettings(std::size_t I, const std::string &From,
                             const std::string &To) {
    const std::string Name =
        pathInFolder("entry-" + std::to_string(I) + ".ini");
    std::ifstream In(Name);
    std::string Former{std::istreambuf_iterator<char>(In), {}};
    std::string Text = Former;
    CPPUNIT_ASSERT(Text.find(From) != std::string::npos);
    writeSettings(I, Text.replace(Text.find(From), From.size(), To));
    return Former;
  }
  void writeSettings(std::size_t I, const std::string &Text) const {
    std::ofstream(pathInFolder("entry-" + std::to_string(I) + ".ini")) << Text;
  }
  /// The number of times that an entry instance has logged an event.
  std::size_t countLogged(std::size_t I, const std::string &Event) const {
    std::istringstream Lines(log(I));
    std::string Line;
    std::size_t Count = 0;
    while (std::getline(Lines, Line))
      Count += Line.find(R"("event":")" + Event + '"') != std::string::npos;
    return Count;
  }
  std::string storeAddress() const { return loopbackAddress(StorePort_); }

  /// Stops an entry instance as planned, and starts it again.
  void restart(std::size_t I) {
    sendSignal(I, SIGTERM);
    waitFor(
        [&] { return Entries_[I].Process_->state() == QProcess::NotRunning; });
    startEntry(I);
  }

  /// Starts an entry instance that is ending.
  void startAgain(std::size_t I) {
    Entries_[I].Process_->waitForFinished(StartTimeoutMs);
    startEntry(I);
  }

  /// Starts an entry instance that was absent.
  void startAbsent(std::size_t I) { startEntry(I); }

  /// Kills all entry instances at once, and starts them again.
  void killAll() {
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      sendSignal(I, SIGKILL);
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      startAgain(I);
  }

  std::size_t size() const { return Entries_.size(); }

  /// Sets the accounts of the configurations to come, as the operators write
  /// them.
  void setAccounts(std::string Text) { Accounts_ = std::move(Text); }

  /// Writes a configuration with these routes to the pool "quoting".
  void configure(int Version, const std::vector<std::string> &Routes,
                 int Attempts = 2) {
    configure(Version, Routes, {"quoting"}, Attempts,
              [](const std::string &) { return std::string("quoting"); });
  }

  /// Writes a configuration with these pools, each of which has a route of its
  /// name.
  void configurePools(int Version, const std::vector<std::string> &Pools) {
    constexpr int Attempts = 2;
    configure(Version, Pools, Pools, Attempts,
              [](const std::string &Route) { return Route; });
  }

  template <class PoolOf>
  void configure(int Version, const std::vector<std::string> &Routes,
                 const std::vector<std::string> &Pools, int Attempts,
                 PoolOf Pool) {
    std::ostringstream Text;
    Text << R"({"version":)" << Version << R"(,"routes":[)";
    const char *Separator = "";
    for (const std::string &R : Routes) {
      Text << Separator << R"({"name":"r-)" << R
           << R"(","host":"trade.example","prefix":"/)" << R
           << R"(/","service":")" << Pool(R)
           << R"(","slo_ms":600,"prio":0,"attempts":)" << Attempts
           << R"(,"slo_factor":1.6,"timeout_ms":3000})";
      Separator = ",";
    }
    Text << R"(],"services":[)";
    Separator = "";
    for (const std::string &P : Pools) {
      Text << Separator << R"({"name":")" << P << R"(","standby":false})";
      Separator = ",";
    }
    Text << R"(],"limits":{"max_body_bytes":65536})";
    if (!Accounts_.empty())
      Text << R"(,"tenants":)" << Accounts_;
    Text << "}";
    waitFor([&] { return writeRow({"op", "", "config"}, Text.str()); });
  }

  bool ready(std::size_t I) {
    http::Call C;
    C.Url_ = "http://" + loopbackAddress(Entries_[I].ReadyPort_) + "/-/readyz";
    return send(std::move(C)).Status_ == 200;
  }

  void injectStoreFault(const QByteArray &Fault) {
    http::Call C;
    C.Method_ = "POST";
    C.Url_ = "http://" + loopbackAddress(StorePort_) + "/fault";
    C.Body_ = Fault;
    CPPUNIT_ASSERT_EQUAL(200, send(std::move(C)).Status_);
  }

  /// Requests a maintenance wave that has 25 s.
  void requestWave(int Number, const std::vector<std::string> &Machines,
                   int MaxAtOnce) {
    std::ostringstream Text;
    Text << R"({"wave":)" << Number << R"(,"within_s":25,"max_count":)"
         << MaxAtOnce << R"(,"machines":[)";
    const char *Separator = "";
    for (const std::string &M : Machines) {
      Text << Separator << '"' << M << '"';
      Separator = ",";
    }
    Text << "]}";
    const std::string Key = "wave/" + std::to_string(Number);
    waitFor([&] { return writeRow({"op", "", Key}, Text.str()); });
  }

  /// Returns the index of the entry instance to which a process belongs.
  static std::size_t indexOf(const std::string &Incarnation) {
    constexpr std::size_t PrefixLength = std::string_view("entry-").size();
    return std::stoul(Incarnation.substr(PrefixLength));
  }

  /// Writes a row of the workers' table.
  void writeWorker(const std::string &Id, const std::string &Value) {
    waitFor([&] { return writeRow({"servers", "", Id}, Value); });
  }
  void removeWorker(const std::string &Id) {
    waitFor([&] { return writeRow({"servers", "", Id}, std::nullopt); });
  }

  /// Whether the store has a row.
  bool hasRow(const platform_api::RowPlace &Place) {
    platform_api::Store S(Http_, {loopbackAddress(StorePort_), {}, true});
    std::optional<platform_api::StoreReply> Reply;
    S.readRow(Place, Millis(500),
              [&](const platform_api::StoreReply &R) { Reply = R; });
    waitFor([&] { return Reply.has_value(); });
    CPPUNIT_ASSERT(Reply->Outcome_ == platform_api::StoreOutcome::Ok);
    // The answer begins with the next key if there is no such row.
    return !Reply->Rows_.empty() &&
           Reply->Rows_.front().Place_.Key_ == Place.Key_;
  }

  /// Waits until an entry instance holds the pool's duty and returns its index.
  std::size_t holder() {
    std::optional<std::size_t> Found;
    waitFor([&] {
      for (std::size_t I = 0; I < Entries_.size(); ++I)
        if (log(I).find(R"("pool":"quoting")") != std::string::npos &&
            log(I).find(R"("event":"duty-loaded","jobs")") != std::string::npos)
          Found = I;
      return Found.has_value();
    });
    return *Found;
  }

  std::string log(std::size_t I) const {
    std::ifstream In(pathInFolder("entry-" + std::to_string(I) + ".out"));
    return {std::istreambuf_iterator<char>(In), {}};
  }

  /// Whether an entry instance has logged an event about a worker.
  bool logged(std::size_t I, const std::string &Event,
              const std::string &Worker) const {
    std::istringstream Lines(log(I));
    std::string Line;
    while (std::getline(Lines, Line))
      if (Line.find(R"("event":")" + Event + '"') != std::string::npos &&
          Line.find(R"("worker":")" + Worker + '"') != std::string::npos)
        return true;
    return false;
  }

private:
  std::string pathInFolder(const std::string &Name) const {
    return Folder_.filePath(QString::fromStdString(Name)).toStdString();
  }

  std::unique_ptr<QProcess> startProcess(const char *Program,
                                         const QStringList &Arguments,
                                         const std::string &Name) {
    auto P = std::make_unique<QProcess>();
    P->setStandardOutputFile(
        QString::fromStdString(pathInFolder(Name + ".out")));
    P->setStandardErrorFile(
        QString::fromStdString(pathInFolder(Name + ".err")));
    P->start(QString::fromStdString(programPath(Program)), Arguments);
    CPPUNIT_ASSERT(P->waitForStarted(StartTimeoutMs));
    return P;
  }

  static void terminate(QProcess &P) {
    if (P.state() == QProcess::NotRunning)
      return;
    ::kill(static_cast<pid_t>(P.processId()), SIGCONT);
    P.kill();
    P.waitForFinished(StartTimeoutMs);
  }

  Answer send(http::Call C) {
    QElapsedTimer Timer;
    Timer.start();
    std::optional<http::Reply> Reply;
    Http_.send(std::move(C), [&](const http::Reply &R) { Reply = R; });
    waitFor([&] { return Reply.has_value(); });
    return {Reply->Status_, Timer.elapsed(), Reply->Body_};
  }

  /// Writes a row, or removes it if there is no value.
  bool writeRow(const platform_api::RowPlace &Place,
                const std::optional<std::string> &Value) {
    platform_api::Store S(Http_, {loopbackAddress(StorePort_), {}, true});
    std::optional<platform_api::StoreReply> Reply;
    S.transact({{}, {{Place, Value}}}, Millis(500),
               [&](const platform_api::StoreReply &R) { Reply = R; });
    waitFor([&] { return Reply.has_value(); });
    return Reply->Outcome_ == platform_api::StoreOutcome::Ok;
  }

  void startEntry(std::size_t I) {
    Entry &E = Entries_[I];
    const std::string Name = "entry-" + std::to_string(I);
    std::ofstream(pathInFolder(Name + ".ini"))
        << "[entry]\nname = " << Name << "\nzone = z" << I << "\ncpu_share = "
        << (I < Options_.CpuShares_.size() ? Options_.CpuShares_[I] : 0.25)
        << '\n'
        << Options_.EntryKeys_
        << "[listen]\nfront = " << loopbackAddress(E.FrontPort_)
        << "\nready = " << loopbackAddress(E.ReadyPort_)
        << "\npeers = " << loopbackAddress(E.PeersPort_)
        << "\n[store]\naddress = " << loopbackAddress(StorePort_)
        << "\n[machines]\naddress = "
        << loopbackAddress(Options_.MachinesPort_ ? Options_.MachinesPort_
                                                  : StorePort_)
        << "\norders_per_s = 64.0\n[advice]\naddress =\n[bounds]\n"
           "run_lease_max_ms = 10000\norder_lease_ms = 3000\n"
           "order_fencing = true\n"
           "status_kept_s = "
        << Options_.StatusKeptSeconds_
        << "\nstop_grace_s = 6\nmove_s = 1.5\nupkeep_s = 2\n";
    E.Process_ = startProcess(
        "heathercrossd",
        {"--deployment", QString::fromStdString(pathInFolder(Name + ".ini"))},
        Name);
    waitFor([&] { return ready(I); });
  }

  DeploymentOptions Options_;
  std::string Accounts_;
  http::Client Http_;
  QTemporaryDir Folder_;
  quint16 StorePort_ = freePort();
  std::unique_ptr<QProcess> StoreProcess_;
  std::vector<Entry> Entries_;
};

} // namespace heathercross::test
