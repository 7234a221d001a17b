// Tests of the numbers in workers' reports.
#include "http/http-server.h"
#include "platform/workers.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <limits>
#include <optional>

using namespace heathercross;
using namespace heathercross::platform_api;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;
using schedule::Attempt;

namespace {

/// Renews the leases at a worker that lists one run and one end with an attempt
/// number, and returns what was read.
schedule::WorkerReport reportWith(const std::string &Number) {
  const std::string Task = R"("5c0e7a21d94b36f8.0.1.17")";
  const std::string Body = R"({"clock_ms":5,"born":7,"running":[[)" + Task +
                           "," + Number + R"(,"",40,3]],"finished":[[1,)" +
                           Task + "," + Number + R"(,"failed",""]]})";
  http::Server Server({}, [&](http::Request &&, http::Responder &&To) {
    http::Response R;
    R.Body_ = QByteArray::fromStdString(Body);
    To.respond(R);
  });
  Server.listen(QHostAddress::LocalHost, 0);
  http::Client Http;
  Workers W(Http);
  std::optional<RenewReply> Reply;
  W.renew({InstanceId("w1"), "127.0.0.1:" + std::to_string(Server.port())},
          RenewCall(), Millis(3000), [&](const RenewReply &R) { Reply = R; });
  waitFor([&] { return Reply.has_value(); });
  CPPUNIT_ASSERT(Reply->Outcome_ == WorkerCallOutcome::Ok);
  return Reply->Report_;
}

} // namespace

// Attempts above 31 bits were read as attempt 0.
HEATHERCROSS_STORY(ReportedAttempts,
                   "reports hold attempt numbers of the whole range") {
  startQt();
  section("numbers up to the highest are read", [] {
    for (const Attempt A :
         {Attempt{1}, Attempt{65'537}, Attempt{1} << 31U, Attempt{0xFFFF0001U},
          std::numeric_limits<Attempt>::max()}) {
      const auto R = reportWith(std::to_string(A));
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, R.Running_.size());
      CPPUNIT_ASSERT_EQUAL(A, R.Running_[0].Attempt_);
      CPPUNIT_ASSERT_EQUAL(std::size_t{1}, R.Ended_.size());
      CPPUNIT_ASSERT_EQUAL(A, R.Ended_[0].Attempt_);
    }
  });
  section("a row with another number is no report", [] {
    for (const char *Number : {"-1", "4294967296", "1e30", "1.5", "\"1\""}) {
      const auto R = reportWith(Number);
      CPPUNIT_ASSERT(R.Running_.empty());
      CPPUNIT_ASSERT(R.Ended_.empty());
    }
  });
}
