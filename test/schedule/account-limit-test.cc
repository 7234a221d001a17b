// Tests of account limits in a pool's scheduler: which starts they withhold,
// and what counts as running.
#include "schedule/manual-pool.h"
#include "support/story.h"

#include <string>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using heathercross::test::section;

namespace {

const AccountId Mill("mill");
const AccountId Farm("farm");
const InstanceId W1("w1");

accounts::Allowance allowance(std::int64_t CpuMilli,
                              std::int64_t Share = accounts::WholeShare) {
  return {{CpuMilli, 0, 0}, Share, Share};
}

void submit(PoolScheduler &S, const char *Id, const AccountId &Account,
            JobSpec Spec, Instant Now) {
  S.admit(Job(JobId(Id), QueueId("q"), std::move(Spec), Now, Account));
}

std::size_t startsOf(const Orders &O, const char *Job) {
  return static_cast<std::size_t>(
      std::ranges::count_if(O.Starts_, [&](const StartOrder &S) {
        return S.Task_.Job_ == JobId(Job);
      }));
}

std::vector<RunningReport> running(const std::vector<StartOrder> &Starts) {
  std::vector<RunningReport> Runs;
  Runs.reserve(Starts.size());
  for (const StartOrder &O : Starts)
    Runs.push_back(heathercross::schedule::test::running(O));
  return Runs;
}

} // namespace

// Guards against an account whose burst exceeds its limit, and against others
// that wait behind it.
HEATHERCROSS_STORY(BurstAtLimit, "a burst stops at the limit of its account") {
  ManualPool P("w1", 32'000);
  P.Scheduler_.setAllowances({{Mill, allowance(5000)}});
  submit(P.Scheduler_, "a", Mill, job({step(20, 1000, Millis(500))}), P.Now_);
  submit(P.Scheduler_, "b", Farm, job({step(8, 1000, Millis(900))}), P.Now_);
  const Orders First = P.step();
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, startsOf(First, "a"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{8}, startsOf(First, "b"));
  CPPUNIT_ASSERT(P.Scheduler_.accountNeeds().at(Mill).AtLimit_);
  section("unanswered orders count", [&] {
    P.answer(First.Starts_.front(), StartAnswer::Unknown);
    CPPUNIT_ASSERT(P.step().Starts_.empty());
  });
  section("an end lets the next task start", [&] {
    P.report("w1", 1, running({First.Starts_.begin() + 1, First.Starts_.end()}),
             {{1, First.Starts_.front().Task_, 1, RunEnd::Done, ""}});
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, P.step().Starts_.size());
  });
  section("waiting tasks beyond the limit need no workers", [&] {
    const Demand D = P.Scheduler_.demand(P.Now_, WallTime());
    CPPUNIT_ASSERT_EQUAL(0.0, D.WaitingInTime_ + D.WaitingLate_);
  });
  section("a larger share lets more start", [&] {
    P.Scheduler_.setAllowances({{Mill, allowance(9000)}});
    const Demand D = P.Scheduler_.demand(P.Now_, WallTime());
    CPPUNIT_ASSERT_EQUAL(4.0, D.WaitingInTime_ + D.WaitingLate_);
    CPPUNIT_ASSERT_EQUAL(std::size_t{4}, P.step().Starts_.size());
  });
  section("a cut below what runs lets nothing start", [&] {
    P.Scheduler_.setAllowances({{Mill, allowance(300)}});
    CPPUNIT_ASSERT(P.step().Starts_.empty());
  });
}

// Guards against accounts that start tasks before the pool has a share.
HEATHERCROSS_STORY(NoShareYet, "without a share only other accounts start") {
  ManualPool P("w1", 32'000);
  P.Scheduler_.setAllowances({{Mill, {{5000, 0, 0}, 0, accounts::WholeShare}}});
  submit(P.Scheduler_, "a", Mill, job({step(3, 1000, Millis(500))}), P.Now_);
  submit(P.Scheduler_, "b", Farm, job({step(2, 1000, Millis(500))}), P.Now_);
  submit(P.Scheduler_, "c", {}, job({step(2, 1000, Millis(500))}), P.Now_);
  const Orders O = P.step();
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, startsOf(O, "a"));
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, O.Starts_.size());
  section("but its tasks are a need of the pool", [&] {
    const auto N = P.Scheduler_.accountNeeds().at(Mill);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, N.Waiting_.CpuMilli_);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{1000}, N.Least_->CpuMilli_);
    CPPUNIT_ASSERT_EQUAL(
        3.0, P.Scheduler_.demand(P.Now_, WallTime()).WaitingInTime_);
  });
}

