// Tests of a pool whose queue needs advice: whatever the policy allows, a step
// reaches an allowed worker that has room for it.
#include "schedule/model-pool.h"
#include "support/memory.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>
#include <set>
#include <string>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;
using heathercross::test::usedBytes;

namespace {

std::string workerName(int I) { return "w" + std::to_string(1000 + I); }

/// A pool whose queue needs advice.
class AdvisedPool : public ModelPool {
public:
  explicit AdvisedPool(int Workers, AdviceTimes T) {
    Placement_.emplace();
    Placement_->Times_ = T;
    configure();
    for (int I = 0; I < Workers; ++I)
      addWorker(workerName(I), "r" + std::to_string(I % 4), 4000);
    run(Millis(100));
  }

  void allowOnly(const std::set<int> &Workers) {
    Placement_->OneOf_ = ~std::uint64_t{0};
    for (const int I : Workers)
      Placement_->Always_.insert(InstanceId(workerName(I)));
  }
  bool completes(const std::string &Job, Micros Within) {
    return runUntil(Within, [&] { return state(Job) == JobState::Complete; });
  }
  /// The time of the queries with which every worker is asked about once.
  Micros queriesForAll() const {
    const auto &T = Placement_->Times_;
    const auto N = static_cast<std::int64_t>(Workers_.size());
    return N * (T.Decide_ + T.Each_ + Tick);
  }
};

constexpr AdviceTimes Quick{Millis(20), Millis(1), Millis(3000)};

} // namespace

// Guards against LOST: the same 30 workers were asked about again and again.
HEATHERCROSS_STORY(
    AllowedLast, "a step finds its only allowed worker in a pool of any size") {
  section("the last of 37", [] {
    AdvisedPool P(37, Quick);
    P.allowOnly({36});
    P.submit("j1", job({step(1, 500, Millis(300))}));
    CPPUNIT_ASSERT(P.completes("j1", Seconds(1)));
  });
  section("the last of 540", [] {
    AdvisedPool P(540, Quick);
    P.allowOnly({539});
    P.submit("j1", job({step(1, 500, Millis(300))}));
    CPPUNIT_ASSERT(P.completes("j1", Seconds(2)));
  });
  section("for each of 200 jobs", [] {
    AdvisedPool P(37, Quick);
    P.Placement_->OneOf_ = 37;
    P.Placement_->Always_ = {InstanceId(workerName(20))};
    for (int I = 0; I < 200; ++I)
      P.submit("j" + std::to_string(I), job({step(1, 500, Millis(300))}));
    CPPUNIT_ASSERT(P.runUntil(Seconds(30), [&] {
      return std::ranges::all_of(P.Scheduler_.jobs(), [](const auto &E) {
        return E.second.state() == JobState::Complete;
      });
    }));
    CPPUNIT_ASSERT_EQUAL(0U, P.Placement_->TicketsRefused_);
  });
}

// Guards against LOST: a query for 30 workers took longer than its time limit,
// or than its tickets were valid.
HEATHERCROSS_STORY(SlowService, "a slow service is asked about few workers") {
  section("as its settings say", [] {
    AdvisedPool P(30, {Millis(20), Millis(150), Millis(3000)});
    P.allowOnly({29});
    P.submit("j1", job({step(1, 500, Millis(300))}));
    CPPUNIT_ASSERT(P.completes("j1", P.queriesForAll() + Seconds(1)));
  });
  section("or as its answers show", [] {
    AdviceBatch B;
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, B.limit(Quick, 0));
    B.took(Quick, 30, Seconds(3), false);
    CPPUNIT_ASSERT_EQUAL(std::size_t{15}, B.limit(Quick, 0));
    B.took(Quick, 15, Millis(2270), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{7}, B.limit(Quick, 0));
    B.took(Quick, 7, Millis(1070), true);
    CPPUNIT_ASSERT(B.limit(Quick, 0) >= 7);
  });
  section("and about more once it is quick again", [] {
    AdviceBatch B;
    B.took(Quick, 30, Seconds(3), false);
    B.took(Quick, 15, Millis(35), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{30}, B.limit(Quick, 1));
    B.took(Quick, 30, Millis(50), true);
    B.took(Quick, 60, Millis(80), true);
    CPPUNIT_ASSERT_EQUAL(std::size_t{100}, B.limit(Quick, 1));
  });
}

HEATHERCROSS_STORY(Neighbours,
                   "a step that no worker may run keeps no other one waiting") {
  AdvisedPool P(120, Quick);
  P.Placement_->OneOf_ = ~std::uint64_t{0};
  P.submit("never", job({step(1, 500, Millis(300))}));
  P.run(Seconds(2));
  section("it isn't asked about again", [&] {
    const auto Before = P.Placement_->Queries_;
    P.run(Seconds(10));
    CPPUNIT_ASSERT_EQUAL(Before, P.Placement_->Queries_);
  });
  section("a worker that comes is asked about", [&] {
    P.Placement_->Always_.insert(InstanceId("late"));
    P.addWorker("late");
    CPPUNIT_ASSERT(P.completes("never", Seconds(1)));
  });
  section("a new life of a refused worker is asked about", [&] {
    P.submit("again", job({step(1, 500, Millis(300))}));
    P.Placement_->Always_.clear();
    P.run(Seconds(2));
    CPPUNIT_ASSERT(P.state("again") == JobState::Queued);
    P.Placement_->Always_.insert(InstanceId(workerName(7)));
    P.Now_ += Millis(5);
    P.crash(P.Workers_.at(InstanceId(workerName(7))));
    CPPUNIT_ASSERT(P.completes("again", Seconds(2)));
  });
}

