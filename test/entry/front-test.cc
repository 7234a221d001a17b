// Tests of a caller's request on its way to the holder of its pool.
#include "entry/front.h"
#include "entry/rows.h"
#include "platform/documents.h"
#include "support/event-loop.h"
#include "support/resend-server.h"
#include "support/story.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fcntl.h>
#include <functional>
#include <optional>

using namespace heathercross;
using namespace heathercross::entry;
using heathercross::test::ResendServer;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

constexpr int Ok = 200;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

const char *const Configuration = R"({"version":7,"routes":[
  {"name":"r1","host":"a.example","prefix":"/q/","service":"s1",
   "attempts":2,"slo_factor":1.6,"slo_ms":600,"timeout_ms":3000}],
  "services":[{"name":"s1"}],"limits":{}})";

/// A store with the configuration and one holder of all duties.
class FakeStore {
public:
  explicit FakeStore(std::string HolderAddress)
      : HolderAddress_(std::move(HolderAddress)) {
    Server_.listen(QHostAddress::LocalHost, 0);
  }

  bool Answers_ = true;
  /// The holder's epoch; it may increase.
  Epoch Epoch_{4};
  EntryId Holder_{"other/1"};

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }

private:
  static QJsonObject row(const QByteArray &Table, const QByteArray &Part,
                         const std::string &Key, const std::string &Value,
                         std::uint64_t Version) {
    return {{"table", QString::fromUtf8(Table)},
            {"part", QString::fromUtf8(Part)},
            {"key", QString::fromStdString(Key)},
            {"value",
             QString::fromLatin1(QByteArray::fromStdString(Value).toBase64())},
            {"ver", static_cast<qint64>(Version)}};
  }

  /// The store's version is the holder's epoch, the only thing that changes.
  std::uint64_t version() const { return Epoch_.value(); }

  QJsonObject holderRow(const QByteArray &Part) const {
    return row(HolderTable, Part, HolderKey,
               encodeHolder({Holder_, HolderAddress_, Epoch_, 1}), version());
  }

  void serve(const http::Request &R, http::Responder &To) const {
    http::Response Out;
    Out.Status_ = Answers_ ? Ok : Unavailable;
    const QByteArray Table = R.parameter("table");
    const bool IsRead = R.Path_ == "/-/rows-get";
    const bool HasChanged = R.parameter("after").toULongLong() < version();
    QJsonArray Rows;
    if (IsRead && Table == platform_api::OperatorTable)
      Rows.append(row(Table, "", platform_api::ConfigurationKey, Configuration,
                      version()));
    if (Table == HolderTable && (IsRead || HasChanged))
      Rows.append(holderRow(IsRead ? R.parameter("part") : QByteArray("s1")));
    Out.Body_ =
        QJsonDocument(QJsonObject{{"rows", Rows},
                                  {"ver", static_cast<qint64>(version())}})
            .toJson();
    To.respond(Out);
  }

  std::string HolderAddress_;
  http::Server Server_{
      {}, [this](http::Request &&R, http::Responder &&To) { serve(R, To); }};
};

/// An entry that holds no duty, in front of the holder at an address.
class FrontOfHolder {
public:
  explicit FrontOfHolder(const std::string &HolderAddress)
      : Store_(HolderAddress) {
    Ingress_.listen(QHostAddress::LocalHost, 0);
    State_.start();
    waitFor([this] {
      return State_.configuration() &&
             State_.duties().holder(PoolId("s1")).has_value();
    });
  }

  /// Submits a job; OnAnswer gets the status.
  void submit(Millis Deadline, std::function<void(int)> OnAnswer) {
    http::Call C;
    C.Method_ = "POST";
    C.Url_ = "http://127.0.0.1:" + std::to_string(Ingress_.port()) +
             "/q/5c0e7a21d94b36f8";
    C.Headers_ = {"Host: a.example", "Heathercross-Deadline-Ms: " +
                                         std::to_string(Deadline.count())};
    C.Body_ = R"({"spec":"x","phases":[{"count":1,"cpu":1,"est_ms":1}]})";
    C.Timeout_ = 10 * Deadline;
    CallerHttp_.send(
        std::move(C), [OnAnswer = std::move(OnAnswer)](const http::Reply &R) {
          OnAnswer(R.Delivery_ == http::Delivery::Answered ? R.Status_ : 0);
        });
  }

