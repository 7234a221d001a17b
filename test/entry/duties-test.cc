// Tests of how long a holder acts on the row that gave it its duty.
#include "entry/duties.h"
#include "entry/rows.h"
#include "platform/documents.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <fcntl.h>
#include <optional>
#include <vector>

using namespace heathercross;
using namespace heathercross::entry;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

const char *const Configuration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/q/","service":"s1",
   "attempts":2,"slo_factor":1.6,"slo_ms":600,"timeout_ms":3000}],
  "services":[{"name":"s1"}],"limits":{}})";

http::Response jsonResponse(const QJsonObject &Body) {
  http::Response R;
  R.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  return R;
}

/// A worker without runs that counts the renewals which grant a lease.
class FakeWorker {
public:
  FakeWorker() { Server_.listen(QHostAddress::LocalHost, 0); }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }
  int renewals() const { return Renewals_; }
  int leases() const { return Leases_; }

private:
  void serve(const http::Request &R, http::Responder &To) {
    ++Renewals_;
    const auto Body = QJsonDocument::fromJson(R.Body_).object();
    Leases_ += Body.contains("until_ms") ? 1 : 0;
    To.respond(jsonResponse({{"clock_ms", 1000 + Renewals_},
                             {"born", 1},
                             {"running", QJsonArray()},
                             {"finished", QJsonArray()}}));
  }

  int Renewals_ = 0;
  int Leases_ = 0;
  http::Server Server_{
      {}, [this](http::Request &&R, http::Responder &&To) { serve(R, To); }};
};

/// A store whose holder rows name this entry. Writes are held back until
/// answerWrites().
class FakeStore {
public:
  explicit FakeStore(std::string WorkerAddress)
      : WorkerAddress_(std::move(WorkerAddress)) {
    Server_.listen(QHostAddress::LocalHost, 0);
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }
  /// Refuses the writes that give a duty back.
  bool RefusesVacant_ = false;
  int vacantRefused() const { return VacantRefused_; }
  int vacantTaken() const { return VacantTaken_; }
  /// Refuses the writes of the fleet controller's rows.
  bool RefusesWaves_ = false;
  int wavesRefused() const { return WavesRefused_; }
  int fleetRenewals() const { return FleetRenewals_; }
  /// The row of the fleet duty names this entry, too.
  bool HoldsFleet_ = false;
  std::size_t heldWrites() const { return Held_.size(); }
  void answerWrites() {
    AnswersWrites_ = true;
    for (http::Responder &To : std::exchange(Held_, {}))
      respond(To, {});
  }

private:
  static QJsonObject row(const QByteArray &Table, const QByteArray &Part,
                         const char *Key, const std::string &Value) {
    return {{"table", QString::fromUtf8(Table)},
            {"part", QString::fromUtf8(Part)},
            {"key", Key},
            {"value",
             QString::fromLatin1(QByteArray::fromStdString(Value).toBase64())},
            {"ver", 3}};
  }

  void respond(http::Responder &To, const QJsonArray &Rows) {
    To.respond(jsonResponse({{"rows", Rows}, {"ver", Version_++}}));
  }

