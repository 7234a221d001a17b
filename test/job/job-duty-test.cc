// Tests of job requests and of the job duty, including a property test with
// random faults.
#include "core/duty-lease.h"
#include "job/job-duty.h"
#include "support/story.h"
#include "view/model-table.h"

#include <rapidcheck.h>

#include <deque>

using namespace heathercross;
using namespace heathercross::job;
using heathercross::test::ModelTable;
using heathercross::test::section;

namespace {

constexpr Micros TickInterval = Millis(500);
const PoolId TestPool("p");
const TeamId TestTeam("t");

JobId jobName(int I) { return JobId("job-" + std::to_string(I)); }

View viewWithPool() {
  View V;
  V.Pools_[TestPool] = Pool{TestPool, 4};
  V.Quotas_[TestTeam] = Quota{TestTeam, 1, 500};
  return V;
}

/// A model of a worker that implements epochs, attempts and leases.
struct Worker {
  struct Task {
    Epoch Epoch_;
    Instant LeaseEnd_;
    Instant EndsAt_;
    TaskAnswer State_ = TaskAnswer::Running;
  };
  std::map<JobId, Task> Tasks_;
  std::set<AttemptId> Started_;
  bool FailsAll_ = false;
  bool Unreachable_ = false;

  void advance(Instant Now) {
    std::erase_if(Tasks_, [&](const auto &E) {
      return E.second.State_ == TaskAnswer::Running &&
             E.second.LeaseEnd_ <= Now && E.second.EndsAt_ > E.second.LeaseEnd_;
    });
    for (auto &[Id, E] : Tasks_)
      if (E.State_ == TaskAnswer::Running && E.EndsAt_ <= Now)
        E.State_ = FailsAll_ ? TaskAnswer::Failed : TaskAnswer::Done;
  }
  int busy() const {
    return static_cast<int>(std::ranges::count_if(Tasks_, [](const auto &E) {
      return E.second.State_ == TaskAnswer::Running;
    }));
  }
  TaskAnswer start(Instant Now, const StartTask &S) {
    const auto I = Tasks_.find(S.Job_);
    if (I != Tasks_.end() && I->second.Epoch_ > S.Epoch_)
      return TaskAnswer::StaleEpoch;
    if (!Started_.insert(S.Attempt_).second)
      return TaskAnswer::Duplicate;
    if (busy() >= 4)
      return TaskAnswer::Refused;
    Tasks_[S.Job_] = {S.Epoch_, Now + S.Lease_, Now + S.Work_};
    return TaskAnswer::Running;
  }
  TaskAnswer renew(Instant Now, const RenewTask &R) {
    const auto I = Tasks_.find(R.Job_);
    if (I == Tasks_.end())
      return TaskAnswer::NotFound;
    if (I->second.Epoch_ > R.Epoch_)
      return TaskAnswer::StaleEpoch;
    if (I->second.Epoch_ < R.Epoch_)
      return TaskAnswer::NotFound;
    I->second.LeaseEnd_ = Now + R.Lease_;
    return I->second.State_;
  }
};

/// A simulation of the table, the workers and the successive holders of the
/// duty.
class JobSimulation {
public:
  explicit JobSimulation(int Workers, int Jobs) : Workers_(Workers) {
    for (int I = 0; I < Jobs; ++I)
      Table_.commit(*submit(jobName(I)).Write_);
    replaceHolder();
  }

  SubmitResult submit(const JobId &Id, JobSize Size = {Millis(2000), 1, 1}) {
    const View V = viewWithPool();
    return submitJob({Id, TestPool, Size}, TestTeam, Table_.read(rowKey(Id)),
                     {V, {{Millis(0), 8, 64}}, 0}, AttemptId("s"));
  }

  /// Lets another entry acquire the duty. The former holder may continue for a
  /// while, as an entry does that hasn't noticed its lost lease.
  void replaceHolder() {
    ++HolderNumber_;
    if (Duty_)
      FormerHolders_.emplace_back(std::move(*Duty_), Guard_);
    Transaction AcquireLease;
    AcquireLease.Put_ = {{"lease/job-p", std::to_string(HolderNumber_)}};
    Guard_ = {"lease/job-p", Table_.commit(AcquireLease).Version_};
    Duty_.emplace(TestPool, "holder-" + std::to_string(HolderNumber_));
    Cursor_ = RowVersion();
  }

  /// FaultSeed determines which calls and responses are lost; zero losesNext
  /// none.
  void step(int FaultSeed = 0) {
    Now_ += TickInterval;
    FaultSeed_ = FaultSeed;
    for (Worker &W : Workers_)
      W.advance(Now_);
    const auto Rows = Table_.scan(JobPrefix, Cursor_);
    if (!Rows.empty())
      Cursor_ = Rows.back().Version_;
    runEffects(*Duty_, Duty_->onRows(Now_, Rows));
    runEffects(*Duty_, Duty_->tick(Now_, Guard_, workerStates(),
                                   viewWithPool().Quotas_));
    if (FaultSeed % 5 == 1 && !FormerHolders_.empty()) {
      auto &[Old, Guard] = FormerHolders_.back();
      runEffects(Old,
                 Old.tick(Now_, Guard, workerStates(), viewWithPool().Quotas_));
    }
    checkRows();
  }

