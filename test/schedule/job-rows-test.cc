// Tests of what a later holder makes of the rows of jobs, wherever the batches
// of an earlier one end.
#include "schedule/job-rows.h"
#include "schedule/long-value.h"
#include "schedule/model-partition.h"
#include "support/story.h"

#include <rapidcheck.h>

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>

using namespace heathercross;
using namespace heathercross::schedule;
using heathercross::schedule::test::ModelPartition;
using heathercross::test::section;

namespace {

constexpr Millis Kept{10'000};
/// How far the store's clock is ahead of the holders'.
constexpr Millis ClockOffset{5000};
const HolderRow Self{EntryId("e1"), "10.0.0.1:7060", Epoch(3), 0};

/// What is stored of a job.
struct JobState {
  std::string Row_;
  std::optional<std::string> Progress_ = std::nullopt;
  std::optional<Instant> EndedAt_ = std::nullopt;
  bool operator==(const JobState &) const = default;
};

/// A holder of the pool that stores jobs, until the next one takes over.
struct Holder {
  explicit Holder(HeldDuty Duty) : Journal_(std::move(Duty)) {}

  void readClock(Instant Now) {
    Clock_.answered(toMillis(Now.time_since_epoch()) + ClockOffset, Now, Now);
  }

  PoolJournal Journal_;
  StoreClock Clock_;
  JobRows Rows_{Journal_, Clock_};
};

/// A pool whose holders store jobs. Compares what each holder finds with the
/// states that the jobs were in since the last one that was known to be stored.
class StoredJobsModel {
public:
  StoredJobsModel() { takeOver(); }

  ModelPartition &partition() { return Partition_; }
  Holder &holder() { return *Holder_; }
  Instant now() const { return Now_; }
  void pass(Millis Time) { Now_ += Time; }

  void add(const JobId &Id, std::size_t Length) {
    if (current(Id))
      return;
    JobState S{std::string(Length, 'r')};
    Holder_->Rows_.add(Id, S.Row_, Now_);
    enter(Id, std::move(S));
  }

  void progress(const JobId &Id, std::size_t Length, bool HasEnded) {
    std::optional<JobState> S = current(Id);
    if (!S || S->EndedAt_)
      return;
    S->Progress_ = std::string(Length, HasEnded ? 'c' : 'a');
    if (HasEnded)
      S->EndedAt_ = Now_;
    Holder_->Rows_.putProgress(Id, *S->Progress_, HasEnded, Now_);
    enter(Id, std::move(S));
  }

  void purge() {
    for (const JobId &Id : Holder_->Rows_.purge(Now_, Kept)) {
      const std::optional<JobState> S = current(Id);
      RC_ASSERT(S.has_value());
      RC_ASSERT(S->EndedAt_ && Now_ - *S->EndedAt_ >= Kept);
      enter(Id, std::nullopt);
    }
  }

  /// Sends the next batch. It may be lost, or its answer.
  void commit(bool IsApplied = true, bool IsAnswered = true) {
    Now_ += Millis(100);
    PoolJournal &J = Holder_->Journal_;
    const auto B = J.next(Now_);
    if (!B)
      return;
    if (!IsApplied)
      return J.refused(Now_);
    const bool Applied = Partition_.apply(*B);
    checkRestored();
    if (!IsAnswered)
      return J.outcomeUnknown(Now_);
    if (Applied)
      J.committed(Partition_.Version_, Now_);
    else
      J.conflict(Partition_.Holder_, Partition_.Version_, Now_);
    for (auto &[Id, States] : Histories_)
      while (States.size() > 1 && States[1].Ticket_ <= J.durable())
        States.pop_front();
  }

  /// Commits until nothing waits.
  void commitAll() {
    while (Holder_->Journal_.waiting() > 0 ||
           Holder_->Journal_.hasUnsettledBatch()) {
      Now_ += Millis(500);
      commit();
    }
  }

  /// The holder ends, and another one restores what is stored.
  void takeOver() {
    Holder_ = std::make_unique<Holder>(Partition_.claim(Now_));
    const StoredJobs Stored = restore(*Holder_, Partition_);
    for (auto &[Id, States] : Histories_) {
      const auto Found = find(Stored, Id, States);
      RC_ASSERT(Found != States.end());
      if (Found->Job_ && Found->Job_->EndedAt_)
        Holder_->Rows_.restoreEnd(Id, Stored.Jobs_.at(Id).EndedAt_);
      States = {{0, Found->Job_}};
    }
  }

  /// The number of jobs that are stored or about to be.
  std::size_t jobCount() const {
    return static_cast<std::size_t>(
        std::ranges::count_if(Histories_, [](const auto &Entry) {
          return Entry.second.back().Job_.has_value();
        }));
  }

private:
  /// A state that a job entered by a change of the journal; without a job, its
  /// id is unknown.
  struct Entered {
    PoolJournal::Ticket Ticket_ = 0;
    std::optional<JobState> Job_;
  };
  using History = std::deque<Entered>;

  StoredJobs restore(Holder &H, ModelPartition &From) const {
    H.readClock(Now_);
    StoredJobs Stored = H.Rows_.restore(From.Rows_[RowKind::Job],
                                        From.Rows_[RowKind::Progress], Now_);
    RC_ASSERT(Stored.Incomplete_.empty());
    return Stored;
  }

  /// Checks what a holder would find that took over now.
  void checkRestored() {
    ModelPartition Copy = Partition_;
    Holder Next(Copy.claim(Now_));
    const StoredJobs Stored = restore(Next, Copy);
    for (auto &[Id, States] : Histories_)
      RC_ASSERT(find(Stored, Id, States) != States.end());
  }

  std::optional<JobState> current(const JobId &Id) const {
    const auto It = Histories_.find(Id);
    return It == Histories_.end() ? std::nullopt : It->second.back().Job_;
  }

  void enter(const JobId &Id, std::optional<JobState> S) {
    History &H =
        Histories_.try_emplace(Id, History{{0, std::nullopt}}).first->second;
    H.push_back({Holder_->Journal_.last(), std::move(S)});
  }

  /// The state that a holder found.
  static History::iterator find(const StoredJobs &Stored, const JobId &Id,
                                History &States) {
    const auto It = Stored.Jobs_.find(Id);
    return std::ranges::find_if(States, [&](const Entered &E) {
      if (!E.Job_ || It == Stored.Jobs_.end())
        return !E.Job_ && It == Stored.Jobs_.end();
      const StoredJob &J = It->second;
      if (J.Row_ != E.Job_->Row_ || J.Progress_ != E.Job_->Progress_)
        return false;
      // Stored in whole milliseconds.
      const Instant EndedAt = E.Job_->EndedAt_.value_or(J.EndedAt_);
      return J.EndedAt_ >= EndedAt && J.EndedAt_ - EndedAt <= Millis(1);
    });
  }

  ModelPartition Partition_{Self};
  Instant Now_{Seconds(100)};
  std::unique_ptr<Holder> Holder_;
  std::map<JobId, History> Histories_;
};

JobId jobId(int Number) { return JobId("j" + std::to_string(Number)); }

/// Restores a copy of a partition.
StoredJobs restored(ModelPartition Partition, Instant Now) {
  Holder Next(Partition.claim(Now));
  return Next.Rows_.restore(Partition.Rows_[RowKind::Job],
                            Partition.Rows_[RowKind::Progress], Now);
}

} // namespace

// Guards against TWICE: a holder that was killed between two batches while it
// deleted ended jobs left jobs without their progress, which began anew.
HEATHERCROSS_STORY(HalfDeletedJobs,
                   "no job that has ended begins anew, wherever its holder "
                   "ends while it deletes it") {
  constexpr int Jobs = 200;
  StoredJobsModel M;
  for (int I = 0; I < Jobs; ++I) {
    M.add(jobId(I), 10);
    M.progress(jobId(I), 5, true);
  }
  M.commitAll();
  M.pass(Kept);
  // An odd number of rows goes before.
  M.holder().Journal_.put({RowKind::Roster, "roster", "{}"}, false, M.now());
  M.purge();
  int Batches = 0;
  for (; M.partition().rowCount(RowKind::Job) > 0; ++Batches) {
    M.commit();
    for (const auto &[Id, J] : restored(M.partition(), M.now()).Jobs_)
      CPPUNIT_ASSERT(J.Progress_.has_value());
  }
  CPPUNIT_ASSERT(Batches > 2);
}

// Guards against LOST: a job under an id that was used before would get the
// progress of the one that was deleted.
HEATHERCROSS_STORY(LeftoverProgress,
                   "progress without a job is deleted before a new job comes") {
  StoredJobsModel M;
  M.partition().Rows_[RowKind::Progress]["j1"] = "c";
  M.takeOver();
  M.add(jobId(1), 10);
  M.commitAll();
  const StoredJobs Stored = restored(M.partition(), M.now());
  CPPUNIT_ASSERT(!Stored.Jobs_.at(jobId(1)).Progress_);
}

// Guards against TWICE: a job whose progress couldn't be put together began
// anew.
HEATHERCROSS_STORY(IncompleteProgress,
                   "a job whose progress lacks a row isn't taken for new") {
  StoredJobsModel M;
  M.add(jobId(1), 10);
  M.progress(jobId(1), 2 * MaxRowBytes, true);
  M.add(jobId(2), 10);
  M.commitAll();
  M.partition().Rows_[RowKind::Progress].erase("j1/1");
  const StoredJobs Stored = restored(M.partition(), M.now());
  CPPUNIT_ASSERT(Stored.Incomplete_ == std::set<JobId>{jobId(1)});
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Stored.Jobs_.size());
}

