// Tests of fair shares: ranking, admission and a replay of a hot account.
#include "schedule/share-load.h"
#include "support/story.h"

#include <iostream>

using namespace heathercross;
using namespace heathercross::schedule;
using namespace heathercross::schedule::test;
using accounts::RateShare;
using heathercross::test::section;

namespace {

constexpr int WorkerCount = 16;
constexpr double Cores = WorkerCount * 16;
/// Core-seconds of a job: 1.6 steps of 8 tasks of 0.75 s on 1.5 cores.
constexpr double MeanWork = 1.6 * 8 * 0.75 * 1.5;
/// Jobs per second that the pool can carry out.
constexpr double Capacity = Cores / MeanWork;
/// The hot account sends this many times its weight.
constexpr double HotFactor = 5;
constexpr double BurstSeconds = 4.5;
constexpr double LeadSeconds = 2;
/// Share of jobs by which random arrivals may change the results.
constexpr double Margin = 0.05;
const AccountId Hot("a0");

/// Ten accounts whose sizes fall as rank to the power of -1.2. Their weights
/// are such that the hot one, the largest, makes the pool's load 4 times its
/// capacity.
std::vector<accounts::Account> accountsOfPool() {
  std::vector<double> Sizes;
  for (int Rank = 1; Rank <= 10; ++Rank)
    Sizes.push_back(std::pow(Rank, -1.2));
  double Total = HotFactor - 1;
  for (const double S : Sizes)
    Total += S;
  std::vector<accounts::Account> All;
  for (std::size_t I = 0; I < Sizes.size(); ++I) {
    accounts::Account A;
    A.Id_ = AccountId("a" + std::to_string(I));
    A.Weight_ = std::max(1U, static_cast<std::uint32_t>(
                                 std::lround(4 * Capacity * Sizes[I] / Total)));
    All.push_back(A);
  }
  return All;
}

JobSpec randomJob(std::mt19937 &Random) {
  std::vector<StepSpec> Steps{step(8, 1500, Millis(750))};
  if (std::bernoulli_distribution(0.6)(Random)) {
    Steps.push_back(Steps.front());
    Steps.back().DependsOn_ = {0};
  }
  return job(Steps);
}

/// Adds random arrivals at a rate.
void addArrivals(std::vector<ReplayedJob> &Load, const AccountId &Account,
                 double From, double To, double PerSecond,
                 std::mt19937 &Random) {
  std::exponential_distribution<double> Pause(PerSecond);
  for (double At = From + Pause(Random); At < To; At += Pause(Random))
    Load.push_back({Micros(static_cast<std::int64_t>(At * 1e6)), Account,
                    randomJob(Random)});
}

/// A load of all accounts at 0.9 of their weights in a burst, after a quiet
/// time. The hot account's excess is separate, so that both loads have the
/// same arrivals otherwise.
struct HotLoad {
  std::vector<ReplayedJob> Steady_;
  std::vector<ReplayedJob> WithExcess_;
};

HotLoad hotLoad(std::uint32_t Seed) {
  std::mt19937 Random(Seed);
  HotLoad L;
  for (const accounts::Account &A : accountsOfPool()) {
    addArrivals(L.Steady_, A.Id_, 0, LeadSeconds, 0.2 * A.Weight_, Random);
    addArrivals(L.Steady_, A.Id_, LeadSeconds, LeadSeconds + BurstSeconds,
                0.9 * A.Weight_, Random);
  }
  L.WithExcess_ = L.Steady_;
  addArrivals(L.WithExcess_, Hot, LeadSeconds, LeadSeconds + BurstSeconds,
              (HotFactor - 0.9) * accountsOfPool().front().Weight_, Random);
  std::ranges::stable_sort(L.Steady_, {}, &ReplayedJob::At_);
  std::ranges::stable_sort(L.WithExcess_, {}, &ReplayedJob::At_);
  return L;
}

void addTo(ReplayResult &Sum, const ReplayResult &R) {
  Sum.Submitted_ += R.Submitted_;
  Sum.InTime_ += R.InTime_;
  Sum.RejectedOverShare_ += R.RejectedOverShare_;
  Sum.AcceptedOverShare_ += R.AcceptedOverShare_;
}

/// Adds up the results of all accounts but the hot one.
void addSteady(ReplayResult &Sum,
               const std::map<AccountId, ReplayResult> &Results) {
  for (const auto &[Id, R] : Results)
    if (Id != Hot)
      addTo(Sum, R);
}

/// Replays an account that sends a multiple of its rate beside one without a
/// weight that takes a share of the pool's capacity; sums up three seeds.
ReplayResult replayBesideSteady(const accounts::Account &A, double Factor,
                                double SteadyShare) {
  ReplayResult Sum;
  for (const std::uint32_t Seed : {1U, 2U, 3U}) {
    std::mt19937 Random(Seed);
    std::vector<ReplayedJob> Load;
    addArrivals(Load, A.Id_, 0, 8, Factor * A.Weight_, Random);
    if (SteadyShare > 0)
      addArrivals(Load, AccountId("steady"), 0, 8, SteadyShare * Capacity,
                  Random);
    std::ranges::stable_sort(Load, {}, &ReplayedJob::At_);
    addTo(Sum, SharePool(accounts::AccountDirectory({A}), WorkerCount)
                   .replay(Load)
                   .at(A.Id_));
  }
  return Sum;
}

QueueSettings queueSettings() {
  QueueSettings Q;
  Q.ObjectiveFactor_ = 1.6;
  Q.ObjectiveSlack_ = Millis(600);
  return Q;
}

/// A job of tasks of 1 s on one core, accepted at time 0.
Job jobOfTasks(const char *Id, std::uint32_t Tasks, RateShare Share) {
  Job J(JobId(Id), QueueId("q"), job({step(Tasks, 1000, Millis(1000))}),
        Instant());
  J.setShare(Share);
  return J;
}

} // namespace

