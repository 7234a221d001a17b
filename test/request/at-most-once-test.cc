// Properties of whole runs: random interleavings of several entries, lost and
// late answers, frozen and killed entries, against a model of the truth.
#include "request/world.h"
#include "support/story.h"

#include <rapidcheck.h>

using namespace heathercross::request::test;

namespace {
/// Steps of one run, and runs for each case that rapidcheck draws.
constexpr int Steps = 400;
constexpr int RunsEach = 10;

void runWorlds(int Entries, const Trouble &T) {
  const auto Seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
  std::size_t Done = 0;
  for (std::uint64_t Run = 0; Run != RunsEach; ++Run) {
    World W(heathercross::request::mix(Seed, Run), Entries, T);
    for (int I = 0; I != Steps && W.broken().empty(); ++I)
      W.step();
    W.settle();
    W.judge();
    if (!W.broken().empty())
      RC_FAIL(W.broken() + " in run " + std::to_string(Run));
    Done += W.doneAnswers();
  }
  RC_ASSERT(Done > 0U);
}
} // namespace

HEATHERCROSS_STORY(PromisesOfRuns, "whole runs keep the promises") {
  heathercross::test::section("of one entry without trouble", [] {
    HEATHERCROSS_PROPERTY("one entry, no trouble", [] {
      runWorlds(1, {0, 0, 0, 0, 0});
    });
  });
  heathercross::test::section("of one entry with lost and late answers", [] {
    HEATHERCROSS_PROPERTY("one entry", [] { runWorlds(1, {25, 25, 3, 1, 1}); });
  });
  heathercross::test::section(
      "of entries that share the table and workers", [] {
        HEATHERCROSS_PROPERTY("two entries", [] { runWorlds(2, Trouble()); });
        HEATHERCROSS_PROPERTY("two entries, workers that restart", [] {
          runWorlds(2, {10, 35, 6, 3, 8});
        });
        HEATHERCROSS_PROPERTY("three entries in deep trouble", [] {
          runWorlds(3, {50, 50, 8, 3, 3});
        });
      });
}