  JobRow row(int I) const {
    return decodeJobRow(Table_.read(rowKey(jobName(I)))->Value_);
  }
  int count(JobState S) const {
    int Count = 0;
    for (const Row &R : Table_.scan(JobPrefix))
      Count += decodeJobRow(R.Value_).State_ == S ? 1 : 0;
    return Count;
  }

  ModelTable Table_;
  std::vector<Worker> Workers_;
  std::set<InstanceId> Suspects_;
  int Writes_ = 0;

private:
  static InstanceId worker(std::size_t I) {
    return InstanceId("w" + std::to_string(I));
  }
  std::vector<JobWorker> workerStates() const {
    std::vector<JobWorker> Result;
    for (std::size_t I = 0; I < Workers_.size(); ++I) {
      const auto Free =
          static_cast<std::uint32_t>(4 - std::min(4, Workers_[I].busy()));
      Result.push_back({worker(I),
                        {Millis(0), 8, 64},
                        Slots{Free},
                        true,
                        Suspects_.contains(worker(I))});
    }
    return Result;
  }
  /// Advances the pseudo-random sequence and returns whether the next call,
  /// write or response is lost.
  bool losesNext() {
    return FaultSeed_ > 0 && (FaultSeed_ = FaultSeed_ * 7919 % 10'007) % 4 == 0;
  }

  template <class Call>
  void callWorker(JobDuty &D, const Call &C,
                  TaskAnswer (Worker::*Handler)(Instant, const Call &)) {
    Worker &W = Workers_[std::stoul(C.Worker_.str().substr(1))];
    TaskReply Reply{C.Job_, C.Worker_, C.Epoch_, TaskAnswer::NoAnswer, "r", ""};
    if (!W.Unreachable_ && !losesNext())
      Reply.Answer_ = (W.*Handler)(Now_, C);
    if (losesNext())
      Reply.Answer_ = TaskAnswer::NoAnswer;
    runEffects(D, D.onReply(Now_, Reply));
    if (FaultSeed_ % 3 == 1)
      runEffects(D, D.onReply(Now_, Reply));
  }

  void runEffects(JobDuty &D, const JobEffects &Effects) {
    for (const JobEffect &E : Effects)
      std::visit([&](const auto &Known) { perform(D, Known); }, E);
  }
  void perform(JobDuty &D, const WriteJobs &E) {
    ++Writes_;
    CommitResult Result;
    if (!losesNext())
      Result = Table_.commit(E.Write_);
    if (losesNext())
      Result = CommitResult();
    runEffects(D, D.onWritten(Now_, E.Write_.Attempt_, Result));
  }
  void perform(JobDuty &D, const ReadJobs &E) {
    std::vector<Row> Rows;
    for (const JobId &Id : E.Jobs_)
      Rows.push_back(*Table_.read(rowKey(Id)));
    if (!losesNext())
      runEffects(D, D.onRows(Now_, Rows));
  }
  void perform(JobDuty &D, const StartTask &E) {
    callWorker(D, E, &Worker::start);
  }
  void perform(JobDuty &D, const RenewTask &E) {
    callWorker(D, E, &Worker::renew);
  }
  void perform(JobDuty &, const StopTask &E) {
    Workers_[std::stoul(E.Worker_.str().substr(1))].Tasks_.erase(E.Job_);
  }
  void perform(JobDuty &, const CheckpointTask &) {}
  void perform(JobDuty &, const SuspectWorker &E) {
    Suspects_.insert(E.Worker_);
  }

  /// Checks the invariants between successive versions of a row.
  void checkRows() {
    for (const Row &R : Table_.scan(JobPrefix)) {
      const JobRow New = decodeJobRow(R.Value_);
      const auto [I, IsNew] = PreviousRows_.emplace(New.Job_, New);
      const JobRow Old = std::exchange(I->second, New);
      RC_ASSERT(New.Epoch_ >= Old.Epoch_);
      RC_ASSERT(IsNew || !isFinal(Old.State_) || New == Old);
      RC_ASSERT(New.Bills_ == (New.State_ == JobState::Done ? 1U : 0U));
    }
  }

  Instant Now_;
  int FaultSeed_ = 0;
  int HolderNumber_ = 0;
  Expectation Guard_;
  std::optional<JobDuty> Duty_;
  std::deque<std::pair<JobDuty, Expectation>> FormerHolders_;
  RowVersion Cursor_;
  std::map<JobId, JobRow> PreviousRows_;
};

} // namespace

HEATHERCROSS_STORY(JobRequests, "a team submits, cancels and reads its jobs") {
  JobSimulation Sim(1, 250);
  section("a repeated submission is answered as before, a different text isn't",
          [&] {
            CPPUNIT_ASSERT(!Sim.submit(jobName(0)).Write_);
            CPPUNIT_ASSERT_THROW(Sim.submit(jobName(0), {Millis(1), 1, 1}),
                                 JobIdTaken);
          });
  section("a submission that fits no instance is refused at once", [&] {
    CPPUNIT_ASSERT_THROW(Sim.submit(JobId("big"), {Millis(1), 9, 1}),
                         JobNeverFits);
  });
  section("the team's limit applies, and only pools that exist are usable",
          [&] {
            const View V = viewWithPool();
            const SubmitContext Full{V, {}, 500};
            CPPUNIT_ASSERT_THROW(submitJob({JobId("x"), TestPool, {}}, TestTeam,
                                           {}, Full, AttemptId()),
                                 TooManyJobs);
            CPPUNIT_ASSERT_THROW(submitJob({JobId("x"), PoolId("q"), {}},
                                           TestTeam, {}, Full, AttemptId()),
                                 NoSuchPool);
          });
  section("250 cancellations take three writes and affect only own jobs", [&] {
    const auto Rows = Sim.Table_.scan(JobPrefix);
    CPPUNIT_ASSERT(
        cancelJobs(TeamId("u"), Rows, AttemptId("c")).States_.empty());
    const auto C = cancelJobs(TestTeam, Rows, AttemptId("c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, C.Writes_.size());
    for (const Transaction &Write : C.Writes_)
      CPPUNIT_ASSERT(Sim.Table_.commit(Write).Status_ ==
                     CommitStatus::Committed);
    CPPUNIT_ASSERT_EQUAL(250, Sim.count(JobState::Cancelled));
  });
  section("a result's text goes only to its team", [&] {
    const auto Row = Sim.Table_.read(rowKey(jobName(0)));
    CPPUNIT_ASSERT_THROW(resultFor(TestTeam, jobName(0), Row), JobNotDone);
    CPPUNIT_ASSERT_THROW(resultFor(TeamId("u"), jobName(0), Row), NoSuchJob);
    CPPUNIT_ASSERT_THROW(resultFor(TestTeam, jobName(0), std::nullopt),
                         NoSuchJob);
  });
}

HEATHERCROSS_STORY(JobCompletion, "the duty brings jobs to their end") {
  JobSimulation Sim(4, 40);
  section("all are done, with half as many writes as jobs or fewer", [&] {
    for (int I = 0; I < 40; ++I)
      Sim.step();
    CPPUNIT_ASSERT_EQUAL(40, Sim.count(JobState::Done));
    CPPUNIT_ASSERT(Sim.Writes_ <= 20);
  });
  section("a lost worker's job goes on elsewhere under the next epoch", [&] {
    JobSimulation TwoWorkers(2, 1);
    TwoWorkers.step();
    const JobRow First = TwoWorkers.row(0);
    TwoWorkers.Workers_[First.Worker_.str() == "w0" ? 0 : 1].Unreachable_ =
        true;
    for (int I = 0; I < 60; ++I)
      TwoWorkers.step();
    CPPUNIT_ASSERT(TwoWorkers.row(0).State_ == JobState::Done);
    CPPUNIT_ASSERT(TwoWorkers.row(0).Worker_ != First.Worker_);
    CPPUNIT_ASSERT(TwoWorkers.row(0).Epoch_ == First.Epoch_.next());
  });
  section("a worker that fails everything is suspect, others aren't", [&] {
    JobSimulation TenWorkers(10, 60);
    TenWorkers.Workers_[3].FailsAll_ = true;
    for (int I = 0; I < 60; ++I)
      TenWorkers.step();
    CPPUNIT_ASSERT(TenWorkers.Suspects_ == std::set{InstanceId("w3")});
    CPPUNIT_ASSERT_EQUAL(60, TenWorkers.count(JobState::Done));
  });
  section("a job that fails everywhere is set aside after its third failure",
          [&] {
            JobSimulation FiveWorkers(5, 2);
            for (Worker &Bad : FiveWorkers.Workers_)
              Bad.FailsAll_ = true;
            for (int I = 0; I < 60; ++I)
              FiveWorkers.step();
            CPPUNIT_ASSERT_EQUAL(2, FiveWorkers.count(JobState::SetAside));
            CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                                 FiveWorkers.row(0).FailedOn_.size());
            CPPUNIT_ASSERT(FiveWorkers.Suspects_.empty());
          });
}

HEATHERCROSS_STORY(JobDutyFaults, "no job is lost or billed twice") {
  const auto Property = [] {
    JobSimulation Sim(4, 12);
    const auto FaultSeeds = *rc::gen::container<std::vector<int>>(
        120, rc::gen::inRange(1, 100'000));
    for (const int Seed : FaultSeeds) {
      Worker &Target = Sim.Workers_[static_cast<std::size_t>(Seed / 40) % 4];
      if (Seed % 40 == 0)
        Sim.replaceHolder();
      if (Seed % 40 == 1)
        Target.Unreachable_ = !Target.Unreachable_;
      if (Seed % 40 == 2)
        Target = Worker();
      Sim.step(Seed);
    }
    for (Worker &AnyWorker : Sim.Workers_)
      AnyWorker.Unreachable_ = false;
    for (int I = 0; I < 120; ++I)
      Sim.step();
    RC_ASSERT(Sim.count(JobState::Done) == 12);
  };
  HEATHERCROSS_PROPERTY("every job ends and is billed once", Property);
}
