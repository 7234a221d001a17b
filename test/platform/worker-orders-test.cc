// Tests of the answers to orders that are sent twice.
#include "platform/workers.h"
#include "support/event-loop.h"
#include "support/resend-server.h"
#include "support/story.h"

#include <optional>

using namespace heathercross;
using namespace heathercross::platform_api;
using heathercross::test::ResendServer;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;
using schedule::StartAnswer;
using schedule::StopAnswer;

namespace {

constexpr Millis Timeout{3000};

/// The answer that a worker gives to the last copy of an order.
struct WorkerAnswer {
  int Status_ = 200;
  const char *Body_ = R"({"clock_ms":5})";
};

constexpr WorkerAnswer Refusals[] = {{409, R"({"reason":"old"})"},
                                     {409, R"({"reason":"late"})"},
                                     {409, R"({"reason":"room"})"},
                                     {409, R"({"reason":"ticket"})"},
                                     {409, R"({"reason":"unheard"})"},
                                     {400, "{}"},
                                     {404, "{}"},
                                     {429, "{}"},
                                     {503, "{}"}};

/// Sends a call, so that the next one uses its connection.
void openConnection(Workers &W, const WorkerAddress &To) {
  bool Done = false;
  W.throttle(To, {}, Epoch(1), Timeout,
             [&](WorkerCallOutcome) { Done = true; });
  waitFor([&] { return Done; });
}

/// Sends an order twice and returns what the second copy's answer means.
/// Send takes the client, the address and a handler of the result.
template <class Result, class Send>
Result answerToResent(const WorkerAnswer &Answer, Send SendOrder) {
  ResendServer Server;
  Server.Status_ = Answer.Status_;
  Server.Body_ = Answer.Body_;
  http::Client Http;
  Workers W(Http);
  const WorkerAddress To{InstanceId("w1"), Server.address()};
  openConnection(W, To);
  std::optional<Result> Out;
  SendOrder(W, To, [&](const Result &R) { Out = R; });
  waitFor([&] { return Out.has_value(); });
  CPPUNIT_ASSERT_EQUAL(3, Server.received());
  return *Out;
}

StartReply resentStartReply(const WorkerAnswer &Answer) {
  const auto R = answerToResent<StartReply>(
      Answer, [](Workers &W, const WorkerAddress &To, auto OnDone) {
        W.start(To, {}, 100, Epoch(1), Timeout, OnDone);
      });
  CPPUNIT_ASSERT_EQUAL(2U, R.Sent_);
  return R;
}

StartAnswer resentStart(const WorkerAnswer &Answer) {
  return resentStartReply(Answer).Answer_;
}

StopAnswer resentStop(const WorkerAnswer &Answer) {
  return answerToResent<StopAnswer>(
      Answer, [](Workers &W, const WorkerAddress &To, auto OnDone) {
        W.stop(To, {}, Epoch(1), Timeout, OnDone);
      });
}

WorkerCallOutcome resentThrottle(const WorkerAnswer &Answer) {
  return answerToResent<WorkerCallOutcome>(
      Answer, [](Workers &W, const WorkerAddress &To, auto OnDone) {
        W.throttle(To, {}, Epoch(1), Timeout, OnDone);
      });
}

} // namespace

// A refused second copy was taken as proof that the first one started nothing.
HEATHERCROSS_STORY(ResentStart,
                   "a refusal of a start's second copy leaves the first open") {
  startQt();
  section("every refusal leaves the outcome open", [] {
    for (const WorkerAnswer &Refusal : Refusals)
      CPPUNIT_ASSERT(resentStart(Refusal) == StartAnswer::Unknown);
  });
  section("a start that the second copy reports is a start",
          [] { CPPUNIT_ASSERT(resentStart({}) == StartAnswer::Started); });
  section(
      "another instance at the address or a higher epoch remains a fact", [] {
        CPPUNIT_ASSERT(resentStart({421, "{}"}) == StartAnswer::WrongInstance);
        CPPUNIT_ASSERT(resentStart({409, R"({"reason":"fence"})"}) ==
                       StartAnswer::Fenced);
      });
}

// Guards against a task that runs twice: a fence that was raised between the
// copies of its order refused the second one, and the run of the first was
// given up.
HEATHERCROSS_STORY(FencedCopy, "a fence that refuses an order's second copy "
                               "leaves the first open") {
  startQt();
  const WorkerAnswer Fence{409, R"({"reason":"fence"})"};
  section("an order that was sent twice", [&] {
    CPPUNIT_ASSERT(resentStartReply(Fence).orderAnswer() ==
                   StartAnswer::Unknown);
    CPPUNIT_ASSERT(resentStartReply({}).orderAnswer() == StartAnswer::Started);
  });
  section("an order that was sent once", [] {
    const StartReply Once{StartAnswer::Fenced, 1, {}};
    CPPUNIT_ASSERT(Once.orderAnswer() == StartAnswer::Fenced);
  });
}

HEATHERCROSS_STORY(ResentStop, "a refusal of the second copy of a stop or of a "
                               "throttling leaves the first open") {
  startQt();
  section("a stop", [] {
    for (const WorkerAnswer &Refusal : Refusals)
      CPPUNIT_ASSERT(resentStop(Refusal) == StopAnswer::Unknown);
    CPPUNIT_ASSERT(resentStop({}) == StopAnswer::Accepted);
    CPPUNIT_ASSERT(resentStop({421, "{}"}) == StopAnswer::WrongInstance);
  });
  section("a throttling", [] {
    for (const WorkerAnswer &Refusal : Refusals)
      CPPUNIT_ASSERT(resentThrottle(Refusal) == WorkerCallOutcome::Unknown);
    CPPUNIT_ASSERT(resentThrottle({}) == WorkerCallOutcome::Ok);
  });
}

HEATHERCROSS_STORY(RefusedOnce, "a refusal of an order that was sent once says "
                                "that nothing was started") {
  startQt();
  const std::pair<WorkerAnswer, StartAnswer> Answers[] = {
      {{409, R"({"reason":"old"})"}, StartAnswer::Outdated},
      {{409, R"({"reason":"late"})"}, StartAnswer::LeaseExpired},
      {{409, R"({"reason":"room"})"}, StartAnswer::NoRoom},
      {{409, R"({"reason":"ticket"})"}, StartAnswer::NoTicket},
      {{400, "{}"}, StartAnswer::Malformed},
      {{503, "{}"}, StartAnswer::Unhealthy}};
  for (const auto &[Answer, Meaning] : Answers) {
    ResendServer Server;
    Server.Status_ = Answer.Status_;
    Server.Body_ = Answer.Body_;
    const WorkerAddress To{InstanceId("w1"), Server.address()};
    // Each client opens its own connection, so nothing is sent again.
    for (int I = 0; I < 2; ++I) {
      http::Client Http;
      Workers W(Http);
      openConnection(W, To);
    }
    http::Client Http;
    Workers W(Http);
    std::optional<StartReply> Reply;
    W.start(To, {}, 100, Epoch(1), Timeout,
            [&](const StartReply &R) { Reply = R; });
    waitFor([&] { return Reply.has_value(); });
    CPPUNIT_ASSERT_EQUAL(1U, Reply->Sent_);
    CPPUNIT_ASSERT(Reply->Answer_ == Meaning);
  }
}
