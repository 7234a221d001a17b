// Replays the load of a turn of demand against one pool's holder, with real
// processes: many short tasks, submitted in jobs of eight.
#include "standin/bench/starts.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <cstdlib>

using namespace heathercross;
using heathercross::test::section;
using heathercross::test::startQt;

namespace {

/// A step that is ready starts within this time while its pool has room.
constexpr double MaxWaitP95Ms = 1000;

} // namespace

// Guards against a holder whose own processor time delays the starts of short
// tasks although the pool has room.
HEATHERCROSS_STORY(TurnOfDemand,
                   "short tasks start at once in a turn of demand") {
  startQt();
  bench::StartLoad Load;
  Load.Workers_ = 100;
  Load.JobsPerSecond_ = 60;
  Load.Seconds_ = 4;
  const char *Programs = std::getenv("HEATHERCROSS_BIN");
  const auto F = bench::measureStarts(Load, Programs ? Programs : ".");
  CPPUNIT_ASSERT(F.has_value());
  const std::uint64_t Jobs = 240;
  section("every job is accepted and completes", [&] {
    CPPUNIT_ASSERT_EQUAL(Jobs, F->Accepted_);
    CPPUNIT_ASSERT_EQUAL(Jobs, F->Complete_);
  });
  section("each task is started once",
          [&] { CPPUNIT_ASSERT_EQUAL(Jobs * 8, F->Starts_); });
  section("95 of 100 jobs have begun within a second",
          [&] { CPPUNIT_ASSERT(F->WaitP95Ms_ < MaxWaitP95Ms); });
}
