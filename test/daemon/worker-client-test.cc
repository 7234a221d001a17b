// Tests of the client of the workers that run requests.
#include "daemon/worker-client.h"
#include "support/event-loop.h"
#include "support/resend-server.h"
#include "support/story.h"

#include <optional>

using namespace heathercross;
using namespace heathercross::daemon;
using heathercross::test::ResendServer;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;
using request::TryResult;

namespace {

const InstanceId Worker("w1");

/// Runs an attempt at a worker that refuses it. If it is sent again, the
/// worker refuses the second copy.
TryResult refusedRun(const QByteArray &Refusal, bool NewConnection) {
  ResendServer Server;
  Server.Status_ = 503;
  Server.Headers_ = "X-Refused: " + Refusal + "\r\n";
  http::Client Http;
  WorkerClient Client(Http);
  Client.setAddresses({{Worker, Server.address()}});
  const int CallsBefore = NewConnection ? 2 : 1;
  for (int I = 0; I < CallsBefore; ++I) {
    bool Done = false;
    http::Client Other;
    WorkerClient First(Other);
    First.setAddresses({{Worker, Server.address()}});
    (NewConnection ? First : Client).status(Worker, [&](const StatusReply &) {
      Done = true;
    });
    waitFor([&] { return Done; });
  }
  RunCall Call;
  Call.Worker_ = Worker;
  Call.Timeout_ = Millis(3000);
  std::optional<TryResult> Result;
  Client.run(Call, [&](const AttemptReply &R) { Result = R.Result_; });
  waitFor([&] { return Result.has_value(); });
  CPPUNIT_ASSERT_EQUAL(3, Server.received());
  return *Result;
}

} // namespace

// A refused second copy was taken as proof that the first one didn't run.
HEATHERCROSS_STORY(ResentRequest, "a refusal of a request's second copy leaves "
                                  "open whether the first one runs") {
  startQt();
  for (const char *Refusal : {"slots", "connections", "leaving", "draining",
                              "start-by", "fenced", "duplicate"}) {
    section(std::string(Refusal) + ", sent twice", [&] {
      CPPUNIT_ASSERT(refusedRun(Refusal, false) == TryResult::Lost);
    });
    section(std::string(Refusal) + ", sent once", [&] {
      CPPUNIT_ASSERT(refusedRun(Refusal, true) == TryResult::Refused);
    });
  }
}
