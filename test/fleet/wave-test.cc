// Stories of maintenance waves in the model fleet.
#include "fleet/model-fleet.h"
#include "fleet/wave-bound.h"
#include "support/story.h"

#include <cstdio>

using namespace heathercross;
using namespace heathercross::fleet;
using namespace heathercross::fleet::test;
using heathercross::test::section;

namespace {

constexpr Seconds Patience{900};

void assertNoFaults(const ModelFleet &Fleet) {
  CPPUNIT_ASSERT(Fleet.Faults_ == ModelFaults());
}

/// A pool of ten that keeps seven, filled by its holder.
struct WaveSetting {
  ModelFleet Fleet_;
  ModelHolder<> Holder_;

  explicit WaveSetting(std::uint32_t MinAvailable = 7)
      : Holder_(prepare(Fleet_, MinAvailable), {"quotes"}) {
    Holder_.step();
    Fleet_.setWave("w1", "quotes");
  }

  static ModelFleet &prepare(ModelFleet &Fleet, std::uint32_t MinAvailable) {
    Fleet.addPool("quotes", 10, MinAvailable);
    Fleet.addWorkers(10);
    return Fleet;
  }

  void run(Micros Time) {
    runUntil(Fleet_, Holder_, Time, [] { return false; });
  }

  bool finishes() {
    return runUntil(Fleet_, Holder_, Patience,
                    [&] {
                      return Fleet_.doneWith("w1") ==
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

/// The roll-out time of one wave as a multiple of the bound.
template <class Policy>
double rollOut(std::uint32_t Size, std::uint32_t MinAvailable) {
  ModelFleet Fleet;
  Fleet.addPool("quotes", Size, MinAvailable);
  Fleet.addWorkers(Size);
  ModelHolder<BasicFleetDuty<Policy>> Holder(Fleet, {"quotes"});
  Holder.step();
  Fleet.setWave("w1", "quotes");
  const auto Took = runUntil(Fleet, Holder, Seconds(3'600),
                             [&] { return Fleet.doneWith("w1") == Size; });
  CPPUNIT_ASSERT(Took);
  assertNoFaults(Fleet);
  const auto Bound = waveBound(Size, MinAvailable, ModelFleet::RebootTime);
  return double(Took->count()) / double(Bound->count());
}

} // namespace

HEATHERCROSS_STORY(RollOut, "a wave is close to the bound of its budget") {
  for (const auto &[Size, Min] : {std::pair{10U, 7U}, {10U, 5U}, {12U, 9U}}) {
    const auto Largest = rollOut<LargestStep>(Size, Min);
    const auto Single = rollOut<OneAtATime>(Size, Min);
    std::printf("\n  %u instances, %u available: roll-out %.2f of the bound, "
                "one at a time %.2f",
                Size, Min, Largest, Single);
    CPPUNIT_ASSERT(Largest <= 1.3);
    CPPUNIT_ASSERT(Largest < Single);
  }
}

HEATHERCROSS_STORY(WaveStory, "a wave goes through a pool within its budget") {
  WaveSetting T;
  section("the pool has its instances", [&] {
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, T.Fleet_.members("quotes").size());
  });
  section("the first step takes all that the budget allows", [&] {
    T.Holder_.step();
    CPPUNIT_ASSERT_EQUAL(3U, T.disrupted());
  });
  section("every instance is rebooted once, and the wave is finished", [&] {
    CPPUNIT_ASSERT(T.finishes());
    CPPUNIT_ASSERT_EQUAL(10U, T.totalReboots());
    T.run(Seconds(2));
    CPPUNIT_ASSERT(T.Holder_.wave().State_ == WaveState::Finished);
    assertNoFaults(T.Fleet_);
  });
  section("a second wave goes through it again, the first stays finished", [&] {
    T.Fleet_.setWave("w0", "quotes");
    T.run(Patience);
    CPPUNIT_ASSERT_EQUAL(20U, T.totalReboots());
    assertNoFaults(T.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveWork, "a wave waits for work and cuts none") {
  WaveSetting T;
  for (unsigned I = 0; I < 7; ++I)
    T.worker(I).Busy_ = 2;
  T.worker(7).Tasks_ = {{JobId("j1"), Epoch(1)}};
  section("idle instances go first, then those with tasks only", [&] {
    T.Holder_.step();
    const auto State = [&](unsigned I) {
      return T.Fleet_.members("quotes")[I].State_;
    };
    CPPUNIT_ASSERT(State(8) == InstanceState::Draining);
    CPPUNIT_ASSERT(State(9) == InstanceState::Draining);
    CPPUNIT_ASSERT(State(7) == InstanceState::Draining);
  });
  section("the task runs on until the drain limit", [&] {
    T.run(Seconds(9));
    CPPUNIT_ASSERT(!T.worker(7).Tasks_.empty());
    T.run(Seconds(3));
    CPPUNIT_ASSERT(T.worker(7).Tasks_.empty());
  });
  section("a request that never ends is never cut", [&] {
    T.run(Seconds(120));
    CPPUNIT_ASSERT_EQUAL(3U, T.totalReboots());
    CPPUNIT_ASSERT_EQUAL(3U, T.disrupted());
    assertNoFaults(T.Fleet_);
  });
  section("the wave goes on when the requests have ended", [&] {
    for (auto &[Name, W] : T.Fleet_.Workers_)
      W.Busy_ = 0;
    CPPUNIT_ASSERT(T.finishes());
    assertNoFaults(T.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveFailures, "failures spend the wave's budget") {
  WaveSetting T;
  section("nothing is started while failures spend all of it", [&] {
    for (unsigned I = 0; I < 3; ++I)
      T.worker(I).Up_ = false;
    T.run(Seconds(5));
    CPPUNIT_ASSERT_EQUAL(0U, T.disrupted());
    CPPUNIT_ASSERT(T.Holder_.wave().State_ == WaveState::Waiting);
    CPPUNIT_ASSERT(T.Holder_.wave().Obstacle_ ==
                   WaveObstacle::FailuresSpendBudget);
  });
  section("the wave goes on when one is back", [&] {
    T.worker(0).Up_ = true;
    T.Holder_.step();
    CPPUNIT_ASSERT_EQUAL(1U, T.disrupted());
  });
  section("instances that stay away are named as the obstacle", [&] {
    T.run(Seconds(500));
    CPPUNIT_ASSERT_EQUAL(8U, T.totalReboots());
    CPPUNIT_ASSERT(T.Holder_.wave().Obstacle_ ==
                   WaveObstacle::InstancesUnreachable);
  });
  section("and it finishes with all of them", [&] {
    T.worker(1).Up_ = T.worker(2).Up_ = true;
    CPPUNIT_ASSERT(T.finishes());
    assertNoFaults(T.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveHolders, "a wave survives its holder") {
  WaveSetting T;
  T.run(Seconds(40));
  section("a successor goes on without a second reboot", [&] {
    for (T.Holder_.think(); !T.Holder_.wantsToWrite(); T.Holder_.think()) {
      T.Holder_.act();
      T.Fleet_.pass(StepInterval);
    }
    ModelHolder<> Next(T.Fleet_, {"quotes"});
    Next.step();
    section("the paused holder's write has no effect", [&] {
      T.Holder_.act();
      CPPUNIT_ASSERT(T.Holder_.last() == CommitStatus::Conflict);
    });
    section("and once it sees the later epoch it decides nothing", [&] {
      T.Holder_.think();
      CPPUNIT_ASSERT_EQUAL(std::size_t{0}, T.Holder_.pending());
    });
    const auto Took = runUntil(T.Fleet_, Next, Patience,
                               [&] { return T.Fleet_.doneWith("w1") == 10; });
    CPPUNIT_ASSERT(Took);
    CPPUNIT_ASSERT_EQUAL(10U, T.totalReboots());
    assertNoFaults(T.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveLateWrite, "a late write doesn't spend a budget twice") {
  WaveSetting T;
  section("a holder gets no answer, and picks others in its next step", [&] {
    T.Holder_.think();
    T.Holder_.delay();
    for (unsigned I = 0; I < 5; ++I)
      T.worker(I).Busy_ = 1;
    T.Holder_.step();
    CPPUNIT_ASSERT_EQUAL(3U, T.disrupted());
  });
  section("the first write, when it comes after all, is refused", [&] {
    T.Holder_.arrive();
    CPPUNIT_ASSERT(T.Holder_.last() == CommitStatus::Conflict);
    CPPUNIT_ASSERT_EQUAL(3U, T.disrupted());
    assertNoFaults(T.Fleet_);
  });
}

HEATHERCROSS_STORY(WaveModes, "operators pause, abort and reissue a wave") {
  WaveSetting T;
  T.run(Seconds(40));
  const auto Before = T.totalReboots();
  section("a paused wave returns what hasn't rebooted, and starts nothing",
          [&] {
            T.Fleet_.setWave("w1", "quotes", WaveMode::Paused);
            T.run(Seconds(60));
            CPPUNIT_ASSERT_EQUAL(0U, T.disrupted());
            CPPUNIT_ASSERT(T.totalReboots() < 10);
            CPPUNIT_ASSERT(T.Holder_.wave().State_ == WaveState::Paused);
            for (const auto &[Name, W] : T.Fleet_.Workers_)
              CPPUNIT_ASSERT(!W.Draining_);
          });
  section("an aborted wave that is reissued resumes", [&] {
    T.Fleet_.setWave("w1", "quotes", WaveMode::Aborted);
    T.run(Seconds(10));
    T.Fleet_.setWave("w1", "quotes");
    CPPUNIT_ASSERT(T.finishes());
    CPPUNIT_ASSERT(Before > 0);
    CPPUNIT_ASSERT_EQUAL(10U, T.totalReboots());
    assertNoFaults(T.Fleet_);
  });
}

HEATHERCROSS_STORY(WavePlatform, "nothing starts while the platform is away") {
  WaveSetting T;
  T.run(Seconds(3));
  T.Fleet_.PlatformUp_ = false;
  T.Holder_.think();
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, T.Holder_.pending());
  T.Fleet_.PlatformUp_ = true;
  CPPUNIT_ASSERT(T.finishes());
}

HEATHERCROSS_STORY(WaveBlocked, "a budget without room blocks a wave") {
  WaveSetting T(10);
  section("the wave says so", [&] {
    T.run(Seconds(20));
    CPPUNIT_ASSERT_EQUAL(0U, T.disrupted());
    CPPUNIT_ASSERT(T.Holder_.wave().State_ == WaveState::Blocked);
    CPPUNIT_ASSERT(T.Holder_.wave().Obstacle_ ==
                   WaveObstacle::BudgetLeavesNoRoom);
  });
  section("a spare instance makes room, and goes back afterwards", [&] {
    T.Fleet_.addPool("portal", 4, 2, true);
    T.Fleet_.addWorkers(4);
    ModelHolder<> Both(T.Fleet_, {"quotes", "portal"});
    const auto Took = runUntil(T.Fleet_, Both, Seconds(2'000), [&] {
      return T.Fleet_.doneWith("w1") >= 10 &&
             T.Fleet_.members("portal").size() == 4;
    });
    CPPUNIT_ASSERT(Took);
    CPPUNIT_ASSERT_EQUAL(std::size_t{10}, T.Fleet_.members("quotes").size());
    assertNoFaults(T.Fleet_);
  });
}
