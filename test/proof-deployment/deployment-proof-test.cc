// End-to-end tests of entry instances as the platform deploys them, with real
// processes: client calls while a duty holder stops responding, and while the
// store is unavailable.
#include "http/http-client.h"
#include "platform/store.h"
#include "support/event-loop.h"
#include "support/odd-json.h"
#include "support/story.h"

#include <QElapsedTimer>
#include <QProcess>
#include <QTcpServer>
#include <QTemporaryDir>

#include <csignal>
#include <fstream>
#include <memory>
#include <optional>
#include <sstream>

using namespace heathercross;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

constexpr int StartTimeoutMs = 10'000;

quint16 freePort() {
  QTcpServer Probe;
  Probe.listen(QHostAddress::LocalHost, 0);
  return Probe.serverPort();
}

std::string programPath(const char *Name) {
  const char *Folder = std::getenv("HEATHERCROSS_BIN");
  return std::string(Folder ? Folder : ".") + "/" + Name;
}

std::string loopbackAddress(quint16 Port) {
  return "127.0.0.1:" + std::to_string(Port);
}

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

  explicit Deployment(int Count) : Entries_(static_cast<std::size_t>(Count)) {
    StoreProcess_ = startProcess(
        "standin-platform", {"--port", QString::number(StorePort_)}, "store");
    waitFor([&] { return writeConfiguration(); });
    for (std::size_t I = 0; I < Entries_.size(); ++I)
      startEntry(I);
  }

  ~Deployment() {
    for (Entry &E : Entries_)
      terminate(*E.Process_);
    terminate(*StoreProcess_);
  }

  void sendSignal(std::size_t I, int Signal) {
    ::kill(static_cast<pid_t>(Entries_[I].Process_->processId()), Signal);
  }

  struct Answer {
    int Status_ = 0;
    qint64 ElapsedMs_ = 0;
  };

  /// Sends a client's call to an entry instance. Status 0 means that no reply
  /// arrived.
  Answer call(std::size_t I, const char *Method, const std::string &Job,
              const QByteArray &Body = {}) {
    http::Call C;
    C.Method_ = Method;
    C.Url_ =
        "http://" + loopbackAddress(Entries_[I].FrontPort_) + "/quotes/" + Job;
    C.Headers_ = {"Host: trade.example", "Content-Type: application/json",
                  "Heathercross-Deadline-Ms: 3000"};
    C.Body_ = Body;
    C.Timeout_ = Millis(4000);
    return send(std::move(C));
  }

  Answer submit(std::size_t I, const std::string &Job) {
    return call(
        I, "POST", Job,
        R"({"spec":"x","phases":[{"count":1,"cpu":1000,"mem_mb":10,"est_ms":500}]})");
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

  /// Writes a row of the workers' table.
  void writeWorker(const std::string &Id, const std::string &Value) {
    waitFor([&] { return writeRow({"servers", "", Id}, Value); });
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
    return {Reply->Status_, Timer.elapsed()};
  }

  /// Writes a configuration with one route and one service to the store;
  /// returns whether the store accepted it.
  bool writeConfiguration() {
    const char *Configuration =
        R"({"version":3,"routes":[{"name":"r-1","host":"trade.example",)"
        R"("prefix":"/quotes/","service":"quoting","slo_ms":600,"prio":0,)"
        R"("attempts":2,"slo_factor":1.6,"timeout_ms":3000}],"services":[)"
        R"({"name":"quoting","standby":false}],"limits":{"max_body_bytes":65536}})";
    return writeRow({"op", "", "config"}, Configuration);
  }

  bool writeRow(const platform_api::RowPlace &Place, const std::string &Value) {
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
        << "[entry]\nname = " << Name << "\nzone = z" << I
        << "\ncpu_share = 0.25\n[listen]\nfront = "
        << loopbackAddress(E.FrontPort_)
        << "\nready = " << loopbackAddress(E.ReadyPort_)
        << "\npeers = " << loopbackAddress(E.PeersPort_)
        << "\n[store]\naddress = " << loopbackAddress(StorePort_)
        << "\n[machines]\naddress = " << loopbackAddress(StorePort_)
        << "\norders_per_s = 64.0\n[advice]\naddress =\n[bounds]\n"
           "run_lease_max_ms = 10000\norder_lease_ms = 3000\n"
           "order_fencing = true\n"
           "status_kept_s = 120\nstop_grace_s = 6\nmove_s = 1.5\n"
           "upkeep_s = 2\n";
    E.Process_ = startProcess(
        "heathercrossd",
        {"--deployment", QString::fromStdString(pathInFolder(Name + ".ini"))},
        Name);
    waitFor([&] { return ready(I); });
  }

  http::Client Http_;
  QTemporaryDir Folder_;
  quint16 StorePort_ = freePort();
  std::unique_ptr<QProcess> StoreProcess_;
  std::vector<Entry> Entries_;
};

} // namespace

