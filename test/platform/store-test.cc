// Tests of the store client against every kind of answer.
#include "http/http-server.h"
#include "platform/store.h"
#include "support/event-loop.h"
#include "support/odd-json.h"
#include "support/resend-server.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

using namespace heathercross;
using namespace heathercross::platform_api;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

/// A store that gives every call the same answer, or none.
struct FakeStore {
  int Status_ = 200;
  QByteArray Body_ = R"({"ver":12,"now_ms":5})";
  bool Unresponsive_ = false;
  QByteArray LastBody_;
  QByteArray LastPath_;
  QByteArray LastQuery_;
  std::vector<http::Responder> Unanswered_;
  http::Server Server_{{}, [this](http::Request &&R, http::Responder &&To) {
                         LastBody_ = R.Body_;
                         LastPath_ = R.Path_;
                         LastQuery_ = R.Query_;
                         if (Unresponsive_)
                           return Unanswered_.push_back(To);
                         http::Response Out;
                         Out.Status_ = Status_;
                         Out.Body_ = Body_;
                         To.respond(Out);
                       }};

  FakeStore() { Server_.listen(QHostAddress::LocalHost, 0); }
  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.port());
  }
};

StoreReply runTransaction(FakeStore &M, const StoreTransaction &T) {
  http::Client Http;
  Store S(Http, {M.address(), {}, false});
  std::optional<StoreReply> Reply;
  S.transact(T, Millis(300), [&](const StoreReply &R) { Reply = R; });
  waitFor([&] { return Reply.has_value(); });
  return *Reply;
}

} // namespace

HEATHERCROSS_STORY(StoreAnswers, "each answer of the store is classified") {
  startQt();
  FakeStore M;
  const StoreTransaction T{
      {{{"t", "p", "k"}, RowVersion(3)}},
      {{{"t", "p", "k"}, "value"}, {{"t", "p", "gone"}, std::nullopt}}};
  section("a transaction is encoded as the store expects it", [&] {
    const StoreReply R = runTransaction(M, T);
    CPPUNIT_ASSERT(R.Outcome_ == StoreOutcome::Ok);
    CPPUNIT_ASSERT(R.Version_ == RowVersion(12));
    const QJsonObject O = QJsonDocument::fromJson(M.LastBody_).object();
    CPPUNIT_ASSERT_EQUAL(3, O["precondition"][0]["ver"].toInt());
    CPPUNIT_ASSERT(O["set_keys"][0]["value"].toString() == "dmFsdWU=");
    CPPUNIT_ASSERT(O["remove"][0]["key"].toString() == "gone");
  });
  section("refusals did nothing, other replies may have had an effect", [&] {
    const std::vector<std::pair<int, StoreOutcome>> Outcomes{
        {429, StoreOutcome::Refused},  {503, StoreOutcome::Refused},
        {412, StoreOutcome::Conflict}, {410, StoreOutcome::HistoryGone},
        {500, StoreOutcome::Unknown},  {502, StoreOutcome::Unknown},
        {400, StoreOutcome::Rejected}, {403, StoreOutcome::Rejected}};
    for (const auto &[Status, Outcome] : Outcomes) {
      M.Status_ = Status;
      CPPUNIT_ASSERT(runTransaction(M, T).Outcome_ == Outcome);
    }
    M.Status_ = 200;
  });
  section("an answer that can't be read may have done something", [&] {
    M.Body_ = "{";
    CPPUNIT_ASSERT(runTransaction(M, T).Outcome_ == StoreOutcome::Unknown);
  });
  section("no answer is treated alike", [&] {
    M.Unresponsive_ = true;
    CPPUNIT_ASSERT(runTransaction(M, T).Outcome_ == StoreOutcome::Unknown);
  });
  section("a call that never went out did nothing", [&] {
    http::Client Http;
    Store S(Http, {"127.0.0.1:1", {}, false});
    std::optional<StoreReply> Reply;
    S.transact(T, Millis(500), [&](const StoreReply &R) { Reply = R; });
    waitFor([&] { return Reply.has_value(); });
    CPPUNIT_ASSERT(Reply->Outcome_ == StoreOutcome::Refused);
  });
}