// Guards against rows that pile up: each holder kept the ended jobs that it
// loaded for the whole time again.
HEATHERCROSS_STORY(KeptOverTakeovers,
                   "the time for which an ended job is kept goes on after a "
                   "takeover") {
  StoredJobsModel M;
  M.add(jobId(1), 10);
  M.progress(jobId(1), 5, true);
  M.commitAll();
  const Instant Ended = M.now();
  for (int I = 0; I < 3; ++I) {
    M.pass(Kept / 3);
    M.takeOver();
    M.purge();
  }
  M.commitAll();
  CPPUNIT_ASSERT(M.now() - Ended < Kept + Seconds(2));
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, M.partition().rowCount(RowKind::Job));
  section("a row of an earlier version, without a time, is kept from the "
          "takeover on",
          [&] {
            M.partition().Rows_[RowKind::Job]["j2"] = "r";
            M.partition().Rows_[RowKind::Progress]["j2"] = "c";
            const StoredJobs Stored = restored(M.partition(), M.now());
            CPPUNIT_ASSERT(Stored.Jobs_.at(jobId(2)).EndedAt_ == M.now());
          });
}

// Guards against an answer that takes an end back: a change after the end made
// the job look active until it was stored.
HEATHERCROSS_STORY(StoredEnd, "an end that is stored stays stored") {
  StoredJobsModel M;
  JobRows &Rows = M.holder().Rows_;
  M.add(jobId(1), 10);
  M.progress(jobId(1), 5, true);
  CPPUNIT_ASSERT(!Rows.isEndStored(jobId(1)));
  CPPUNIT_ASSERT(Rows.endTicket(jobId(1)) > 0);
  M.commitAll();
  CPPUNIT_ASSERT(Rows.isEndStored(jobId(1)));
  Rows.putProgress(jobId(1), "cc", true, M.now());
  CPPUNIT_ASSERT(Rows.isEndStored(jobId(1)));
}

