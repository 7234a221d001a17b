// End-to-end tests of the limit on the memory of accepted jobs.
#include "proof-deployment/deployment.h"
#include "support/story.h"

using namespace heathercross;
using heathercross::test::Deployment;
using heathercross::test::section;
using heathercross::test::startQt;
using heathercross::test::waitFor;

namespace {

/// A job of 200 steps, which takes much more memory than its text.
QByteArray manySteps() {
  constexpr int Steps = 200;
  QByteArray Body = R"({"spec":"x","phases":[)";
  for (int I = 0; I < Steps; ++I)
    Body += I == 0 ? R"({"count":1})" : R"(,{"count":1})";
  return Body + "]}";
}

std::string jobId(int I) { return "00000000000e" + std::to_string(1000 + I); }

} // namespace

// Guards against a holder that accepts jobs until the platform ends it for its
// memory, and each of its successors as well.
HEATHERCROSS_STORY(JobMemoryScenario,
                   "a pool turns jobs away that its holders can't keep") {
  // Half of 16 MiB for the only pool; a step takes 200 bytes or more.
  constexpr int MaxJobs = 8 * 1024 * 1024 / (200 * 200);
  startQt();
  Deployment D(2, {.EntryKeys_ = "memory_mib = 16\n"});
  const QByteArray Body = manySteps();
  int Accepted = 0;
  int Status = 200;
  section("before they take half of the memory", [&] {
    while (Accepted <= MaxJobs &&
           (Status = D.call(0, "POST", jobId(Accepted), Body).Status_) == 200)
      ++Accepted;
    CPPUNIT_ASSERT(Status == 429 || Status == 503);
    CPPUNIT_ASSERT(Accepted > 0);
  });
  section("what was turned away isn't known, what was accepted is", [&] {
    CPPUNIT_ASSERT_EQUAL(410, D.call(1, "GET", jobId(Accepted)).Status_);
    CPPUNIT_ASSERT_EQUAL(200, D.call(1, "GET", jobId(Accepted - 1)).Status_);
  });
  section("the next holder counts the jobs that it has loaded", [&] {
    D.restart(D.holder());
    waitFor([&] { return D.call(0, "GET", jobId(0)).Status_ == 200; });
    Status = D.call(1, "POST", jobId(Accepted), Body).Status_;
    CPPUNIT_ASSERT(Status == 429 || Status == 503);
    CPPUNIT_ASSERT_EQUAL(410, D.call(0, "GET", jobId(Accepted)).Status_);
  });
}