// Guards against an account that takes capacity which others are owed. The
// load: the pool is asked for 4 times its capacity for 4.5 s, because the
// largest of ten accounts sends 5 times its weight.
HEATHERCROSS_STORY(HotAccountReplay,
                   "an account beyond its rate takes nothing from the others") {
  const accounts::AccountDirectory Directory(accountsOfPool());
  ReplayResult Without;
  ReplayResult With;
  ReplayResult Kept;
  std::uint32_t HotInTime = 0;
  std::uint32_t HotInTimeKept = 0;
  for (const std::uint32_t Seed : {1U, 2U, 3U, 4U, 5U, 6U}) {
    const HotLoad L = hotLoad(Seed);
    addSteady(Without, SharePool({}, WorkerCount).replay(L.WithExcess_));
    const auto Shared = SharePool(Directory, WorkerCount).replay(L.WithExcess_);
    addSteady(With, Shared);
    HotInTime += Shared.at(Hot).InTime_;
    const auto WithinWeight = SharePool({}, WorkerCount).replay(L.Steady_);
    addSteady(Kept, WithinWeight);
    HotInTimeKept += WithinWeight.at(Hot).InTime_;
  }
  std::cout << " in time: without " << Without.inTimeShare() << ", with "
            << With.inTimeShare() << ", if it kept to its weight "
            << Kept.inTimeShare() << ";";
  section("the others get nearly what they would get if it kept to its weight",
          [&] {
            CPPUNIT_ASSERT(With.inTimeShare() > Kept.inTimeShare() - Margin);
            CPPUNIT_ASSERT(With.inTimeShare() > Without.inTimeShare());
          });
  section("the account itself still gets what it is owed",
          [&] { CPPUNIT_ASSERT(HotInTime >= HotInTimeKept * (1 - Margin)); });
}