  int submit(Millis Deadline) {
    std::optional<int> Status;
    submit(Deadline, [&](int S) { Status = S; });
    waitFor([&] { return Status.has_value(); });
    return *Status;
  }

  /// Opens a connection to the holder, which the next call to it uses.
  void openConnection(const std::string &HolderAddress) {
    http::Call C;
    C.Url_ = "http://" + HolderAddress + "/";
    bool Done = false;
    PeerHttp_.send(std::move(C), [&](const http::Reply &) { Done = true; });
    waitFor([&] { return Done; });
  }

  FakeStore &store() { return Store_; }
  ClusterState &state() { return State_; }
  const Front &front() const { return Front_; }

private:
  FakeStore Store_;
  EntrySettings Settings_;
  process::Clock Clock_;
  process::EventLog Log_{open("/dev/null", O_WRONLY | O_CLOEXEC)};
  process::Metrics Metrics_;
  http::Client Http_;
  http::Client PeerHttp_;
  http::Client CallerHttp_;
  platform_api::Store Client_{Http_, {Store_.address(), {}, false}};
  platform_api::Workers Workers_{Http_};
  platform_api::Machines Machines_{Http_, "127.0.0.1:1"};
  platform_api::Advice AdviceService_{Http_};
  AdviceCalls Advice_{AdviceService_, Clock_};
  Context Context_{Settings_, EntryId("self/1"), Clock_,    Log_,    Metrics_,
                   Client_,   Workers_,          Machines_, Advice_, PeerHttp_};
  ClusterState State_{Context_, {[] {}, [] {}, [this] { Front_.onDuties(); }}};
  Duties Duties_{Context_, State_};
  Front Front_{Context_, State_, Duties_};
  http::Server Ingress_{{}, [this](http::Request &&R, http::Responder &&To) {
                          Front_.serve(std::move(R), std::move(To));
                        }};
};

/// The answer to a submission whose call the holder gets twice.
int answerToResent(const char *HolderAnswer) {
  ResendServer Holder;
  Holder.Body_ = HolderAnswer;
  FrontOfHolder F(Holder.address());
  F.openConnection(Holder.address());
  const int Status = F.submit(Millis(700));
  CPPUNIT_ASSERT(Holder.received() >= 3);
  return Status;
}

/// The answer to a submission that reaches the holder once at a time.
int answerTo(const char *HolderAnswer) {
  http::Server Holder({}, [&](http::Request &&, http::Responder &&To) {
    http::Response R;
    R.Body_ = HolderAnswer;
    To.respond(R);
  });
  Holder.listen(QHostAddress::LocalHost, 0);
  FrontOfHolder F("127.0.0.1:" + std::to_string(Holder.port()));
  return F.submit(Millis(700));
}

const char *const Accepted = R"({"answer":"accepted"})";
const char *const Rejected =
    R"({"answer":"rejected","cause":"too-much-ahead"})";
const char *const NotHolder = R"({"answer":"not-holder"})";

/// The answer to a submission that gets no answer at first, and is then
/// rejected by the holder of an epoch.
int answerAfterSilence(Epoch Rejecting) {
  std::vector<http::Responder> Unanswered;
  bool Silent = true;
  http::Server Holder({}, [&](http::Request &&R, http::Responder &&To) {
    http::Response Answer;
    Answer.Body_ = Rejected;
    if (Silent && R.Path_ == "/call")
      return Unanswered.push_back(std::move(To));
    To.respond(Answer);
  });
  Holder.listen(QHostAddress::LocalHost, 0);
  FrontOfHolder F("127.0.0.1:" + std::to_string(Holder.port()));
  std::optional<int> Status;
  F.submit(Millis(3000), [&](int S) { Status = S; });
  waitFor([&] { return Unanswered.size() == 1; });
  Silent = false;
  F.store().Epoch_ = Rejecting;
  waitFor([&] { return Status.has_value(); });
  return *Status;
}

} // namespace

