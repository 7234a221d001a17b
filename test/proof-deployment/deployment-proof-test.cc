// End-to-end tests of entry instances as the platform deploys them, with real
// processes: client calls while a duty holder stops responding, and while the
// store is unavailable.
#include "proof-deployment/deployment.h"
#include "support/odd-json.h"
#include "support/story.h"

using namespace heathercross;
using heathercross::test::Deployment;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

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
