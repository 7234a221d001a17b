// Runs a request with an idempotency key at most once, using a claim row in the
// shared table.
#pragma once

#include "request/config.h"
#include "request/events.h"
#include "request/retry-budget.h"

#include <optional>
#include <vector>

namespace heathercross::request {

/// Inputs and outputs of one step of a claim.
struct ClaimStep {
  Instant Now_;
  RetryBudget &Budget_;
  Effects &Out_;
};

/// State machine of one request with an idempotency key, from the first write
/// of its claim to the answer.
///
/// These rules ensure that the request runs at most once:
/// - An attempt is sent only after its claim is confirmed, and only to the
///   workers that the claim names.
/// - The next worker gets the attempt only after the previous one refused or
///   fenced it.
/// - The claim of another attempt is replaced only when all workers that it
///   names have fenced that attempt, or when its owner recorded that it never
///   ran.
/// - The outcome is recorded before the caller gets it.
class Claim {
public:
  Claim(const RequestSpec &S, EntryId Entry, const ClaimTimings &Timings);

  /// Claims a new attempt on the given workers, ordered by preference, with the
  /// boot id of each or an empty string. Allowed only while needsWorkers().
  void startAttempt(const AttemptId &Attempt, std::vector<InstanceId> Workers,
                    std::vector<std::string> Boots, ClaimStep &Step);

  /// Reads the row of a key that another request of this entry instance
  /// claimed. Ends in the stored answer, or in needsWorkers().
  void lookUp(ClaimStep &Step);

  void onWritten(const ClaimWritten &E, ClaimStep &Step);
  void onRead(const ClaimRead &E, ClaimStep &Step);
  void onTryEnded(const TryEnded &E, ClaimStep &Step);
  void onFenceEnded(const FenceEnded &E, ClaimStep &Step);
  /// Resumes once a pause is over, and answers once the window or the confirm
  /// timeout has passed.
  void onWake(ClaimStep &Step);

  /// Answers "not run" and records it if a claim was confirmed; does nothing
  /// unless needsWorkers().
  void giveUp(Reason Why, ClaimStep &Step);

  /// Whether the dispatcher has to choose workers for a new attempt.
  bool needsWorkers() const { return Phase_ == Phase::NeedsWorkers; }
  bool finished() const { return Phase_ == Phase::Finished; }
  /// Whether a slot on the first worker has to stay reserved.
  bool holdsSlot() const;
  /// Returns when onWake() has to be called next.
  Instant wakeAt() const;
  /// Whether the outcome is recorded in the table.
  bool recorded() const { return Recorded_; }
  /// Whether the claim of another attempt was taken over or completed.
  bool settledOther() const { return SettledOther_; }

private:
  enum class Phase : std::uint8_t {
    NeedsWorkers,
    Writing,
    Reading,
    Paused,
    Trying,
    FencingOwn,
    FencingOther,
    Fetching,
    Finished
  };
  /// The step to resume after a pause.
  enum class AfterPause : std::uint8_t {
    Write,
    Read,
    Try,
    FenceOwn,
    FenceOther
  };

  void write(ClaimStep &Step);
  void read(ClaimStep &Step);
  void pause(Micros Duration, AfterPause Then, ClaimStep &Step);
  void resume(ClaimStep &Step);

  bool recordsOutcome() const {
    return PendingRow_.State_ != ClaimState::Claimed;
  }
  void onCommitted(RowVersion Version, ClaimStep &Step);
  void onNoRow(ClaimStep &Step);
  void onOwnRow(const ClaimRow &Row, ClaimStep &Step);
  void onOtherRow(const ClaimRow &Row, ClaimStep &Step);
  void takeOver(const ClaimRow &Row, ClaimStep &Step);

  void tryNextWorker(ClaimStep &Step);
  void allRefused(ClaimStep &Step);
  void fenceOwn(ClaimStep &Step);
  void ownFenceEnded(FenceResult Result, ClaimStep &Step);
  void fenceOther(ClaimStep &Step);
  void otherFenceEnded(const FenceEnded &E, ClaimStep &Step);
  void fetch(const AttemptId &Attempt, const InstanceId &Worker,
             FenceResult Expected, ClaimStep &Step);
  void fetchEnded(const TryEnded &E, ClaimStep &Step);
  void record(const ClaimRow &Base, ClaimState State, ClaimStep &Step);

  void answer(Answer A, ClaimStep &Step);
  void answerRecorded(ClaimStep &Step);
  void answerStored(const ClaimRow &Row, ClaimStep &Step);
  void windowPassed(ClaimStep &Step);

  RequestSpec Spec_;
  EntryId Entry_;
  ClaimTimings Timings_;

  Phase Phase_ = Phase::NeedsWorkers;
  AfterPause AfterPause_ = AfterPause::Read;
  Instant PausedUntil_{};
  /// A claim that isn't confirmed by then is answered "not run".
  Instant ConfirmDeadline_{};

  /// The row to write next.
  ClaimRow PendingRow_;
  /// The claim of this request's attempt, once the table confirmed it.
  std::optional<ClaimRow> ConfirmedClaim_;
  /// The claim of another attempt that has to be resolved first.
  std::optional<ClaimRow> OtherClaim_;
  /// The row version that the next claim replaces.
  RowVersion BaseVersion_;
  /// The highest version seen; reads of a lower one are stale.
  RowVersion HighestVersion_;
  /// Whether the current attempt was never sent and may still be claimed.
  bool Unsent_ = false;
  /// Whether another attempt was seen that may have run.
  bool OtherMayHaveRun_ = false;
  /// Whether another entry instance fenced the current attempt.
  bool FencedByOther_ = false;
  bool SettledOther_ = false;

  /// Index of the worker in the claim that is being tried.
  std::size_t WorkerIndex_ = 0;
  /// Last fence result of each worker that OtherClaim_ names; empty while the
  /// worker's answer is outstanding.
  std::vector<std::optional<FenceResult>> FenceResults_;
  AttemptId FetchAttempt_;
  InstanceId FetchWorker_;
  /// Done or Failed, as the worker reported when it was asked to fence.
  FenceResult ExpectedResult_ = FenceResult::Done;
  bool Recorded_ = false;
};

} // namespace heathercross::request
