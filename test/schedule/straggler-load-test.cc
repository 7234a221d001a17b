// Replays of a load in which some runs take far longer than others, and of
// random faults while tasks have copies.
#include "core/jitter.h"
#include "schedule/late-orders.h"
#include "support/story.h"

#include <iostream>
#include <map>
#include <string>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;

namespace {

/// Whether one run of a task takes seven times as long.
bool isLong(const TaskKey &Key, Attempt A, std::uint32_t Percent,
            std::uint64_t Seed) {
  std::uint64_t Mixed = Seed;
  for (const char C : Key.Job_.str())
    Mixed = Mixed * 31 + static_cast<unsigned char>(C);
  Mixed = Mixed * 131 + Key.Step_;
  Mixed = Mixed * 131 + Key.Index_;
  return Jitter(Mixed * 131 + A).next() % 100 < Percent;
}

/// Which jobs of the replay allow copies.
enum class Copies : std::uint8_t { None, ThirdOfJobs };

/// What causes a long run: the run itself, so that a fresh one helps, or the
/// task's work.
enum class Cause : std::uint8_t { Run, Work };

struct Outcome {
  std::uint32_t Jobs_ = 0;
  std::uint32_t InTime_ = 0;
  /// The same for the jobs that may allow copies.
  std::uint32_t Selected_ = 0;
  std::uint32_t SelectedInTime_ = 0;
  std::uint32_t SecondRuns_ = 0;
  Micros Worked_{0};
  PoolFaults Faults_;
};

/// A pool of 10 workers of 16 cores under a load that bursts beyond it.
class Replay : public ModelPool {
public:
  Replay(Copies C, Cause Why, double EstimateError, std::uint64_t Seed)
      : Copies_(C), EstimateError_(EstimateError), Random_(Seed) {
    for (int I = 0; I < 10; ++I)
      addWorker("w" + std::to_string(I), "r1", 16'000);
    RunTimeFactor_ = [this, Why, Seed](const TaskKey &Key, Attempt A) {
      const double Long =
          isLong(Key, Why == Cause::Run ? A : 0, 3, Seed) ? 7 : 1;
      return Long * TrueRatio_.at(Key.Job_);
    };
  }

  Outcome play() {
    run(Millis(200));
    Instant Next = Now_;
    const Instant Begin = Now_;
    for (const Instant End = Begin + Seconds(60); Now_ < End;) {
      for (; Next <= Now_; Next += gap(Next - Begin))
        arrive();
      run(Tick);
    }
    CPPUNIT_ASSERT(runUntil(Seconds(60), [&] { return Objective_.empty(); }));
    Result_.SecondRuns_ = SecondRuns_;
    Result_.Worked_ = Worked_;
    Result_.Faults_ = Faults_;
    return Result_;
  }

protected:
  void tick() override {
    ModelPool::tick();
    std::erase_if(Objective_, [&](const auto &Entry) {
      const auto &[Id, Until] = Entry;
      if (!isFinal(Scheduler_.find(Id)->state()))
        return false;
      const bool InTime = Now_ <= Until;
      const bool Selected = Selected_.contains(Id);
      Result_.InTime_ += InTime ? 1 : 0;
      Result_.SelectedInTime_ += InTime && Selected ? 1 : 0;
      return true;
    });
  }

private:
  /// The load is 1.5 jobs a second, and 13 for 4.5 s in each 15 s.
  Micros gap(Micros SinceBegin) {
    const bool Burst = SinceBegin % Micros(Seconds(15)) < Micros(Millis(4500));
    const std::int64_t Mean = Burst ? 77'000 : 660'000;
    return Random_.between(Micros(Mean / 2), Micros(Mean * 3 / 2));
  }

  void arrive() {
    const std::string Id = "j" + std::to_string(Result_.Jobs_++);
    const Micros True = Random_.between(Millis(700), Millis(800));
    const double Ratio =
        1 + EstimateError_ *
                (static_cast<double>(Random_.next() % 2001) / 1000 - 1);
    StepSpec S = schedule::test::step(
        8, 1500,
        Millis(static_cast<std::int64_t>(
            static_cast<double>(toMillis(True).count()) * Ratio)));
    S.Needs_.MemoryMb_ = 100;
    S.Image_ = "convert";
    const bool Selected = Random_.next() % 3 == 0;
    S.Speculative_ = Selected && Copies_ == Copies::ThirdOfJobs;
    std::vector<StepSpec> Steps{S};
    if (Random_.next() % 10 < 6) {
      Steps.push_back(S);
      Steps.back().DependsOn_ = {0};
    }
    TrueRatio_[JobId(Id)] = static_cast<double>(True.count()) /
                            static_cast<double>(Micros(S.Estimate_).count());
    // The objective of the queue, for the true critical path.
    const auto Path = static_cast<std::int64_t>(Steps.size()) * True;
    Objective_[JobId(Id)] = Now_ + Path * 16 / 10 + Millis(600);
    if (Selected) {
      Selected_.insert(JobId(Id));
      ++Result_.Selected_;
    }
    submit(Id, job(std::move(Steps)));
  }

  Copies Copies_;
  double EstimateError_;
  Jitter Random_;
  std::map<JobId, double> TrueRatio_;
  /// Until when the open jobs are in time.
  std::map<JobId, Instant> Objective_;
  std::set<JobId> Selected_;
  Outcome Result_;
};

/// The sum of replays with several seeds and errors of the estimates.
Outcome play(Copies C, Cause Why) {
  Outcome Sum;
  for (const double EstimateError : {0.5, 0.9})
    for (std::uint64_t Seed = 1; Seed <= 4; ++Seed) {
      const Outcome O = Replay(C, Why, EstimateError, Seed).play();
      CPPUNIT_ASSERT_EQUAL(PoolFaults(), O.Faults_);
      Sum.Jobs_ += O.Jobs_;
      Sum.InTime_ += O.InTime_;
      Sum.Selected_ += O.Selected_;
      Sum.SelectedInTime_ += O.SelectedInTime_;
      Sum.SecondRuns_ += O.SecondRuns_;
      Sum.Worked_ += O.Worked_;
    }
  std::cout << "\njobs " << Sum.Jobs_ << ", in time " << Sum.InTime_
            << ", may copy " << Sum.Selected_ << ", in time "
            << Sum.SelectedInTime_ << ", copies " << Sum.SecondRuns_
            << ", worked s " << Sum.Worked_.count() / 1'000'000 << "\n";
  return Sum;
}

JobSpec sometimesSpeculative(int Argument) {
  JobSpec J = stormJob(Argument % 8);
  J.Steps_[0].Speculative_ = Argument % 3 != 0;
  return J;
}

/// Learns the run times, and lets many runs be long.
void makeStragglers(ModelPool &P) {
  for (int I = 0; I < 3; ++I)
    P.submit("learn" + std::to_string(I),
             job({schedule::test::step(3, 1500, Millis(400))}));
  P.run(Seconds(2));
  P.RunTimeFactor_ = [](const TaskKey &Key, Attempt A) {
    return isLong(Key, A, 40, 7) ? 7.0 : 1.0;
  };
}

} // namespace

// Load: 3% of the runs take seven times as long, estimates are off by up to 0.5
// and 0.9, a third of the jobs allow copies. Guards against copies that don't
// help their jobs, hurt the others, or cost more than they save.
HEATHERCROSS_STORY(StragglerReplay, "copies bring more jobs in time") {
  const Outcome Without = play(Copies::None, Cause::Run);
  const Outcome With = play(Copies::ThirdOfJobs, Cause::Run);
  CPPUNIT_ASSERT(With.SelectedInTime_ * 100 >= Without.SelectedInTime_ * 110);
  CPPUNIT_ASSERT(With.InTime_ - With.SelectedInTime_ + 10 >=
                 Without.InTime_ - Without.SelectedInTime_);
  CPPUNIT_ASSERT(With.Worked_ <= Without.Worked_);
}

// Load: the same, but the work of the tasks is long, so that a second run takes
// as long as the first. Guards against extra work without a bound.
HEATHERCROSS_STORY(LongWorkReplay, "copies of long work cost little") {
  const Outcome Without = play(Copies::None, Cause::Work);
  const Outcome With = play(Copies::ThirdOfJobs, Cause::Work);
  CPPUNIT_ASSERT(With.Worked_ * 100 <= Without.Worked_ * 105);
  CPPUNIT_ASSERT(With.InTime_ * 100 >= Without.InTime_ * 98);
}

// Guards against tasks of other steps that run twice, third runs, and done
// tasks that start again, while tasks have copies and anything fails.
HEATHERCROSS_STORY(CopyStorm, "copies under random faults") {
  std::uint32_t SecondRuns = 0;
  HEATHERCROSS_PROPERTY("orders and renewals are late", [&] {
    SecondRuns += runLateOrders(rc::gen::inRange(0, 9), isFaultless,
                                sometimesSpeculative, makeStragglers);
  });
  CPPUNIT_ASSERT(SecondRuns > 0);
  HEATHERCROSS_PROPERTY("the holder changes", [&] {
    SecondRuns +=
        runLateOrders(rc::gen::element(0, 1, 2, 3, 7, 8, 9), isFaultless,
                      sometimesSpeculative, makeStragglers);
  });
  std::cout << SecondRuns << " second runs\n";
}