// Guards against rejections while the pool has room: alone, the hot account's
// excess brings the pool to 0.6 of its capacity; beside a steady account, twice
// its rate brings it to 0.64.
HEATHERCROSS_STORY(ExcessWithRoom,
                   "what exceeds the rate is accepted while there is room") {
  accounts::Account A;
  A.Id_ = Hot;
  A.Weight_ = static_cast<std::uint32_t>(0.12 * Capacity);
  struct Load {
    double Factor_;
    double SteadyShare_;
  };
  for (const Load &L : {Load{HotFactor, 0}, Load{2, 0.4}}) {
    const ReplayResult R = replayBesideSteady(A, L.Factor_, L.SteadyShare_);
    std::cout << " " << R.InTime_ << " of " << R.Submitted_ << " in time, "
              << R.AcceptedOverShare_ << " accepted and "
              << R.RejectedOverShare_ << " rejected beyond the rate;";
    CPPUNIT_ASSERT(R.AcceptedOverShare_ > R.Submitted_ / 5);
    CPPUNIT_ASSERT(R.InTime_ > (1 - Margin) * R.Submitted_);
  }
}

// Guards against work beyond a rate that delays guaranteed work, in starts and
// in what counts as ahead of a job.
HEATHERCROSS_STORY(ShareInRanking, "guaranteed work goes first") {
  const QueueSettings Q = queueSettings();
  const Job Owed = jobOfTasks("a", 20, RateShare::Guaranteed);
  const Job Beyond = jobOfTasks("b", 2, RateShare::OverShare);
  section("in time, also before smaller work beyond the rate", [&] {
    CPPUNIT_ASSERT(rankOf(Owed, Q, Micros(0), 10) <
                   rankOf(Beyond, Q, Micros(0), 10));
  });
  section("but work beyond the rate that is in time goes before late work",
          [&] {
            CPPUNIT_ASSERT(rankOf(Beyond, Q, Micros(0), 10) <
                           rankOf(Owed, Q, Seconds(3), 10));
          });
  section("also among late work", [&] {
    CPPUNIT_ASSERT(rankOf(Owed, Q, Seconds(3), 10) <
                   rankOf(Beyond, Q, Seconds(3), 10));
  });
  section("also before work of a higher priority beyond the rate", [&] {
    QueueSettings Low = Q;
    Low.Priority_ = 5;
    CPPUNIT_ASSERT(rankOf(Owed, Low, Micros(0), 10) <
                   rankOf(Beyond, Q, Micros(0), 10));
  });
  section("work beyond the rate isn't ahead of a guaranteed job", [&] {
    ModelPool P;
    P.Scheduler_.admit(jobOfTasks("b", 2, RateShare::OverShare));
    const Job New = jobOfTasks("n", 20, RateShare::Guaranteed);
    CPPUNIT_ASSERT_EQUAL(0.0, P.Scheduler_.workAhead(New, Instant(), {}));
    P.Scheduler_.admit(jobOfTasks("a", 2, RateShare::Guaranteed));
    CPPUNIT_ASSERT_EQUAL(2.0, P.Scheduler_.workAhead(New, Instant(), {}));
  });
  section("machines are requested for it while it can be in time", [&] {
    ModelPool P;
    P.addWorker("w", "r1", 1000);
    P.run(Millis(100));
    Job J = jobOfTasks("b", 4, RateShare::OverShare);
    P.Scheduler_.admit(std::move(J));
    const Demand D = P.Scheduler_.demand(Instant(), P.wall());
    CPPUNIT_ASSERT_EQUAL(4.0, D.WaitingInTime_);
    CPPUNIT_ASSERT_EQUAL(0.0, D.WaitingLate_);
  });
}