// Guards against calls that are lost or time out when the duty holder stops
// responding while other entries still forward calls to it, as when its zone
// has just been cut off.
HEATHERCROSS_STORY(FrozenHolderScenario,
                   "calls follow the duty to its next holder") {
  startQt();
  Deployment D(3);
  const std::size_t Holder = D.holder();
  const std::size_t Other = (Holder + 1) % 3;
  section("a submission at any entry is stored", [&] {
    CPPUNIT_ASSERT_EQUAL(200, D.submit(Other, "00000000000000a1").Status_);
    CPPUNIT_ASSERT_EQUAL(200, D.submit(Holder, "00000000000000a1").Status_);
  });
  section("a call is answered within the deadline while the holder is frozen",
          [&] {
            D.sendSignal(Holder, SIGSTOP);
            const auto Result = D.submit(Other, "00000000000000a2");
            CPPUNIT_ASSERT_EQUAL(200, Result.Status_);
            CPPUNIT_ASSERT(Result.ElapsedMs_ < 3000);
            CPPUNIT_ASSERT(D.log(Other).find("holder-unreachable") !=
                           std::string::npos);
          });
  section("what was stored is known to the next holder", [&] {
    CPPUNIT_ASSERT_EQUAL(200, D.call(Other, "GET", "00000000000000a1").Status_);
    CPPUNIT_ASSERT_EQUAL(410, D.call(Other, "GET", "00000000000000a9").Status_);
  });
  section("the former holder passes calls on once it resumes", [&] {
    D.sendSignal(Holder, SIGCONT);
    runFor(1500);
    CPPUNIT_ASSERT_EQUAL(200, D.submit(Holder, "00000000000000a3").Status_);
    CPPUNIT_ASSERT_EQUAL(200, D.call(Other, "GET", "00000000000000a3").Status_);
  });
}

// Guards against an entry that keeps callers waiting and stays ready although
// it can reach neither the store nor the duty holder.
HEATHERCROSS_STORY(IsolatedEntryScenario,
                   "an entry that is cut off fails calls at once") {
  startQt();
  Deployment D(2);
  const std::size_t Holder = D.holder();
  const std::size_t Other = 1 - Holder;
  CPPUNIT_ASSERT_EQUAL(200, D.submit(Other, "00000000000000b0").Status_);
  D.injectStoreFault(R"({"kind":"cut-zone","zone":""})");
  D.sendSignal(Holder, SIGSTOP);
  runFor(2500);
  section("callers aren't kept for long", [&] {
    const auto Result = D.submit(Other, "00000000000000b1");
    CPPUNIT_ASSERT_EQUAL(503, Result.Status_);
    CPPUNIT_ASSERT(Result.ElapsedMs_ < 1000);
  });
  section("the balancer sees that it is unavailable",
          [&] { CPPUNIT_ASSERT(!D.ready(Other)); });
  section("after it ends calls go on as usual", [&] {
    D.injectStoreFault(R"({"kind":"none"})");
    D.sendSignal(Holder, SIGCONT);
    waitFor([&] { return D.ready(Other); });
    waitFor([&] { return D.submit(Other, "00000000000000b2").Status_ == 200; });
  });
}

namespace {

std::string registration(const std::string &Address) {
  return R"({"service":"quoting","addr":")" + Address +
         R"(","zone":"z0","version":"v1","slots":8,"state":"ready",)"
         R"("cold_left_ms":0,"capacity":{"cpu":16000,"mem_mb":32768},)"
         R"("labels":["a","r1-2"],"seq":4})";
}

} // namespace

// Guards against an entry that ends, or stops following the workers, because
// another writer left an odd row among theirs.
HEATHERCROSS_STORY(OddWorkerRows, "an odd row of a worker leaves the others") {
  startQt();
  Deployment D(1);
  D.holder();
  const auto Seen = [&](const std::string &Worker) {
    return D.logged(0, "worker-seen", Worker);
  };
  D.writeWorker("w-1", registration("127.0.0.1:1"));
  waitFor([&] { return Seen("w-1"); });
  std::size_t Written = 2;
  const auto WriteOdd = [&](const std::string &Id, const std::string &Value) {
    D.writeWorker(Id, Value);
    const std::string Next = "w-" + std::to_string(Written++);
    D.writeWorker(Next, registration("127.0.0.1:1"));
    waitFor([&] { return Seen(Next); });
    CPPUNIT_ASSERT_MESSAGE(Id, !Seen(Id));
    CPPUNIT_ASSERT(D.ready(0));
  };
  section("later changes are followed", [&] {
    WriteOdd("nested-arrays", test::nestedArrays(10'000));
    WriteOdd("nested-objects", test::nestedObjects("capacity", 10'000));
    WriteOdd("port", registration("127.0.0.1:99999"));
    WriteOdd("name", registration("somewhere.example:80"));
    WriteOdd("bytes", "\xff\xfe");
    std::string Large = registration("127.0.0.1:1");
    WriteOdd("number", Large.replace(Large.find("16000"), 5, "1e400"));
  });
  section("the workers that were known stay known", [&] {
    runFor(3000);
    CPPUNIT_ASSERT(D.log(0).find("worker-unregistered") == std::string::npos);
    CPPUNIT_ASSERT_EQUAL(200, D.submit(0, "00000000000000c1").Status_);
  });
}

// Guards against a worker that is used although its row can't be read anymore.
HEATHERCROSS_STORY(KnownWorkerTurnsOdd,
                   "a known worker whose row turns odd is treated as missing") {
  startQt();
  Deployment D(1);
  D.holder();
  const auto Dropped = [&](const std::string &Worker) {
    return D.logged(0, "worker-unregistered", Worker);
  };
  D.writeWorker("w-1", registration("127.0.0.1:1"));
  D.writeWorker("w-2", registration("127.0.0.1:1"));
  waitFor([&] { return D.logged(0, "worker-seen", "w-2"); });
  section("it stays known if its row can be read again soon", [&] {
    D.writeWorker("w-1", "odd");
    runFor(1000);
    D.writeWorker("w-1", registration("127.0.0.1:1"));
    runFor(3500);
    CPPUNIT_ASSERT(!Dropped("w-1"));
  });
  section("it is dropped otherwise, and the other one isn't", [&] {
    D.writeWorker("w-1", "odd");
    waitFor([&] { return Dropped("w-1"); });
    CPPUNIT_ASSERT(!Dropped("w-2"));
  });
}
