// Tests of jobs: submission, and a duty that survives failures.
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

constexpr Micros Tick = Millis(500);
const PoolId P("p");
const TeamId T("t");

JobId jobName(int I) { return JobId("job-" + std::to_string(I)); }

View viewWithPool() {
  View V;
  V.Pools_[P] = Pool{P, 4};
  V.Quotas_[T] = Quota{T, 1, 500};
  return V;
}

/// A worker with real task semantics: epochs, attempts, leases.
struct Worker {
  struct Task {
    Epoch Epoch_;
    Instant Until_;
    Instant Ends_;
    TaskAnswer State_ = TaskAnswer::Running;
  };
  std::map<JobId, Task> Tasks_;
  std::set<AttemptId> Started_;
  bool FailsAll_ = false;
  bool Dead_ = false;

  void advance(Instant Now) {
    std::erase_if(Tasks_, [&](const auto &E) {
      return E.second.State_ == TaskAnswer::Running && E.second.Until_ <= Now &&
             E.second.Ends_ > E.second.Until_;
    });
    for (auto &[Id, E] : Tasks_)
      if (E.State_ == TaskAnswer::Running && E.Ends_ <= Now)
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
    I->second.Until_ = Now + R.Lease_;
    return I->second.State_;
  }
};

/// A table, workers, and entries that hold the duty one after the other.
class World {
public:
  explicit World(int Workers, int Jobs) : Workers_(Workers) {
    for (int I = 0; I < Jobs; ++I)
      Table_.commit(*submitted(jobName(I)).Write_);
    changeHolder();
  }

  JobStep submitted(const JobId &Id, JobSize Size = {Millis(2000), 1, 1}) {
    const View V = viewWithPool();
    return submitJob({Id, P, Size}, T, Table_.read(rowKey(Id)),
                     {V, {{Millis(0), 8, 64}}, 0}, AttemptId("s"));
  }

  /// Another entry takes the duty over; the old one may go on for a while.
  void changeHolder() {
    ++Holder_;
    if (Duty_)
      Paused_.emplace_back(std::move(*Duty_), Guard_);
    Transaction Take;
    Take.Put_ = {{"lease/job-p", std::to_string(Holder_)}};
    Guard_ = {"lease/job-p", Table_.commit(Take).Version_};
    Duty_.emplace(P, "holder-" + std::to_string(Holder_));
    Cursor_ = RowVersion();
  }