// Guards against accepted jobs beyond a rate that can't be in time. The job's
// objective is 2.2 s and its critical path 1 s, so it may wait for 1.2 s.
HEATHERCROSS_STORY(
    OverShareAdmission,
    "a job beyond the rate must fit behind the guaranteed work") {
  const QueueSettings Q = queueSettings();
  const Job J = jobOfTasks("j", 2, RateShare::OverShare);
  section("its wait shrinks with the cores that arriving work leaves", [&] {
    CPPUNIT_ASSERT(fitsBehindGuaranteed(J, Q, {100, 120, 0, 0, 2}));
    CPPUNIT_ASSERT(!fitsBehindGuaranteed(J, Q, {100, 121, 0, 0, 2}));
    CPPUNIT_ASSERT(fitsBehindGuaranteed(J, Q, {100, 60, 50, 0, 2}));
    CPPUNIT_ASSERT(!fitsBehindGuaranteed(J, Q, {100, 61, 50, 0, 2}));
  });
  section("it doesn't wait for running work while cores are idle", [&] {
    CPPUNIT_ASSERT(fitsBehindGuaranteed(J, Q, {100, 61, 50, 2, 2}));
    CPPUNIT_ASSERT(!fitsBehindGuaranteed(J, Q, {100, 61, 50, 1, 2}));
  });
  section("a pool whose cores the arriving work needs is full", [&] {
    CPPUNIT_ASSERT(!fitsBehindGuaranteed(J, Q, {100, 0, 100, 100, 2}));
  });
  section("as long as the capacity isn't known the job is accepted", [&] {
    CPPUNIT_ASSERT(fitsBehindGuaranteed(J, Q, {0, 500, 20}));
  });
  section("only guaranteed work counts as arriving", [&] {
    PoolScheduler S;
    for (int I = 0; I < 16; ++I)
      S.recordArrival(J, Instant(Millis(50 * I)));
    const Instant Now(Millis(50 * 16));
    CPPUNIT_ASSERT_EQUAL(0.0, S.loadAhead(J, Now, {}).GuaranteedArriving_);
    CPPUNIT_ASSERT(S.demand(Now, {}).Arriving_ > 20);
    const Job Owed = jobOfTasks("o", 2, RateShare::Guaranteed);
    for (int I = 0; I < 16; ++I)
      S.recordArrival(Owed, Instant(Millis(50 * I)));
    CPPUNIT_ASSERT(S.loadAhead(J, Now, {}).GuaranteedArriving_ > 20);
  });
}

// Guards against retries that come too early, which are rejected again, and
// against ones that come late although the pool has long had room.
HEATHERCROSS_STORY(RetryAfterBacklog,
                   "a job returns when the work ahead has shrunk enough") {
  const QueueSettings Q = queueSettings();
  const Job J = jobOfTasks("j", 2, RateShare::Guaranteed);
  section("120 core-seconds may remain; the pool does 100 a second", [&] {
    CPPUNIT_ASSERT_EQUAL(Millis(2500).count(),
                         retryAfterBacklog(J, Q, {100, 370, 0}).count());
  });
  section("what keeps arriving leaves fewer cores for it", [&] {
    CPPUNIT_ASSERT_EQUAL(Millis(3125).count(),
                         retryAfterBacklog(J, Q, {100, 370, 20}).count());
  });
  section("between 1 and 4 s", [&] {
    CPPUNIT_ASSERT(Seconds(1) == retryAfterBacklog(J, Q, {100, 150, 0}));
    CPPUNIT_ASSERT(Seconds(4) == retryAfterBacklog(J, Q, {100, 2000, 0}));
  });
  section("4 s if arriving work or the job itself makes it unforeseeable", [&] {
    CPPUNIT_ASSERT(Seconds(4) == retryAfterBacklog(J, Q, {100, 370, 100}));
    CPPUNIT_ASSERT(Seconds(4) == retryAfterBacklog(J, Q, {0, 370, 0}));
    QueueSettings Hopeless = Q;
    Hopeless.ObjectiveFactor_ = 0.5;
    Hopeless.ObjectiveSlack_ = Millis(0);
    CPPUNIT_ASSERT(Seconds(4) == retryAfterBacklog(J, Hopeless, {100, 200, 0}));
  });
}