  void serve(const http::Request &R, http::Responder &&To) {
    if (R.Path_ == "/-/rows-tx" && !AnswersWrites_)
      return Held_.push_back(std::move(To));
    if (R.Path_ == "/-/rows-tx" && RefusesVacant_ && givesBack(R.Body_)) {
      ++VacantRefused_;
      http::Response Busy;
      Busy.Status_ = 503;
      To.respond(Busy);
      return;
    }
    if (R.Path_ == "/-/rows-tx" && RefusesWaves_ && hasWaveRows(R.Body_)) {
      ++WavesRefused_;
      http::Response Busy;
      Busy.Status_ = 503;
      To.respond(Busy);
      return;
    }
    if (R.Path_ == "/-/rows-tx") {
      VacantTaken_ += givesBack(R.Body_) ? 1 : 0;
      FleetRenewals_ += R.Body_.contains(FleetDuty.str().c_str()) ? 1 : 0;
    }
    const QByteArray Table = R.parameter("table");
    QJsonArray Rows;
    if (R.Path_ != "/-/rows-get")
      return respond(To, Rows);
    if (Table == platform_api::OperatorTable)
      Rows.append(
          row(Table, "", platform_api::ConfigurationKey, Configuration));
    if (Table == platform_api::WorkerTable)
      Rows.append(row(Table, "", "w1",
                      R"({"service":"s1","zone":"a","state":"ready","born":1,
                          "capacity":{"cpu":4000,"mem_mb":8000},"labels":["r1"],
                          "addr":")" +
                          WorkerAddress_ + R"("})"));
    const QByteArray Part = R.parameter("part");
    if (Table == HolderTable &&
        (Part == "s1" || (HoldsFleet_ && Part == FleetDuty.str().c_str())))
      Rows.append(
          row(Table, Part, HolderKey,
              encodeHolder({EntryId("self/1"), "127.0.0.1:1", Epoch(5), 1})));
    respond(To, Rows);
  }

  /// Whether a transaction writes a holder row without a holder.
  static bool givesBack(const QByteArray &Body) {
    const auto Rows =
        QJsonDocument::fromJson(Body).object()["set_keys"].toArray();
    return std::ranges::any_of(Rows, [](const QJsonValue &Row) {
      const auto H = decodeHolder(
          QByteArray::fromBase64(Row["value"].toString().toLatin1())
              .toStdString());
      return Row["table"].toString() == HolderTable && H && H->Holder_.empty();
    });
  }

  static bool hasWaveRows(const QByteArray &Body) {
    const auto Rows =
        QJsonDocument::fromJson(Body).object()["set_keys"].toArray();
    return std::ranges::any_of(Rows, [](const QJsonValue &Row) {
      return Row["table"].toString() == WaveTable;
    });
  }

  std::string WorkerAddress_;
  bool AnswersWrites_ = false;
  int VacantRefused_ = 0;
  int VacantTaken_ = 0;
  int WavesRefused_ = 0;
  int FleetRenewals_ = 0;
  qint64 Version_ = 4;
  std::vector<http::Responder> Held_;
  http::Server Server_{{}, [this](http::Request &&R, http::Responder &&To) {
                         serve(R, std::move(To));
                       }};
};

/// An entry that begins the duties which holder rows say it has.
class EntryWithDuty {
public:
  explicit EntryWithDuty(bool HoldsFleet = false) {
    Store_.HoldsFleet_ = HoldsFleet;
    State_.start();
  }

  FakeWorker &worker() { return Worker_; }
  FakeStore &store() { return Store_; }
  void stop(std::function<void()> OnDone) { Duties_.stop(std::move(OnDone)); }
  bool holdsPool() const { return Duties_.holder(PoolId("s1")) != nullptr; }
  PoolHolder *holder() const { return Duties_.holder(PoolId("s1")); }

private:
  FakeWorker Worker_;
  FakeStore Store_{Worker_.address()};
  EntrySettings Settings_;
  process::Clock Clock_;
  process::EventLog Log_{open("/dev/null", O_WRONLY | O_CLOEXEC)};
  process::Metrics Metrics_;
  http::Client Http_;
  platform_api::Store Client_{Http_, {Store_.address(), {}, false}};
  platform_api::Workers Workers_{Http_};
  platform_api::Machines Machines_{Http_, "127.0.0.1:1"};
  platform_api::Advice AdviceService_{Http_};
  AdviceCalls Advice_{AdviceService_, Clock_};
  Context Context_{Settings_, EntryId("self/1"), Clock_,    Log_,    Metrics_,
                   Client_,   Workers_,          Machines_, Advice_, Http_};
  ClusterState State_{Context_,
                      {[this] { Duties_.onConfiguration(); },
                       [this] { Duties_.onWorkers(); },
                       [this] { Duties_.onDuties(); }}};
  Duties Duties_{Context_, State_};
};

} // namespace

