// Tests of maintenance waves in the model fleet.
#include "fleet/model-fleet.h"
#include "fleet/wave-bound.h"
#include "support/story.h"

#include <cstdio>

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;
using heathercross::test::section;

namespace {

constexpr Seconds WaveTimeout{900};

void assertNoViolations(const ModelFleet &Fleet) {
  CPPUNIT_ASSERT(Fleet.Violations_ == ModelViolations());
}

/// A pool of ten instances with at least MinAvailable available, filled by its
/// holder.
struct WaveFixture {
  ModelFleet Fleet_;
  ModelHolder<> Holder_;

  explicit WaveFixture(std::uint32_t MinAvailable = 7)
      : Holder_(prepare(Fleet_, MinAvailable), {"quotes"}) {
    Holder_.step();
    Fleet_.setWave("w1", "quotes");
  }

  static ModelFleet &prepare(ModelFleet &Fleet, std::uint32_t MinAvailable) {
    Fleet.addPool("quotes", 10, MinAvailable);
    Fleet.addWorkers(10);
    return Fleet;
  }

  void runFor(Micros Time) {
    runUntil(Fleet_, Holder_, Time, [] { return false; });
  }

  bool runToCompletion() {
    return runUntil(Fleet_, Holder_, WaveTimeout,
                    [&] {
                      return Fleet_.completedCount("w1") ==
                             Fleet_.members("quotes").size();
                    })
        .has_value();
  }

  unsigned disrupted() const {
    const auto Rows = Fleet_.members("quotes");
    return static_cast<unsigned>(
        std::ranges::count_if(Rows, [](const InstanceRow &Row) {
          return Row.State_ != InstanceState::Active;
        }));
  }

  ModelWorker &worker(unsigned N) {
    return std::next(Fleet_.Workers_.begin(), N)->second;
  }

  unsigned totalReboots() const {
    unsigned Sum = 0;
    for (const auto &[Name, W] : Fleet_.Workers_)
      Sum += W.Reboots_;
    return Sum;
  }
};

/// Returns the roll-out time of one wave divided by its lower bound.
template <class Policy>
double rollOutRatio(std::uint32_t Size, std::uint32_t MinAvailable) {
  ModelFleet Fleet;
  Fleet.addPool("quotes", Size, MinAvailable);
  Fleet.addWorkers(Size);
  ModelHolder<BasicFleetDuty<Policy>> Holder(Fleet, {"quotes"});
  Holder.step();
  Fleet.setWave("w1", "quotes");
  const auto Elapsed = runUntil(Fleet, Holder, Seconds(3'600), [&] {
    return Fleet.completedCount("w1") == Size;
  });
  CPPUNIT_ASSERT(Elapsed);
  assertNoViolations(Fleet);
  const auto Bound =
      rollOutLowerBound(Size, MinAvailable, ModelFleet::RebootTime);
  return double(Elapsed->count()) / double(Bound->count());
}

} // namespace

HEATHERCROSS_STORY(
    RollOut, "a wave's roll-out time is close to the bound for its budget") {
  for (const auto &[Size, Min] : {std::pair{10U, 7U}, {10U, 5U}, {12U, 9U}}) {
    const auto LargestRatio = rollOutRatio<LargestStep>(Size, Min);
    const auto OneAtATimeRatio = rollOutRatio<OneAtATime>(Size, Min);
    std::printf("\n  %u instances, %u available: roll-out %.2f of the bound, "
                "one at a time %.2f",
                Size, Min, LargestRatio, OneAtATimeRatio);
    CPPUNIT_ASSERT(LargestRatio <= 1.3);
    CPPUNIT_ASSERT(LargestRatio < OneAtATimeRatio);
  }
}