// A refused second copy of a call was taken as proof that the job isn't stored.
HEATHERCROSS_STORY(ResentSubmission, "a submission that the holder may have "
                                     "stored isn't answered as refused") {
  startQt();
  section("the second copy is rejected", [] {
    CPPUNIT_ASSERT_EQUAL(GatewayTimeout, answerToResent(Rejected));
  });
  section("the second copy finds another holder", [] {
    CPPUNIT_ASSERT_EQUAL(GatewayTimeout, answerToResent(NotHolder));
  });
  section("the second copy is accepted",
          [] { CPPUNIT_ASSERT_EQUAL(Ok, answerToResent(Accepted)); });
  section("a call without an answer, then a rejection in the same epoch", [] {
    CPPUNIT_ASSERT_EQUAL(GatewayTimeout, answerAfterSilence(Epoch(4)));
  });
  section("a rejection in a later epoch holds for the former call, too", [] {
    CPPUNIT_ASSERT_EQUAL(TooManyRequests, answerAfterSilence(Epoch(5)));
  });
  section("calls that were sent once are answered as the holder says", [] {
    CPPUNIT_ASSERT_EQUAL(TooManyRequests, answerTo(Rejected));
    CPPUNIT_ASSERT_EQUAL(Unavailable, answerTo(NotHolder));
    CPPUNIT_ASSERT_EQUAL(Ok, answerTo(Accepted));
  });
}

// Guards against a false refusal: the call stood twice in the list of those
// that wait for an answer, and its second copy forgot the unanswered attempt.
HEATHERCROSS_STORY(ResentAtTakeover, "a submission without an answer isn't "
                                     "refused after its entry took over") {
  startQt();
  std::vector<http::Responder> Unanswered;
  int Calls = 0;
  http::Server Holder({}, [&](http::Request &&R, http::Responder &&To) {
    http::Response Answer;
    Answer.Body_ = NotHolder;
    if (R.Path_ == "/call" && ++Calls > 1)
      return Unanswered.push_back(std::move(To));
    To.respond(Answer);
  });
  Holder.listen(QHostAddress::LocalHost, 0);
  FrontOfHolder F("127.0.0.1:" + std::to_string(Holder.port()));
  std::optional<int> Status;
  section("the former holder gets it twice and leaves the second unanswered",
          [&] {
            F.submit(Millis(3000), [&](int S) { Status = S; });
            waitFor([&] { return Unanswered.size() == 1; });
            CPPUNIT_ASSERT(!Status);
          });
  section("the entry takes over and isn't ready before the deadline", [&] {
    F.store().Holder_ = EntryId("self/1");
    F.store().Epoch_ = Epoch(5);
    waitFor([&] { return Status.has_value(); });
    CPPUNIT_ASSERT_EQUAL(GatewayTimeout, *Status);
  });
}

// Requests that waited for a ping got no answer if the store was back when the
// ping failed.
HEATHERCROSS_STORY(PingFails, "a request that waits for a ping is answered "
                              "whether or not the store answers again") {
  startQt();
  std::vector<http::Responder> Unanswered;
  http::Server Holder({}, [&](http::Request &&, http::Responder &&To) {
    Unanswered.push_back(std::move(To));
  });
  Holder.listen(QHostAddress::LocalHost, 0);
  for (const bool StoreReturns : {true, false})
    section(StoreReturns ? "it does" : "it doesn't", [&] {
      FrontOfHolder F("127.0.0.1:" + std::to_string(Holder.port()));
      F.store().Answers_ = false;
      waitFor([&] { return !F.state().storeAnswers(); });
      std::optional<int> Status;
      F.submit(Millis(1200), [&](int S) { Status = S; });
      waitFor([&] { return F.front().pending() == 1; });
      if (StoreReturns) {
        F.store().Answers_ = true;
        waitFor([&] {
          F.state().pollDutiesNow();
          return F.state().storeAnswers();
        });
        CPPUNIT_ASSERT(!Status);
      }
      heathercross::test::runFor(2000);
      CPPUNIT_ASSERT(Status.has_value());
      CPPUNIT_ASSERT(*Status == Unavailable || *Status == GatewayTimeout);
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.front().pending());
    });
}