// Guards against leases and orders by an entry that learns late, after a lost
// answer or a pause, that it was given a duty which another entry has since.
HEATHERCROSS_STORY(UnconfirmedDuty, "a duty that an entry finds in a row is "
                                    "held once the entry has written it") {
  startQt();
  EntryWithDuty E;
  section("it reads its workers' reports and grants no lease", [&] {
    waitFor([&] { return E.holdsPool() && E.worker().renewals() >= 2; });
    runFor(1500);
    CPPUNIT_ASSERT(E.store().heldWrites() >= 1);
    CPPUNIT_ASSERT_EQUAL(0, E.worker().leases());
  });
  section("it does when the store has taken its first batch", [&] {
    E.store().answerWrites();
    waitFor([&] { return E.worker().leases() > 0; });
  });
}

// Guards against LOST: after a refused write that gives the duty back, the
// entry began the same epoch again with fences below those that its workers had
// seen, lost the duty to them, and kept others from claiming it.
HEATHERCROSS_STORY(RefusedGiveBack, "a duty that couldn't be given back is "
                                    "taken again only in the next epoch") {
  startQt();
  EntryWithDuty E;
  E.store().answerWrites();
  waitFor([&] { return E.worker().leases() > 0; });
  bool Ended = false;
  section("the store refuses the write", [&] {
    E.store().RefusesVacant_ = true;
    E.holder()->handOver([&] { Ended = true; });
    waitFor([&] { return Ended; });
    CPPUNIT_ASSERT(E.store().vacantRefused() >= 1);
  });
  section("its epoch isn't begun again", [&] {
    bool Again = false;
    waitFor([&] {
      const PoolHolder *H = E.holder();
      Again = Again || (H && !H->handingOver() && H->self().Epoch_ == Epoch(5));
      return H && H->self().Epoch_ == Epoch(6);
    });
    CPPUNIT_ASSERT(!Again);
  });
}

// Guards against a handover that fails because of a moment's refusal.
HEATHERCROSS_STORY(RepeatedGiveBack,
                   "a refused write that gives a duty back is repeated") {
  startQt();
  EntryWithDuty E;
  E.store().answerWrites();
  waitFor([&] { return E.worker().leases() > 0; });
  bool Ended = false;
  E.store().RefusesVacant_ = true;
  E.holder()->handOver([&] { Ended = true; });
  waitFor([&] { return E.store().vacantRefused() > 1; });
  CPPUNIT_ASSERT(!Ended);
  E.store().RefusesVacant_ = false;
  waitFor([&] { return Ended; });
}

// Guards against machines that are ordered twice: a fleet controller gave its
// duty back though the rows that its successor relies on had been refused.
HEATHERCROSS_STORY(RefusedRecentOrders,
                   "the fleet duty is given back once the recent orders are "
                   "stored") {
  startQt();
  EntryWithDuty E(true);
  E.store().answerWrites();
  waitFor([&] { return E.holdsPool() && E.store().fleetRenewals() > 1; });
  E.store().RefusesWaves_ = true;
  bool Ended = false;
  E.stop([&] { Ended = true; });
  section("it isn't while the store refuses them", [&] {
    constexpr int PoolOnly = 1;
    // Long enough for the longest pause between two tries.
    runFor(3000);
    CPPUNIT_ASSERT(E.store().wavesRefused() >= 3);
    CPPUNIT_ASSERT(E.store().vacantTaken() <= PoolOnly);
    CPPUNIT_ASSERT(!Ended);
  });
  section("it is when they have been taken", [&] {
    E.store().RefusesWaves_ = false;
    waitFor([&] { return Ended; });
    CPPUNIT_ASSERT_EQUAL(2, E.store().vacantTaken());
  });
}
