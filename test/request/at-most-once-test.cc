// Property tests of at-most-once execution: random interleavings of several
// entries with lost and late answers and frozen or killed entries, checked
// against a model that knows the actual state of every attempt.
#include "request/cluster-model.h"
#include "support/story.h"

#include <rapidcheck.h>

using namespace heathercross::request::test;

namespace {
/// Steps of one run, and runs per rapidcheck case.
constexpr int Steps = 400;
constexpr int RunsPerCase = 10;

void runModels(int Entries, const FaultRates &Faults) {
  const auto Seed =
      *rc::gen::resize(rc::kNominalSize, rc::gen::arbitrary<std::uint64_t>());
  std::size_t Done = 0;
  for (std::uint64_t Run = 0; Run != RunsPerCase; ++Run) {
    ClusterModel Model(heathercross::request::mix(Seed, Run), Entries, Faults);
    for (int I = 0; I != Steps && Model.violation().empty(); ++I)
      Model.step();
    Model.settle();
    Model.checkAtEnd();
    if (!Model.violation().empty())
      RC_FAIL(Model.violation() + " in run " + std::to_string(Run));
    Done += Model.doneAnswers();
  }
  RC_ASSERT(Done > 0U);
}
} // namespace

HEATHERCROSS_STORY(RunInvariants, "simulated runs keep all invariants") {
  heathercross::test::section("one entry without faults", [] {
    HEATHERCROSS_PROPERTY("one entry, no faults", [] {
      runModels(1, {0, 0, 0, 0, 0});
    });
  });
  heathercross::test::section("one entry with lost and late answers", [] {
    HEATHERCROSS_PROPERTY("one entry, faults", [] {
      runModels(1, {25, 25, 3, 1, 1});
    });
  });
  heathercross::test::section(
      "several entries that share the table and the workers", [] {
        HEATHERCROSS_PROPERTY("two entries",
                              [] { runModels(2, FaultRates()); });
        HEATHERCROSS_PROPERTY("two entries, workers that restart often", [] {
          runModels(2, {10, 35, 6, 3, 8});
        });
        HEATHERCROSS_PROPERTY("three entries, frequent faults", [] {
          runModels(3, {50, 50, 8, 3, 3});
        });
      });
}