// A refused second copy was taken as proof that the first one wrote nothing.
HEATHERCROSS_STORY(ResentWrite,
                   "a refusal of a write's second copy leaves the first open") {
  startQt();
  const auto Resent = [](int Status, const auto &Write) {
    heathercross::test::ResendServer Server;
    Server.Status_ = Status;
    http::Client Http;
    Store S(Http, {Server.address(), {}, false});
    std::optional<StoreOutcome> Outcome;
    const auto Done = [&](const auto &R) { Outcome = R.Outcome_; };
    S.readRow({"t", "p", "k"}, Millis(3000), Done);
    waitFor([&] { return Outcome.has_value(); });
    Outcome.reset();
    Write(S, Done);
    waitFor([&] { return Outcome.has_value(); });
    CPPUNIT_ASSERT_EQUAL(3, Server.received());
    return *Outcome;
  };
  const auto Transact = [](Store &S, const auto &Done) {
    S.transact({{}, {{{"t", "p", "k"}, "value"}}}, Millis(3000), Done);
  };
  const auto PutObject = [](Store &S, const auto &Done) {
    S.putObject("name", "bytes", Millis(3000), Done);
  };
  for (const int Refusal : {429, 503, 400, 403, 404, 409}) {
    section("a transaction, status " + std::to_string(Refusal), [&] {
      CPPUNIT_ASSERT(Resent(Refusal, Transact) == StoreOutcome::Unknown);
    });
    // 404 says that there is no such object.
    if (Refusal != 404)
      section("an object, status " + std::to_string(Refusal), [&] {
        CPPUNIT_ASSERT(Resent(Refusal, PutObject) == StoreOutcome::Unknown);
      });
  }
  section("a conflict remains one: its rows show what was applied", [&] {
    CPPUNIT_ASSERT(Resent(412, Transact) == StoreOutcome::Conflict);
  });
  section("an applied second copy is a success", [&] {
    CPPUNIT_ASSERT(Resent(200, Transact) == StoreOutcome::Ok);
    CPPUNIT_ASSERT(Resent(200, PutObject) == StoreOutcome::Ok);
  });
}

HEATHERCROSS_STORY(StoreRows, "rows are read with their versions") {
  startQt();
  FakeStore M;
  M.Body_ = R"({"rows":[
    {"table":"t","part":"p","key":"a","value":"b25l","ver":4},
    {"table":"t","part":"p","key":"b","deleted":true,"ver":5},
    {"odd":1}],"has_more":true,"ver":9})";
  http::Client Http;
  Store S(Http, {M.address(), {}, false});
  std::optional<StoreReply> Reply;
  S.read("t", "a part", "from me", Millis(1000),
         [&](const StoreReply &R) { Reply = R; });
  waitFor([&] { return Reply.has_value(); });
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Reply->Rows_.size());
  CPPUNIT_ASSERT_EQUAL(std::string("one"), Reply->Rows_[0].Value_);
  CPPUNIT_ASSERT(Reply->Rows_[1].Removed_ && Reply->More_);
  CPPUNIT_ASSERT(M.LastQuery_ == "table=t&part=a%20part&from=from%20me");
}

// Guards against versions that are converted although they are out of range,
// which is undefined.
HEATHERCROSS_STORY(OddStoreAnswers, "an odd answer of the store isn't used") {
  startQt();
  FakeStore M;
  http::Client Http;
  Store S(Http, {M.address(), {}, false});
  const auto Read = [&](const std::string &Body) {
    M.Body_ = QByteArray::fromStdString(Body);
    std::optional<StoreReply> Reply;
    S.changes("t", RowVersion(1), Millis(0), Millis(1000),
              [&](const StoreReply &R) { Reply = R; });
    waitFor([&] { return Reply.has_value(); });
    return *Reply;
  };
  section("one whose version is no number that counts", [&] {
    for (const char *Odd : {"-1", "1.5", "1e19", "1e308", "\"9\"", "[]"})
      CPPUNIT_ASSERT(
          Read(std::string(R"({"rows":[],"ver":)") + Odd + "}").Outcome_ ==
          StoreOutcome::Unknown);
  });
  section("a row with such a version is left out, the others hold", [&] {
    for (const char *Odd : {"-1", "1.5", "1e19", "1e308", "\"4\"", "[]"}) {
      const StoreReply R =
          Read(std::string(R"({"rows":[{"table":"t","key":"a","ver":)") + Odd +
               R"(},{"table":"t","key":"b","ver":4}],"ver":9})");
      CPPUNIT_ASSERT(R.Outcome_ == StoreOutcome::Ok);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, R.Rows_.size());
      CPPUNIT_ASSERT(R.Rows_[0].Version_ == RowVersion(4));
    }
  });
  section("one that is deeply nested", [&] {
    for (const std::size_t Depth : {10'000U, 100'000U})
      CPPUNIT_ASSERT(
          Read(R"({"ver":9,"rows":)" + test::nestedArrays(Depth) + "}")
              .Outcome_ == StoreOutcome::Unknown);
  });
  section("arbitrary ones", [&] {
    HEATHERCROSS_PROPERTY("no answer makes the client throw", [&] {
      Read(test::drawOddText({"rows", "ver", "has_more", "table", "part", "key",
                              "value", "deleted"}));
    });
  });
}
