// Runs a request with an idempotency key at most once: the state machine.
#include "request/claim.h"

#include <algorithm>
#include <utility>

namespace heathercross::request {

namespace {
bool isFinal(ClaimState S) {
  return S == ClaimState::Done || S == ClaimState::Failed;
}

Outcome outcomeOf(ClaimState S) {
  switch (S) {
  case ClaimState::Done:
    return Outcome::Done;
  case ClaimState::Failed:
    return Outcome::Failed;
  case ClaimState::NotRun:
    return Outcome::NotRun;
  case ClaimState::Claimed:
  case ClaimState::Unknown:
    break;
  }
  return Outcome::Unknown;
}

std::string bootOf(const ClaimRow &Row, std::size_t Worker) {
  return Worker < Row.Boots_.size() ? Row.Boots_[Worker] : std::string();
}

/// Returns the fence result that may be relied on. A worker that restarted
/// since the claim was written has lost its record of attempts, so a Fenced
/// result doesn't prove that the attempt never ran; it counts as NoAnswer.
FenceResult trustedFenceResult(const FenceEnded &E, const ClaimRow &Row,
                               std::size_t Worker) {
  const std::string ClaimBoot = bootOf(Row, Worker);
  const bool Restarted =
      !ClaimBoot.empty() && !E.Boot_.empty() && ClaimBoot != E.Boot_;
  const bool LostRecord = Restarted && E.Result_ == FenceResult::Fenced;
  return LostRecord ? FenceResult::NoAnswer : E.Result_;
}
} // namespace

Claim::Claim(const RequestSpec &S, EntryId Entry, const ClaimTimings &Timings)
    : Spec_(S), Entry_(std::move(Entry)), Timings_(Timings) {}

bool Claim::holdsSlot() const {
  if (OtherClaim_ || ConfirmedClaim_ || Phase_ == Phase::NeedsWorkers ||
      Phase_ == Phase::Finished)
    return false;
  return true;
}

Instant Claim::wakeAt() const {
  Instant WakeAt = Spec_.Deadline_;
  if (!ConfirmedClaim_ && !OtherMayHaveRun_ && !recordsOutcome() &&
      Phase_ != Phase::NeedsWorkers)
    WakeAt = std::min(WakeAt, ConfirmDeadline_);
  if (Phase_ == Phase::Paused)
    WakeAt = std::min(WakeAt, PausedUntil_);
  return WakeAt;
}

// Writing, reading and pausing.

void Claim::startAttempt(const AttemptId &Attempt,
                         std::vector<InstanceId> Workers,
                         std::vector<std::string> Boots, ClaimStep &Step) {
  PendingRow_ =
      ClaimRow{Attempt, Spec_.Digest_, std::move(Workers), ClaimState::Claimed,
               Entry_,  std::string(), BaseVersion_,       std::move(Boots)};
  ConfirmedClaim_.reset();
  OtherClaim_.reset();
  Unsent_ = true;
  FencedByOther_ = false;
  WorkerIndex_ = 0;
  ConfirmDeadline_ = Step.Now_ + Timings_.ConfirmTimeout_;
  write(Step);
}

void Claim::lookUp(ClaimStep &Step) {
  OtherMayHaveRun_ = true;
  read(Step);
}

void Claim::write(ClaimStep &Step) {
  Phase_ = Phase::Writing;
  Step.Out_.push_back(WriteClaim{Spec_.Request_, PendingRow_});
}

void Claim::read(ClaimStep &Step) {
  Phase_ = Phase::Reading;
  Step.Out_.push_back(ReadClaim{Spec_.Request_});
}

void Claim::pause(Micros Duration, AfterPause Then, ClaimStep &Step) {
  Phase_ = Phase::Paused;
  AfterPause_ = Then;
  PausedUntil_ = Step.Now_ + Duration;
}

void Claim::resume(ClaimStep &Step) {
  switch (AfterPause_) {
  case AfterPause::Write:
    return write(Step);
  case AfterPause::Read:
    return read(Step);
  case AfterPause::Try:
    return tryNextWorker(Step);
  case AfterPause::FenceOwn:
    return fenceOwn(Step);
  case AfterPause::FenceOther:
    return fenceOther(Step);
  }
}

// Answers of the table.

void Claim::onWritten(const ClaimWritten &E, ClaimStep &Step) {
  if (Phase_ != Phase::Writing)
    return;
  const bool Committed = E.Status_ == CommitStatus::Committed;
  if (Committed && E.Version_ > PendingRow_.Version_)
    return onCommitted(E.Version_, Step);
  // The result of an earlier write, since its version isn't newer.
  if (Committed)
    return;
  if (E.Status_ == CommitStatus::Refused)
    return pause(Timings_.TableRetryDelay_, AfterPause::Write, Step);
  read(Step);
}

void Claim::onCommitted(RowVersion Version, ClaimStep &Step) {
  PendingRow_.Version_ = Version;
  BaseVersion_ = Version;
  HighestVersion_ = std::max(HighestVersion_, Version);
  if (recordsOutcome())
    return answerRecorded(Step);
  ConfirmedClaim_ = PendingRow_;
  if (OtherClaim_)
    SettledOther_ = true;
  OtherClaim_.reset();
  OtherMayHaveRun_ = false;
  tryNextWorker(Step);
}

void Claim::onRead(const ClaimRead &E, ClaimStep &Step) {
  if (Phase_ != Phase::Reading)
    return;
  if (E.Failed_)
    return pause(Timings_.TableRetryDelay_, AfterPause::Read, Step);
  if (!E.Row_)
    return onNoRow(Step);
  if (E.Row_->Version_ < HighestVersion_)
    return pause(Timings_.TableRetryDelay_, AfterPause::Read, Step);
  HighestVersion_ = E.Row_->Version_;
  // An unchanged version shows that the claim wasn't written.
  const bool NotWritten =
      !recordsOutcome() && E.Row_->Version_ == PendingRow_.Version_;
  if (NotWritten)
    return pause(Timings_.TableRetryDelay_, AfterPause::Write, Step);
  if (E.Row_->Attempt_ == PendingRow_.Attempt_)
    return onOwnRow(*E.Row_, Step);
  onOtherRow(*E.Row_, Step);
}

void Claim::onNoRow(ClaimStep &Step) {
  // lookUp() found no row.
  if (PendingRow_.Attempt_.empty()) {
    Phase_ = Phase::NeedsWorkers;
    return;
  }
  PendingRow_.Version_ = RowVersion();
  pause(Timings_.TableRetryDelay_, AfterPause::Write, Step);
}

void Claim::onOwnRow(const ClaimRow &Row, ClaimStep &Step) {
  const bool Open =
      Row.State_ == ClaimState::Claimed || Row.State_ == ClaimState::Unknown;
  if (recordsOutcome() && Row.State_ == PendingRow_.State_)
    return onCommitted(Row.Version_, Step);
  if (recordsOutcome() && Open) {
    PendingRow_.Version_ = Row.Version_;
    return write(Step);
  }
  if (isFinal(Row.State_))
    return answerStored(Row, Step);
  if (!recordsOutcome() && Unsent_ && Row.State_ == ClaimState::Claimed)
    return onCommitted(Row.Version_, Step);
  onOtherRow(Row, Step);
}

void Claim::onOtherRow(const ClaimRow &Row, ClaimStep &Step) {
  ConfirmedClaim_.reset();
  const bool WorkEnded = isFinal(PendingRow_.State_);
  if (Row.Digest_ != Spec_.Digest_ && !WorkEnded)
    return answer({Spec_.Request_, Outcome::NotRun, Reason::KeyReused}, Step);
  if (isFinal(Row.State_))
    return answerStored(Row, Step);
  if (WorkEnded)
    return answer({Spec_.Request_, Outcome::Unknown, Reason::ClaimPending},
                  Step);
  if (Row.State_ == ClaimState::NotRun)
    return takeOver(Row, Step);
  const bool SeenBefore = OtherClaim_ &&
                          OtherClaim_->Attempt_ == Row.Attempt_ &&
                          OtherClaim_->Version_ == Row.Version_;
  OtherClaim_ = Row;
  OtherMayHaveRun_ = true;
  if (SeenBefore)
    return fenceOther(Step);
  FenceResults_.assign(Row.Workers_.size(), std::nullopt);
  const Micros Left = Spec_.Deadline_ - Step.Now_;
  pause(std::min(Timings_.GracePeriod_, Left / 4), AfterPause::Read, Step);
}

void Claim::takeOver(const ClaimRow &Row, ClaimStep &Step) {
  BaseVersion_ = Row.Version_;
  OtherMayHaveRun_ &= Row.State_ != ClaimState::NotRun;
  if (!Unsent_ || recordsOutcome()) {
    Phase_ = Phase::NeedsWorkers;
    return;
  }
  PendingRow_.Version_ = BaseVersion_;
  write(Step);
}

// Tries of this request's attempt.

void Claim::tryNextWorker(ClaimStep &Step) {
  if (WorkerIndex_ == ConfirmedClaim_->Workers_.size())
    return allRefused(Step);
  const bool First = WorkerIndex_ == 0;
  if (!First && !Step.Budget_.take())
    return pause(Micros(Timings_.PollInterval_), AfterPause::Try, Step);
  Phase_ = Phase::Trying;
  Unsent_ = false;
  Send S{Spec_.Request_, ConfirmedClaim_->Attempt_,
         ConfirmedClaim_->Workers_[WorkerIndex_]};
  S.NewConnection_ = true;
  S.Boot_ = bootOf(*ConfirmedClaim_, WorkerIndex_);
  Step.Out_.push_back(std::move(S));
}

void Claim::allRefused(ClaimStep &Step) {
  if (FencedByOther_)
    return record(*ConfirmedClaim_, ClaimState::NotRun, Step);
  Phase_ = Phase::NeedsWorkers;
}

void Claim::onTryEnded(const TryEnded &E, ClaimStep &Step) {
  if (Phase_ == Phase::Fetching)
    return fetchEnded(E, Step);
  if (Phase_ != Phase::Trying || E.Attempt_ != ConfirmedClaim_->Attempt_ ||
      E.Worker_ != ConfirmedClaim_->Workers_[WorkerIndex_])
    return;
  const bool MayHaveRun =
      E.Result_ == TryResult::Lost ||
      (E.Result_ == TryResult::Refused && E.Refusal_ == Refusal::Duplicate);
  if (MayHaveRun)
    return fenceOwn(Step);
  if (E.Result_ == TryResult::Answered)
    return record(*ConfirmedClaim_, ClaimState::Done, Step);
  if (E.Result_ == TryResult::WorkFailed)
    return record(*ConfirmedClaim_, ClaimState::Failed, Step);
  FencedByOther_ |= E.Refusal_ == Refusal::Fenced;
  OtherMayHaveRun_ |= FencedByOther_;
  ++WorkerIndex_;
  tryNextWorker(Step);
}

void Claim::fenceOwn(ClaimStep &Step) {
  Phase_ = Phase::FencingOwn;
  Step.Out_.push_back(Fence{Spec_.Request_, ConfirmedClaim_->Attempt_,
                            ConfirmedClaim_->Workers_[WorkerIndex_]});
}

void Claim::ownFenceEnded(FenceResult Result, ClaimStep &Step) {
  switch (Result) {
  case FenceResult::Fenced:
    ++WorkerIndex_;
    return tryNextWorker(Step);
  case FenceResult::Done:
  case FenceResult::Failed:
    return fetch(ConfirmedClaim_->Attempt_,
                 ConfirmedClaim_->Workers_[WorkerIndex_], Result, Step);
  case FenceResult::Running:
  case FenceResult::NoAnswer:
    return pause(Timings_.PollInterval_, AfterPause::FenceOwn, Step);
  }
}

// Resolving the claim of another attempt.

void Claim::fenceOther(ClaimStep &Step) {
  Phase_ = Phase::FencingOther;
  bool AnyUnfenced = false;
  for (std::size_t I = 0; I != FenceResults_.size(); ++I) {
    if (FenceResults_[I] == FenceResult::Fenced)
      continue;
    FenceResults_[I].reset();
    AnyUnfenced = true;
    Step.Out_.push_back(
        Fence{Spec_.Request_, OtherClaim_->Attempt_, OtherClaim_->Workers_[I]});
  }
  if (!AnyUnfenced)
    takeOver(*OtherClaim_, Step);
}

void Claim::onFenceEnded(const FenceEnded &E, ClaimStep &Step) {
  if (Phase_ == Phase::FencingOther)
    return otherFenceEnded(E, Step);
  const bool Own = Phase_ == Phase::FencingOwn &&
                   E.Attempt_ == ConfirmedClaim_->Attempt_ &&
                   E.Worker_ == ConfirmedClaim_->Workers_[WorkerIndex_];
  if (Own)
    ownFenceEnded(trustedFenceResult(E, *ConfirmedClaim_, WorkerIndex_), Step);
}

void Claim::otherFenceEnded(const FenceEnded &E, ClaimStep &Step) {
  const auto &Workers = OtherClaim_->Workers_;
  const auto I = std::ranges::find(Workers, E.Worker_) - Workers.begin();
  const auto Index = static_cast<std::size_t>(I);
  if (E.Attempt_ != OtherClaim_->Attempt_ || Index == Workers.size() ||
      FenceResults_[Index])
    return;
  const FenceResult R = trustedFenceResult(E, *OtherClaim_, Index);
  FenceResults_[Index] = R;
  if (R == FenceResult::Done || R == FenceResult::Failed)
    return fetch(OtherClaim_->Attempt_, E.Worker_, R, Step);
  const auto Unanswered = [](const auto &Result) {
    return !Result.has_value();
  };
  const auto Fenced = [](const auto &Result) {
    return Result == FenceResult::Fenced;
  };
  if (std::ranges::any_of(FenceResults_, Unanswered))
    return;
  if (std::ranges::all_of(FenceResults_, Fenced))
    return takeOver(*OtherClaim_, Step);
  pause(Timings_.PollInterval_, AfterPause::FenceOther, Step);
}

// Fetching answers and recording outcomes.

void Claim::fetch(const AttemptId &Attempt, const InstanceId &Worker,
                  FenceResult Expected, ClaimStep &Step) {
  Phase_ = Phase::Fetching;
  FetchAttempt_ = Attempt;
  FetchWorker_ = Worker;
  ExpectedResult_ = Expected;
  Step.Out_.push_back(FetchAnswer{Spec_.Request_, Attempt, Worker});
}

void Claim::fetchEnded(const TryEnded &E, ClaimStep &Step) {
  if (E.Attempt_ != FetchAttempt_ || E.Worker_ != FetchWorker_)
    return;
  const ClaimRow &Base = ConfirmedClaim_ ? *ConfirmedClaim_ : *OtherClaim_;
  if (E.Result_ == TryResult::Answered)
    return record(Base, ClaimState::Done, Step);
  const bool Failed = E.Result_ == TryResult::WorkFailed ||
                      ExpectedResult_ == FenceResult::Failed;
  if (Failed)
    return record(Base, ClaimState::Failed, Step);
  pause(Timings_.PollInterval_,
        ConfirmedClaim_ ? AfterPause::FenceOwn : AfterPause::FenceOther, Step);
}

void Claim::record(const ClaimRow &Base, ClaimState State, ClaimStep &Step) {
  SettledOther_ |= !ConfirmedClaim_;
  ClaimRow Row = Base;
  Row.State_ = State;
  Row.Entry_ = Entry_;
  Row.Answer_ = State == ClaimState::Done ? Base.Attempt_.str() : std::string();
  PendingRow_ = std::move(Row);
  Unsent_ = false;
  write(Step);
}

// Answers to the caller.

void Claim::answer(Answer A, ClaimStep &Step) {
  Phase_ = Phase::Finished;
  Unsent_ = false;
  Step.Out_.push_back(std::move(A));
}

void Claim::answerRecorded(ClaimStep &Step) {
  Recorded_ = isFinal(PendingRow_.State_);
  const Outcome O = outcomeOf(PendingRow_.State_);
  if (O == Outcome::NotRun)
    return answer({Spec_.Request_, O, Reason::WorkersRefused}, Step);
  answer({Spec_.Request_, O, Reason::None, PendingRow_.Attempt_}, Step);
}

void Claim::answerStored(const ClaimRow &Row, ClaimStep &Step) {
  Recorded_ = true;
  answer({Spec_.Request_, outcomeOf(Row.State_), Reason::None, AttemptId(),
          Row.Answer_},
         Step);
}

void Claim::giveUp(Reason Why, ClaimStep &Step) {
  if (!needsWorkers())
    return;
  if (ConfirmedClaim_) {
    ClaimRow Row = *ConfirmedClaim_;
    Row.State_ = ClaimState::NotRun;
    Step.Out_.push_back(WriteClaim{Spec_.Request_, std::move(Row)});
  }
  answer({Spec_.Request_, Outcome::NotRun, Why}, Step);
}

void Claim::onWake(ClaimStep &Step) {
  if (Phase_ == Phase::Finished || Phase_ == Phase::NeedsWorkers)
    return;
  if (Step.Now_ >= Spec_.Deadline_)
    return windowPassed(Step);
  const bool Unconfirmed =
      !ConfirmedClaim_ && !OtherMayHaveRun_ && !recordsOutcome();
  if (Unconfirmed && Step.Now_ >= ConfirmDeadline_)
    return answer({Spec_.Request_, Outcome::NotRun, Reason::ClaimUnconfirmed},
                  Step);
  if (Phase_ == Phase::Paused && Step.Now_ >= PausedUntil_)
    resume(Step);
}

void Claim::windowPassed(ClaimStep &Step) {
  const auto Finish = [&](Outcome O, Reason R) {
    answer({Spec_.Request_, O, R}, Step);
  };
  if (!ConfirmedClaim_ && !recordsOutcome())
    return OtherMayHaveRun_ ? Finish(Outcome::Unknown, Reason::ClaimPending)
                            : Finish(Outcome::NotRun, Reason::ClaimUnconfirmed);
  if (recordsOutcome())
    return Finish(Outcome::Unknown, Reason::ClaimUnconfirmed);
  if (Phase_ == Phase::Trying)
    return Finish(Outcome::Unknown, Reason::WindowPassed);
  if (Phase_ == Phase::Paused && AfterPause_ == AfterPause::Try &&
      !FencedByOther_) {
    Phase_ = Phase::NeedsWorkers;
    return giveUp(Reason::RetryBudgetSpent, Step);
  }
  Finish(Outcome::Unknown, Reason::AnswerLost);
}

} // namespace heathercross::request
