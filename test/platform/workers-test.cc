// Tests of the workers' client against odd answers.
#include "http/http-server.h"
#include "platform/workers.h"
#include "support/event-loop.h"
#include "support/odd-json.h"
#include "support/story.h"

#include <rapidcheck.h>

using namespace heathercross;
using namespace heathercross::platform_api;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

/// A worker that gives every call the same answer.
class FakeWorker {
public:
  FakeWorker() { Server_.listen(QHostAddress::LocalHost, 0); }

  RenewReply renewal(const std::string &Body) {
    Body_ = QByteArray::fromStdString(Body);
    std::optional<RenewReply> Reply;
    Workers_.renew(
        {InstanceId("i-1"), "127.0.0.1:" + std::to_string(Server_.port())},
        RenewCall(), Millis(1000), [&](const RenewReply &R) { Reply = R; });
    waitFor([&] { return Reply.has_value(); });
    return *Reply;
  }

private:
  QByteArray Body_;
  http::Server Server_{{}, [this](http::Request &&, http::Responder &&To) {
                         http::Response Out;
                         Out.Status_ = 200;
                         Out.Body_ = Body_;
                         To.respond(Out);
                       }};
  http::Client Http_;
  Workers Workers_{Http_};
};

} // namespace

HEATHERCROSS_STORY(RenewAnswers, "a worker's answer to a renewal is read") {
  startQt();
  FakeWorker W;
  const RenewReply R = W.renewal(R"({"clock_ms":482113,"born":1700000000123,
    "running":[["5c0e7a21d94b36f8.0.1.17",2,"saved",41.5,7.5]],"finished":[[58,"5c0e7a21d94b36f8.0.1.17",1,"done",""]]})");
  CPPUNIT_ASSERT(R.Outcome_ == WorkerCallOutcome::Ok);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{482113}, R.ClockMs_);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{1700000000123}, R.Report_.Incarnation_);
  CPPUNIT_ASSERT_EQUAL(41U, R.Report_.Running_.at(0).Percent_);
  CPPUNIT_ASSERT_EQUAL(std::int64_t{7}, R.Report_.Running_.at(0).Load_);
  CPPUNIT_ASSERT_EQUAL(2U, R.Report_.Running_.at(0).Attempt_);
  CPPUNIT_ASSERT_EQUAL(std::uint64_t{58}, R.Report_.Ended_.at(0).Sequence_);
}

// Guards against numbers that are converted although they are out of range,
// which is undefined.
HEATHERCROSS_STORY(OddRenewAnswers, "an odd answer to a renewal isn't used") {
  startQt();
  FakeWorker W;
  section("one with an odd clock or start time", [&] {
    for (const char *Odd : {"-1", "1e19", "1e308", "\"1\"", "[]"})
      CPPUNIT_ASSERT(
          W.renewal(std::string(R"({"clock_ms":)") + Odd + "}").Outcome_ ==
          WorkerCallOutcome::Unknown);
    for (const char *Odd : {"-1", "1.5", "1e19", "1e308", "\"1\"", "[]"})
      CPPUNIT_ASSERT(
          W.renewal(std::string(R"({"clock_ms":5,"born":)") + Odd + "}")
              .Outcome_ == WorkerCallOutcome::Unknown);
  });
  section("a run with an odd number is left out, the others hold", [&] {
    for (const char *Odd : {"-1", "1.5", "1e19", "1e308", "\"1\""}) {
      const RenewReply R = W.renewal(test::withValue(
          R"({"clock_ms":5,"running":[["5c0e7a21d94b36f8.0.1.17",@,"",0,0],
             ["5c0e7a21d94b36f8.0.1.17",2,"",0,0]],
             "finished":[[@,"5c0e7a21d94b36f8.0.1.17",1,"done",""],
             [4,"5c0e7a21d94b36f8.0.1.17",@,"done",""],
             [5,"5c0e7a21d94b36f8.0.1.17",3,"done",""]]})",
          Odd));
      CPPUNIT_ASSERT(R.Outcome_ == WorkerCallOutcome::Ok);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, R.Report_.Running_.size());
      CPPUNIT_ASSERT_EQUAL(2U, R.Report_.Running_[0].Attempt_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, R.Report_.Ended_.size());
      CPPUNIT_ASSERT_EQUAL(3U, R.Report_.Ended_[0].Attempt_);
    }
  });
  section("an odd load or percent counts as none", [&] {
    for (const char *Odd : {"1e19", "-1e308", "1e308", "\"1\""}) {
      const RenewReply R = W.renewal(test::withValue(
          R"({"clock_ms":5,"running":[["5c0e7a21d94b36f8.0.1.17",2,"",@,@]]})",
          Odd));
      CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, R.Report_.Running_.at(0).Load_);
    }
  });
  section("one that is deeply nested", [&] {
    for (const std::size_t Depth : {10'000U, 100'000U})
      CPPUNIT_ASSERT(W.renewal(R"({"clock_ms":5,"running":)" +
                               test::nestedArrays(Depth) + "}")
                         .Outcome_ == WorkerCallOutcome::Unknown);
  });
  section("arbitrary ones", [&] {
    HEATHERCROSS_PROPERTY("no answer makes the client throw", [&] {
      W.renewal(test::drawOddText({"clock_ms", "born", "running", "finished"}));
    });
  });
}