// Guards against gangs of which only some members fit the limit, and against
// best-effort tasks that aren't counted.
HEATHERCROSS_STORY(GangsAndBestEffort, "all needs of a start count") {
  ManualPool P("w1", 32'000);
  P.Scheduler_.setAllowances({{Mill, allowance(5000)}});
  StepSpec Filler = step(2, 1500, Millis(500));
  Filler.BestEffort_ = true;
  StepSpec Gang = step(3, 1000, Millis(500));
  Gang.Gang_ = true;
  submit(P.Scheduler_, "a", Mill, job({Filler}), P.Now_);
  CPPUNIT_ASSERT_EQUAL(std::size_t{2}, P.step().Starts_.size());
  submit(P.Scheduler_, "b", Mill, job({Gang}), P.Now_);
  CPPUNIT_ASSERT(P.step().Starts_.empty());
  P.Scheduler_.setAllowances({{Mill, allowance(6000)}});
  CPPUNIT_ASSERT_EQUAL(std::size_t{3}, P.step().Starts_.size());
}

// Guards against a new holder that counts the limit as free while the former
// one's runs haven't been reported.
HEATHERCROSS_STORY(LimitAtTakeover, "unreported runs count after a takeover") {
  ManualPool P("w1", 4000);
  P.addWorker("w2", 4000);
  P.Scheduler_.setAllowances({{Mill, allowance(5000)}});
  submit(P.Scheduler_, "a", Mill, job({step(5, 1000, Millis(500))}), P.Now_);
  const std::vector<StartOrder> Starts = P.step().Starts_;
  CPPUNIT_ASSERT_EQUAL(std::size_t{5}, Starts.size());
  const Instant Until = P.Now_ + Seconds(11);

  P.Scheduler_ = PoolScheduler();
  P.Scheduler_.setLeases(ModelPool::Lease, ModelPool::MaxLease);
  for (const char *Id : {"w1", "w2"})
    P.Scheduler_.setWorker(workerInfo(Id, "r1", 4000));
  P.Scheduler_.setAllowances({{Mill, allowance(5000)}});
  P.Scheduler_.restore(Job(JobId("a"), QueueId("q"),
                           job({step(5, 1000, Millis(500))}), P.Now_, Mill),
                       100);
  P.Scheduler_.awaitWorkers({{W1, Until}, {InstanceId("w2"), Until}});
  P.addWorker("w3", 8000);
  submit(P.Scheduler_, "new", Mill, job({step(9, 1000, Millis(500))}), P.Now_);
  const auto AwaitedCpu = [&] {
    return P.Scheduler_.accountNeeds().at(Mill).Awaited_.CpuMilli_;
  };
  CPPUNIT_ASSERT(P.step().Starts_.empty());
  CPPUNIT_ASSERT_EQUAL(std::int64_t{5000}, AwaitedCpu());
  section("what a worker reports no longer counts as awaited", [&] {
    std::vector<StartOrder> There;
    for (const StartOrder &O : Starts)
      if (O.Worker_ == W1)
        There.push_back(O);
    P.report("w1", 1, running(There));
    CPPUNIT_ASSERT(P.step().Starts_.empty());
    const auto N = P.Scheduler_.accountNeeds().at(Mill);
    CPPUNIT_ASSERT_EQUAL(std::int64_t{5000},
                         N.Used_.CpuMilli_ + N.Awaited_.CpuMilli_);
  });
  section("when all have reported the rest is free", [&] {
    P.report("w2", 1, {});
    const std::size_t Reported = static_cast<std::size_t>(
        std::ranges::count(Starts, W1, &StartOrder::Worker_));
    CPPUNIT_ASSERT_EQUAL(5 - Reported, P.step().Starts_.size());
    CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, AwaitedCpu());
  });
}

// Guards against usage that drifts from the workers' runs over refusals, lost
// answers, restarts and cancellations.
HEATHERCROSS_STORY(UsageFollowsRuns, "usage is zero when nothing runs") {
  ManualPool P("w1", 8000);
  P.Scheduler_.setAllowances({{Mill, allowance(8000)}});
  submit(P.Scheduler_, "a", Mill, job({step(4, 1000, Millis(500))}), P.Now_);
  const std::vector<StartOrder> Starts = P.step().Starts_;
  CPPUNIT_ASSERT_EQUAL(std::size_t{4}, Starts.size());
  P.answer(Starts[0], StartAnswer::Unknown);
  P.answer(Starts[1], StartAnswer::NoRoom);
  for (const std::size_t I : {2, 3})
    P.answer(Starts[I], StartAnswer::Started);
  P.Scheduler_.cancel(JobId("a"));
  P.step();
  const auto Used = [&] {
    P.step();
    return P.Scheduler_.accountNeeds().at(Mill).Used_.CpuMilli_;
  };
  CPPUNIT_ASSERT_EQUAL(std::int64_t{3000}, Used());
  P.Now_ += Millis(10);
  P.report("w1", 1, {},
           {{1, Starts[2].Task_, 1, RunEnd::Stopped, ""},
            {2, Starts[3].Task_, 1, RunEnd::Done, ""}});
  P.report("w1", 1, {});
  CPPUNIT_ASSERT_EQUAL(std::int64_t{0}, Used());
}