HEATHERCROSS_STORY(WaveRollOut, "a wave reboots a pool within its budget") {
  WaveFixture F;
  section("the pool has all its instances", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, F.Fleet_.members("quotes").size());
  });
  section("the first step drains as many as the budget allows", [&] {
    F.Holder_.step();
    CPPUNIT_ASSERT_EQUAL(3U, F.disrupted());
  });
  section("every instance is rebooted once, and the wave is finished", [&] {
    CPPUNIT_ASSERT(F.runToCompletion());
    CPPUNIT_ASSERT_EQUAL(10U, F.totalReboots());
    F.runFor(Seconds(2));
    CPPUNIT_ASSERT(F.Holder_.waveReport().State_ == WaveState::Finished);
    assertNoViolations(F.Fleet_);
  });
  section("another wave reboots all again, the first stays finished", [&] {
    F.Fleet_.setWave("w0", "quotes");
    F.runFor(WaveTimeout);
    CPPUNIT_ASSERT_EQUAL(20U, F.totalReboots());
    assertNoViolations(F.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveWithWork, "a wave waits for work and interrupts none") {
  WaveFixture F;
  for (unsigned I = 0; I < 7; ++I)
    F.worker(I).Busy_ = 2;
  F.worker(7).Tasks_ = {{JobId("j1"), Epoch(1)}};
  section("idle instances go first, then those with tasks only", [&] {
    F.Holder_.step();
    const auto State = [&](unsigned I) {
      return F.Fleet_.members("quotes")[I].State_;
    };
    CPPUNIT_ASSERT(State(8) == InstanceState::Draining);
    CPPUNIT_ASSERT(State(9) == InstanceState::Draining);
    CPPUNIT_ASSERT(State(7) == InstanceState::Draining);
  });
  section("the task runs on until the drain limit", [&] {
    F.runFor(Seconds(9));
    CPPUNIT_ASSERT(!F.worker(7).Tasks_.empty());
    F.runFor(Seconds(3));
    CPPUNIT_ASSERT(F.worker(7).Tasks_.empty());
  });
  section("a request that never ends is never cut short", [&] {
    F.runFor(Seconds(120));
    CPPUNIT_ASSERT_EQUAL(3U, F.totalReboots());
    CPPUNIT_ASSERT_EQUAL(3U, F.disrupted());
    assertNoViolations(F.Fleet_);
  });
  section("the wave goes on when the requests have ended", [&] {
    for (auto &[Name, W] : F.Fleet_.Workers_)
      W.Busy_ = 0;
    CPPUNIT_ASSERT(F.runToCompletion());
    assertNoViolations(F.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveFailures, "failures consume the wave's budget") {
  WaveFixture F;
  section("nothing is started while failures consume all of it", [&] {
    for (unsigned I = 0; I < 3; ++I)
      F.worker(I).Up_ = false;
    F.runFor(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(0U, F.disrupted());
    CPPUNIT_ASSERT(F.Holder_.waveReport().State_ == WaveState::Waiting);
    CPPUNIT_ASSERT(F.Holder_.waveReport().Obstacle_ ==
                   WaveObstacle::FailuresSpendBudget);
  });
  section("the wave goes on when one has recovered", [&] {
    F.worker(0).Up_ = true;
    F.Holder_.step();
    CPPUNIT_ASSERT_EQUAL(1U, F.disrupted());
  });
  section("instances that stay away are reported as the obstacle", [&] {
    F.runFor(Seconds(500));
    CPPUNIT_ASSERT_EQUAL(8U, F.totalReboots());
    CPPUNIT_ASSERT(F.Holder_.waveReport().Obstacle_ ==
                   WaveObstacle::InstancesUnreachable);
  });
  section("it finishes once all of them recover", [&] {
    F.worker(1).Up_ = F.worker(2).Up_ = true;
    CPPUNIT_ASSERT(F.runToCompletion());
    assertNoViolations(F.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveHolderChange, "a wave continues under the next holder") {
  WaveFixture F;
  F.runFor(Seconds(40));
  section("a successor goes on without a second reboot", [&] {
    for (F.Holder_.decide(); !F.Holder_.hasPendingWrite(); F.Holder_.decide()) {
      F.Holder_.execute();
      F.Fleet_.advanceTime(StepInterval);
    }
    ModelHolder<> Next(F.Fleet_, {"quotes"});
    Next.step();
    section("the paused holder's write has no effect", [&] {
      F.Holder_.execute();
      CPPUNIT_ASSERT(F.Holder_.lastCommitStatus() == CommitStatus::Conflict);
    });
    section("once it sees the later epoch it plans nothing", [&] {
      F.Holder_.decide();
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Holder_.pendingCount());
    });
    const auto Elapsed = runUntil(F.Fleet_, Next, WaveTimeout, [&] {
      return F.Fleet_.completedCount("w1") == 10;
    });
    CPPUNIT_ASSERT(Elapsed);
    CPPUNIT_ASSERT_EQUAL(10U, F.totalReboots());
    assertNoViolations(F.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveLateWrite, "a late write doesn't use a budget twice") {
  WaveFixture F;
  section("a holder gets no answer, and drains others in its next step", [&] {
    F.Holder_.decide();
    F.Holder_.delayActions();
    for (unsigned I = 0; I < 5; ++I)
      F.worker(I).Busy_ = 1;
    F.Holder_.step();
    CPPUNIT_ASSERT_EQUAL(3U, F.disrupted());
  });
  section("the first write, when it arrives after all, is refused", [&] {
    F.Holder_.executeDelayed();
    CPPUNIT_ASSERT(F.Holder_.lastCommitStatus() == CommitStatus::Conflict);
    CPPUNIT_ASSERT_EQUAL(3U, F.disrupted());
    assertNoViolations(F.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveModes, "operators pause, abort and reissue a wave") {
  WaveFixture F;
  F.runFor(Seconds(40));
  const auto Before = F.totalReboots();
  section("a paused wave undrains whatever hasn't rebooted, and starts nothing",
          [&] {
            F.Fleet_.setWave("w1", "quotes", WaveMode::Paused);
            F.runFor(Seconds(60));
            CPPUNIT_ASSERT_EQUAL(0U, F.disrupted());
            CPPUNIT_ASSERT(F.totalReboots() < 10);
            CPPUNIT_ASSERT(F.Holder_.waveReport().State_ == WaveState::Paused);
            for (const auto &[Name, W] : F.Fleet_.Workers_)
              CPPUNIT_ASSERT(!W.Draining_);
          });
  section("an aborted wave that is reissued resumes", [&] {
    F.Fleet_.setWave("w1", "quotes", WaveMode::Aborted);
    F.runFor(Seconds(10));
    F.Fleet_.setWave("w1", "quotes");
    CPPUNIT_ASSERT(F.runToCompletion());
    CPPUNIT_ASSERT(Before > 0);
    CPPUNIT_ASSERT_EQUAL(10U, F.totalReboots());
    assertNoViolations(F.Fleet_);
  });
}

HEATHERCROSS_STORY(WavePlatform, "nothing starts while the platform is away") {
  WaveFixture F;
  F.runFor(Seconds(3));
  F.Fleet_.PlatformUp_ = false;
  F.Holder_.decide();
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, F.Holder_.pendingCount());
  F.Fleet_.PlatformUp_ = true;
  CPPUNIT_ASSERT(F.runToCompletion());
}

HEATHERCROSS_STORY(WaveBlocked,
                   "a budget without room for a disruption blocks a wave") {
  WaveFixture F(10);
  section("the wave reports this", [&] {
    F.runFor(Seconds(20));
    CPPUNIT_ASSERT_EQUAL(0U, F.disrupted());
    CPPUNIT_ASSERT(F.Holder_.waveReport().State_ == WaveState::Blocked);
    CPPUNIT_ASSERT(F.Holder_.waveReport().Obstacle_ ==
                   WaveObstacle::BudgetLeavesNoRoom);
  });
  section("a spare instance makes room, and is returned later", [&] {
    F.Fleet_.addPool("portal", 4, 2, true);
    F.Fleet_.addWorkers(4);
    ModelHolder<> BothPools(F.Fleet_, {"quotes", "portal"});
    const auto Elapsed = runUntil(F.Fleet_, BothPools, Seconds(2'000), [&] {
      return F.Fleet_.completedCount("w1") >= 10 &&
             F.Fleet_.members("portal").size() == 4;
    });
    CPPUNIT_ASSERT(Elapsed);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, F.Fleet_.members("quotes").size());
    assertNoViolations(F.Fleet_);
  });
}