  /// Dice decides which answers get lost; zero loses none.
  void step(int Dice = 0) {
    Now_ += Tick;
    Dice_ = Dice;
    for (Worker &W : Workers_)
      W.advance(Now_);
    const auto Rows = Table_.scan(JobPrefix, Cursor_);
    if (!Rows.empty())
      Cursor_ = Rows.back().Version_;
    follow(*Duty_, Duty_->onRows(Now_, Rows));
    follow(*Duty_, Duty_->tick(Now_, Guard_, seen(), viewWithPool().Quotas_));
    if (Dice % 5 == 1 && !Paused_.empty()) {
      auto &[Old, Guard] = Paused_.back();
      follow(Old, Old.tick(Now_, Guard, seen(), viewWithPool().Quotas_));
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
  std::vector<JobWorker> seen() const {
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
  bool lost() { return Dice_ > 0 && (Dice_ = Dice_ * 7919 % 10'007) % 4 == 0; }

  template <class Call>
  void ask(JobDuty &D, const Call &C,
           TaskAnswer (Worker::*Ask)(Instant, const Call &)) {
    Worker &W = Workers_[std::stoul(C.Worker_.str().substr(1))];
    TaskReply Reply{C.Job_, C.Worker_, C.Epoch_, TaskAnswer::NoAnswer, "r", ""};
    if (!W.Dead_ && !lost())
      Reply.Answer_ = (W.*Ask)(Now_, C);
    if (lost())
      Reply.Answer_ = TaskAnswer::NoAnswer;
    follow(D, D.onReply(Now_, Reply));
    if (Dice_ % 3 == 1)
      follow(D, D.onReply(Now_, Reply));
  }

  void follow(JobDuty &D, const JobEffects &Effects) {
    for (const JobEffect &E : Effects)
      std::visit([&](const auto &Known) { perform(D, Known); }, E);
  }
  void perform(JobDuty &D, const WriteJobs &E) {
    ++Writes_;
    CommitResult Result;
    if (!lost())
      Result = Table_.commit(E.Write_);
    if (lost())
      Result = CommitResult();
    follow(D, D.onWritten(Now_, E.Write_.Attempt_, Result));
  }
  void perform(JobDuty &D, const ReadJobs &E) {
    std::vector<Row> Rows;
    for (const JobId &Id : E.Jobs_)
      Rows.push_back(*Table_.read(rowKey(Id)));
    if (!lost())
      follow(D, D.onRows(Now_, Rows));
  }
  void perform(JobDuty &D, const StartTask &E) { ask(D, E, &Worker::start); }
  void perform(JobDuty &D, const RenewTask &E) { ask(D, E, &Worker::renew); }
  void perform(JobDuty &, const StopTask &E) {
    Workers_[std::stoul(E.Worker_.str().substr(1))].Tasks_.erase(E.Job_);
  }
  void perform(JobDuty &, const CheckpointTask &) {}
  void perform(JobDuty &, const SuspectWorker &E) {
    Suspects_.insert(E.Worker_);
  }

  /// What must hold between any two versions of a row.
  void checkRows() {
    for (const Row &R : Table_.scan(JobPrefix)) {
      const JobRow New = decodeJobRow(R.Value_);
      const auto [I, First] = Before_.emplace(New.Job_, New);
      const JobRow Old = std::exchange(I->second, New);
      RC_ASSERT(New.Epoch_ >= Old.Epoch_);
      RC_ASSERT(First || !isFinal(Old.State_) || New == Old);
      RC_ASSERT(New.Bills_ == (New.State_ == JobState::Done ? 1U : 0U));
    }
  }

  Instant Now_;
  int Dice_ = 0;
  int Holder_ = 0;
  Expectation Guard_;
  std::optional<JobDuty> Duty_;
  std::deque<std::pair<JobDuty, Expectation>> Paused_;
  RowVersion Cursor_;
  std::map<JobId, JobRow> Before_;
};

} // namespace

HEATHERCROSS_STORY(JobRequestsStory,
                   "a team submits, cancels, reads its jobs") {
  World W(1, 250);
  section("the same again is answered as before, another text isn't", [&] {
    CPPUNIT_ASSERT(!W.submitted(jobName(0)).Write_);
    CPPUNIT_ASSERT_THROW(W.submitted(jobName(0), {Millis(1), 1, 1}),
                         JobIdTaken);
  });
  section("what fits no instance is refused at once", [&] {
    CPPUNIT_ASSERT_THROW(W.submitted(JobId("big"), {Millis(1), 9, 1}),
                         JobNeverFits);
  });
  section("a team has its limit, and only pools that exist", [&] {
    const View V = viewWithPool();
    const JobContext Full{V, {}, 500};
    CPPUNIT_ASSERT_THROW(
        submitJob({JobId("x"), P, {}}, T, {}, Full, AttemptId()), TooManyJobs);
    CPPUNIT_ASSERT_THROW(
        submitJob({JobId("x"), PoolId("q"), {}}, T, {}, Full, AttemptId()),
        NoSuchPool);
  });
  section("250 cancellations are three writes, and reach own jobs only", [&] {
    const auto Rows = W.Table_.scan(JobPrefix);
    CPPUNIT_ASSERT(
        cancelJobs(TeamId("u"), Rows, AttemptId("c")).States_.empty());
    const auto C = cancelJobs(T, Rows, AttemptId("c"));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, C.Writes_.size());
    for (const Transaction &Write : C.Writes_)
      CPPUNIT_ASSERT(W.Table_.commit(Write).Status_ == CommitStatus::Committed);
    CPPUNIT_ASSERT_EQUAL(250, W.count(JobState::Cancelled));
  });
  section("a result goes to its team when it is there", [&] {
    const auto Row = W.Table_.read(rowKey(jobName(0)));
    CPPUNIT_ASSERT_THROW(resultFor(T, jobName(0), Row), JobNotDone);
    CPPUNIT_ASSERT_THROW(resultFor(TeamId("u"), jobName(0), Row), NoSuchJob);
    CPPUNIT_ASSERT_THROW(resultFor(T, jobName(0), std::nullopt), NoSuchJob);
  });
}

HEATHERCROSS_STORY(JobDutyStory, "the duty brings jobs to their end") {
  World W(4, 40);
  section("all are done, in far fewer writes than jobs", [&] {
    for (int I = 0; I < 40; ++I)
      W.step();
    CPPUNIT_ASSERT_EQUAL(40, W.count(JobState::Done));
    CPPUNIT_ASSERT(W.Writes_ <= 20);
  });
  section("a job of a lost worker goes on elsewhere under the next epoch", [&] {
    World L(2, 1);
    L.step();
    const JobRow First = L.row(0);
    L.Workers_[First.Worker_.str() == "w0" ? 0 : 1].Dead_ = true;
    for (int I = 0; I < 60; ++I)
      L.step();
    CPPUNIT_ASSERT(L.row(0).State_ == JobState::Done);
    CPPUNIT_ASSERT(L.row(0).Worker_ != First.Worker_);
    CPPUNIT_ASSERT(L.row(0).Epoch_ == First.Epoch_.next());
  });
  section("a worker that fails everything is suspect, others aren't", [&] {
    World B(10, 60);
    B.Workers_[3].FailsAll_ = true;
    for (int I = 0; I < 60; ++I)
      B.step();
    CPPUNIT_ASSERT(B.Suspects_ == std::set{InstanceId("w3")});
    CPPUNIT_ASSERT_EQUAL(60, B.count(JobState::Done));
  });
  section("a job that fails everywhere is set aside after three", [&] {
    World F(5, 2);
    for (Worker &Bad : F.Workers_)
      Bad.FailsAll_ = true;
    for (int I = 0; I < 60; ++I)
      F.step();
    CPPUNIT_ASSERT_EQUAL(2, F.count(JobState::SetAside));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, F.row(0).FailedOn_.size());
    CPPUNIT_ASSERT(F.Suspects_.empty());
  });
}

HEATHERCROSS_STORY(JobDutyFaults, "no job is dropped or billed twice") {
  const auto Property = [] {
    World W(4, 12);
    const auto Dice = *rc::gen::container<std::vector<int>>(
        120, rc::gen::inRange(1, 100'000));
    for (const int D : Dice) {
      Worker &Some = W.Workers_[static_cast<std::size_t>(D / 40) % 4];
      if (D % 40 == 0)
        W.changeHolder();
      if (D % 40 == 1)
        Some.Dead_ = !Some.Dead_;
      if (D % 40 == 2)
        Some = Worker();
      W.step(D);
    }
    for (Worker &Any : W.Workers_)
      Any.Dead_ = false;
    for (int I = 0; I < 120; ++I)
      W.step();
    RC_ASSERT(W.count(JobState::Done) == 12);
  };
  HEATHERCROSS_PROPERTY("every job ends, once", Property);
}