HEATHERCROSS_STORY(WideGang, "a gang wider than a query starts as a whole") {
  AdvisedPool P(70, Quick);
  StepSpec S = step(60, 3000, Millis(500));
  S.Gang_ = true;
  P.submit("gang", job({S}));
  CPPUNIT_ASSERT(P.completes("gang", Seconds(3)));
}

HEATHERCROSS_STORY(MovesWithAdvice,
                   "a lasting task of an advised queue leaves its worker") {
  AdvisedPool P(40, Quick);
  P.allowOnly({3, 39});
  StepSpec S = step(1, 1000, Millis(1000));
  S.LongRunning_ = true;
  S.MaxUnavailable_ = 1;
  P.submit("lasting", job({S}));
  P.run(Seconds(8));
  const auto Holder = std::ranges::find_if(
      P.Workers_, [](const auto &E) { return !E.second.Running_.empty(); });
  CPPUNIT_ASSERT(Holder != P.Workers_.end());
  const InstanceId From = Holder->first;
  P.Scheduler_.evacuate({From}, P.Now_ + Seconds(10));
  P.run(Seconds(3));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.running("lasting"));
  CPPUNIT_ASSERT(P.Workers_.at(From).Running_.empty());
}

HEATHERCROSS_STORY(AdviceMemory,
                   "refusals of 1,200 workers for 10,000 steps stay small") {
  constexpr std::size_t MaxBytes = 16'000'000;
  const std::size_t Before = usedBytes();
  PlacementAdvice A;
  for (int I = 0; I < 1200; ++I)
    A.addWorker();
  for (int J = 0; J < 10'000; ++J) {
    const StepKey Key{JobId("job" + std::to_string(J)), 0, 0};
    for (WorkerNumber N = 0; N < 1200; ++N)
      A.record(Key, N, std::nullopt, Instant());
  }
  CPPUNIT_ASSERT(usedBytes() - std::min(Before, usedBytes()) < MaxBytes);
  CPPUNIT_ASSERT(A.answer({JobId("job7"), 0, 0}, 1199, Instant()) ==
                 PlacementAdvice::Answer::Refused);
  A.workerRestarted(1199);
  CPPUNIT_ASSERT(A.answer({JobId("job7"), 0, 0}, 1199, Instant()) ==
                 PlacementAdvice::Answer::None);
}

namespace {

/// A step whose tasks fit on one worker, all at once if it is a gang.
StepSpec anyStep(const std::string &Label) {
  const auto Count = static_cast<std::uint32_t>(*rc::gen::inRange(1, 6));
  const bool Gang = *rc::gen::inRange(0, 4) == 0;
  const int Cpu =
      Gang ? 4000 / static_cast<int>(Count) : 1000 * *rc::gen::inRange(1, 5);
  StepSpec S = step(Count, Cpu, Millis(200));
  S.Needs_.MemoryMb_ = 10;
  S.Gang_ = Gang;
  if (*rc::gen::inRange(0, 3) == 0)
    S.Label_ = Label;
  if (!Gang && *rc::gen::inRange(0, 4) == 0)
    S.MaxPerWorker_ = 1;
  return S;
}

/// Something that changes who may be asked about, or what is known.
void disturb(AdvisedPool &P, int Workers, int Round) {
  const InstanceId Id(workerName(*rc::gen::inRange(0, Workers)));
  ModelWorker &W = P.Workers_.at(Id);
  switch (*rc::gen::inRange(0, 4)) {
  case 0:
    // A restart without runs concerns only what is known of the worker.
    if (W.Running_.empty())
      P.crash(W);
    return;
  case 1:
    P.addWorker("late" + std::to_string(Round));
    return;
  case 2:
    P.Scheduler_.evacuate({Id}, P.Now_ + Seconds(5));
    return;
  default:
    P.changeHolder();
    return;
  }
}

} // namespace

// The class of LOST for advice: policy, size of the pool, labels, room, lives
// of workers, holders and the speed of the service are drawn.
HEATHERCROSS_STORY(AnyPolicy, "no placement policy keeps a step waiting") {
  HEATHERCROSS_PROPERTY(
      "each job completes within the time of the queries that it needs", [] {
        const int Workers = *rc::gen::inRange(1, 131);
        AdvisedPool P(Workers, {Millis(*rc::gen::inRange(0, 60)),
                                Millis(*rc::gen::inRange(0, 160)),
                                Millis(*rc::gen::inRange(800, 4000))});
        P.Placement_->OneOf_ =
            static_cast<std::uint64_t>(*rc::gen::inRange(1, 2 * Workers + 1));
        // At least one worker is allowed that has each label and room.
        const int Always = *rc::gen::inRange(0, Workers);
        P.Placement_->Always_.insert(InstanceId(workerName(Always)));
        const int Jobs = *rc::gen::inRange(1, 6);
        for (int J = 0; J < Jobs; ++J)
          P.submit("j" + std::to_string(J),
                   job({anyStep("r" + std::to_string(Always % 4))}));
        const int Disturbances = *rc::gen::inRange(0, 4);
        for (int I = 0; I < Disturbances; ++I) {
          P.run(Millis(*rc::gen::inRange(0, 1500)));
          disturb(P, Workers, I);
        }
        const Micros Limit =
            (Jobs + 1) * (Disturbances + 1) * 2 * P.queriesForAll() +
            Jobs * Seconds(8) + (1 + Disturbances) * Seconds(20);
        RC_ASSERT(P.runUntil(Limit, [&] {
          return std::ranges::all_of(P.Scheduler_.jobs(), [](const auto &E) {
            return E.second.state() == JobState::Complete;
          });
        }));
        RC_ASSERT(P.Faults_ == PoolFaults());
      });
}