namespace {

/// Whether the rows of a table are those of its values and no others.
bool hasOnlyValues(const ModelPartition &P, RowKind Kind) {
  std::size_t Rows = 0;
  for (const auto &[Key, Stored] : P.values(Kind).Values_)
    Rows += Stored.Parts_;
  return P.rowCount(Kind) == Rows;
}

void runHistory() {
  enum Step { Add, Begin, End, Purge, Commit, Lose, Refuse, Fail };
  constexpr int Ids = 150;
  constexpr int GroupSize = 75;
  const auto Steps = *rc::gen::container<std::vector<int>>(
      60, rc::gen::weightedElement<int>({{2, Add},
                                         {1, Begin},
                                         {3, End},
                                         {4, Purge},
                                         {10, Commit},
                                         {1, Lose},
                                         {1, Refuse},
                                         {3, Fail}}));
  StoredJobsModel M;
  for (const int S : Steps) {
    const int First = *rc::gen::inRange(0, Ids);
    const auto Length =
        *rc::gen::element<std::size_t>(5, MaxRowBytes + 1, 3 * MaxRowBytes);
    const auto ForGroup = [&](auto Change) {
      Change(jobId(First), Length);
      for (int I = First + 1; I < First + GroupSize; ++I)
        Change(jobId(I % Ids), 5);
    };
    switch (S) {
    case Add:
      ForGroup([&](const JobId &Id, std::size_t Size) { M.add(Id, Size); });
      break;
    case Begin:
      M.progress(jobId(First), Length, false);
      break;
    case End:
      ForGroup([&](const JobId &Id, std::size_t Size) {
        M.progress(Id, Size, true);
      });
      break;
    case Purge:
      M.pass(Kept / 2);
      M.purge();
      break;
    case Commit:
    case Lose:
    case Refuse:
      M.commit(S != Refuse, S != Lose);
      break;
    case Fail:
      M.takeOver();
      break;
    }
  }
  M.commitAll();
  M.takeOver();
  M.commitAll();
  const ModelPartition &P = M.partition();
  RC_ASSERT(P.values(RowKind::Job).Values_.size() == M.jobCount());
  RC_ASSERT(P.values(RowKind::Progress).Values_.size() <= M.jobCount());
  RC_ASSERT(hasOnlyValues(P, RowKind::Job));
  RC_ASSERT(hasOnlyValues(P, RowKind::Progress));
}

} // namespace

HEATHERCROSS_STORY(JobRowsProperty,
                   "a later holder finds each job in a state that it was in") {
  HEATHERCROSS_PROPERTY("whichever batch was the last", [] { runHistory(); });
}
