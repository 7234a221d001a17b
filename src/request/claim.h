// Runs a request with an idempotency key at most once, by a claim in the table.
#pragma once

#include "request/config.h"
#include "request/events.h"
#include "request/retry-budget.h"

#include <optional>
#include <vector>

namespace heathercross::request {

/// What one step of a claim works with.
struct ClaimStep {
  Instant Now_;
  RetryBudget &Budget_;
  Effects &Out_;
};

/// The life of one request with an idempotency key, from the first write of its
/// claim to the answer.
///
/// The rules that keep it at most once: an attempt is sent only after its claim
/// is confirmed and only to the workers that the claim names; a second worker
/// gets it only when the first refused or was fenced; a claim of another
/// attempt is replaced only when all workers that it names have fenced that
/// attempt, or when its owner recorded that it never ran. The outcome is
/// recorded before it is answered.
class Claim {
public:
  Claim(const Spec &S, EntryId Entry, const ClaimTimings &Timings);

  /// Starts with a new attempt on the given workers, the best first, with the
  /// boot of each as far as known. Allowed only while needsPlace().
  void place(const AttemptId &Attempt, std::vector<InstanceId> Workers,
             std::vector<std::string> Boots, ClaimStep &Step);

  /// Asks the table first what became of the key, which another request of
  /// this entry had claimed. Ends in the stored answer, or needs a place.
  void look(ClaimStep &Step);

  void onWritten(const ClaimWritten &E, ClaimStep &Step);
  void onRead(const ClaimRead &E, ClaimStep &Step);
  void onTryEnded(const TryEnded &E, ClaimStep &Step);
  void onFenceEnded(const FenceEnded &E, ClaimStep &Step);
  /// Time passed: repeats what is due, and answers when the window is over.
  void onTime(ClaimStep &Step);

  /// Gives up a claim that needs a place: it is "not run".
  void giveUp(Reason Why, ClaimStep &Step);

  /// Whether it waits for workers to be chosen.
  bool needsPlace() const { return Phase_ == Phase::Idle; }
  bool over() const { return Phase_ == Phase::Over; }
  /// Whether a slot has to be kept for the first worker.
  bool holdsSlot() const;
  /// When onTime has to be called next.
  Instant wakeAt() const;
  /// Whether it ended with an outcome that is recorded in the table.
  bool recorded() const { return Recorded_; }
  /// Whether the row of another attempt was settled on the way.
  bool settledForeign() const { return SettledForeign_; }

private:
  enum class Phase : std::uint8_t {
    Idle,
    Writing,
    Reading,
    Resting,
    Trying,
    FencingOwn,
    FencingOther,
    Fetching,
    Over
  };
  /// What follows a rest.
  enum class Next : std::uint8_t { Write, Read, Try, FenceOwn, FenceOther };

  void write(ClaimStep &Step);
  void read(ClaimStep &Step);
  void rest(Micros For, Next What, ClaimStep &Step);
  void resume(ClaimStep &Step);

  bool recording() const { return Goal_.State_ != ClaimState::Claimed; }
  void written(RowVersion Version, ClaimStep &Step);
  void rowAbsent(ClaimStep &Step);
  void rowOfGoal(const ClaimRow &Row, ClaimStep &Step);
  void rowOfOther(const ClaimRow &Row, ClaimStep &Step);
  void takeOver(const ClaimRow &Row, ClaimStep &Step);

  void tryNext(ClaimStep &Step);
  void allRefused(ClaimStep &Step);
  void fenceOwn(ClaimStep &Step);
  void ownFenceEnded(FenceResult Result, ClaimStep &Step);
  void fenceOther(ClaimStep &Step);
  void otherFenceEnded(const FenceEnded &E, ClaimStep &Step);
  void fetch(const AttemptId &Attempt, const InstanceId &Worker,
             FenceResult What, ClaimStep &Step);
  void fetchEnded(const TryEnded &E, ClaimStep &Step);
  void record(const ClaimRow &Base, ClaimState State, ClaimStep &Step);

  void answer(Answer A, ClaimStep &Step);
  void answerRecorded(ClaimStep &Step);
  void answerStored(const ClaimRow &Row, ClaimStep &Step);
  void windowPassed(ClaimStep &Step);

  Spec Spec_;
  EntryId Entry_;
  ClaimTimings Timings_;

  Phase Phase_ = Phase::Idle;
  Next Next_ = Next::Read;
  Instant RestUntil_{};
  /// Until when an unconfirmed claim may still be confirmed.
  Instant ConfirmBy_{};

  /// What the table is meant to hold next.
  ClaimRow Goal_;
  /// The claim as confirmed; nothing while none of ours is.
  std::optional<ClaimRow> Held_;
  /// The claim of another attempt that stands in the way.
  std::optional<ClaimRow> Foreign_;
  /// The version on which the next claim is written.
  RowVersion Base_;
  /// The highest version seen, by which stale answers are told.
  RowVersion Highest_;
  /// Whether the present attempt may still be claimed and sent.
  bool Unsent_ = false;
  /// Whether another attempt was ever seen that may have run.
  bool OtherMayHaveRun_ = false;
  /// Whether another entry fenced the present attempt.
  bool FencedByOther_ = false;
  bool SettledForeign_ = false;

  /// The named worker that is being tried.
  std::size_t Tried_ = 0;
  /// The last fence result of each worker that the other claim names.
  std::vector<std::optional<FenceResult>> FenceResults_;
  AttemptId FetchAttempt_;
  InstanceId FetchWorker_;
  FenceResult FetchWhat_ = FenceResult::Done;
  bool Recorded_ = false;
};

} // namespace heathercross::request
