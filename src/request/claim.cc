// Runs a request with an idempotency key at most once: the state machine.
#include "request/claim.h"

#include <algorithm>
#include <utility>

namespace heathercross::request {

namespace {
bool finalState(ClaimState S) {
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

/// What a fence says about a worker that the claim names. One that restarted
/// has nothing to say: what it ran before is forgotten.
FenceResult judged(const FenceEnded &E, const ClaimRow &Row,
                   std::size_t Worker) {
  const std::string Named = bootOf(Row, Worker);
  const bool Restarted = !Named.empty() && !E.Boot_.empty() && Named != E.Boot_;
  const bool Forgot = Restarted && E.Result_ == FenceResult::Fenced;
  return Forgot ? FenceResult::NoAnswer : E.Result_;
}
} // namespace

Claim::Claim(const Spec &S, EntryId Entry, const ClaimTimings &Timings)
    : Spec_(S), Entry_(std::move(Entry)), Timings_(Timings) {}

bool Claim::holdsSlot() const {
  if (Foreign_ || Held_ || Phase_ == Phase::Idle || Phase_ == Phase::Over)
    return false;
  return true;
}

Instant Claim::wakeAt() const {
  Instant At = Spec_.Deadline_;
  if (!Held_ && !OtherMayHaveRun_ && !recording() && Phase_ != Phase::Idle)
    At = std::min(At, ConfirmBy_);
  if (Phase_ == Phase::Resting)
    At = std::min(At, RestUntil_);
  return At;
}

// Steps that everything else is made of.

void Claim::place(const AttemptId &Attempt, std::vector<InstanceId> Workers,
                  std::vector<std::string> Boots, ClaimStep &Step) {
  Goal_ = ClaimRow{Attempt,
                   Spec_.Digest_,
                   std::move(Workers),
                   ClaimState::Claimed,
                   Entry_,
                   std::string(),
                   Base_,
                   std::move(Boots)};
  Held_.reset();
  Foreign_.reset();
  Unsent_ = true;
  FencedByOther_ = false;
  Tried_ = 0;
  ConfirmBy_ = Step.Now_ + Timings_.ConfirmWithin_;
  write(Step);
}

void Claim::look(ClaimStep &Step) {
  OtherMayHaveRun_ = true;
  read(Step);
}

void Claim::write(ClaimStep &Step) {
  Phase_ = Phase::Writing;
  Step.Out_.push_back(WriteClaim{Spec_.Request_, Goal_});
}

void Claim::read(ClaimStep &Step) {
  Phase_ = Phase::Reading;
  Step.Out_.push_back(ReadClaim{Spec_.Request_});
}

void Claim::rest(Micros For, Next What, ClaimStep &Step) {
  Phase_ = Phase::Resting;
  Next_ = What;
  RestUntil_ = Step.Now_ + For;
}

void Claim::resume(ClaimStep &Step) {
  switch (Next_) {
  case Next::Write:
    return write(Step);
  case Next::Read:
    return read(Step);
  case Next::Try:
    return tryNext(Step);
  case Next::FenceOwn:
    return fenceOwn(Step);
  case Next::FenceOther:
    return fenceOther(Step);
  }
}

// The table's answers.

void Claim::onWritten(const ClaimWritten &E, ClaimStep &Step) {
  if (Phase_ != Phase::Writing)
    return;
  const bool Committed = E.Status_ == CommitStatus::Committed;
  if (Committed && E.Version_ > Goal_.Version_)
    return written(E.Version_, Step);
  if (Committed)
    return;
  if (E.Status_ == CommitStatus::Refused)
    return rest(Timings_.TableRetry_, Next::Write, Step);
  read(Step);
}

void Claim::written(RowVersion Version, ClaimStep &Step) {
  Goal_.Version_ = Version;
  Base_ = Version;
  Highest_ = std::max(Highest_, Version);
  if (recording())
    return answerRecorded(Step);
  Held_ = Goal_;
  if (Foreign_)
    SettledForeign_ = true;
  Foreign_.reset();
  OtherMayHaveRun_ = false;
  tryNext(Step);
}

void Claim::onRead(const ClaimRead &E, ClaimStep &Step) {
  if (Phase_ != Phase::Reading)
    return;
  if (E.Failed_)
    return rest(Timings_.TableRetry_, Next::Read, Step);
  if (!E.Row_)
    return rowAbsent(Step);
  if (E.Row_->Version_ < Highest_)
    return rest(Timings_.TableRetry_, Next::Read, Step);
  Highest_ = E.Row_->Version_;
  const bool Untouched = !recording() && E.Row_->Version_ == Goal_.Version_;
  if (Untouched)
    return rest(Timings_.TableRetry_, Next::Write, Step);
  if (E.Row_->Attempt_ == Goal_.Attempt_)
    return rowOfGoal(*E.Row_, Step);
  rowOfOther(*E.Row_, Step);
}

void Claim::rowAbsent(ClaimStep &Step) {
  if (Goal_.Attempt_.empty()) {
    Phase_ = Phase::Idle;
    return;
  }
  Goal_.Version_ = RowVersion();
  rest(Timings_.TableRetry_, Next::Write, Step);
}

void Claim::rowOfGoal(const ClaimRow &Row, ClaimStep &Step) {
  const bool Open =
      Row.State_ == ClaimState::Claimed || Row.State_ == ClaimState::Unknown;
  if (recording() && Row.State_ == Goal_.State_)
    return written(Row.Version_, Step);
  if (recording() && Open) {
    Goal_.Version_ = Row.Version_;
    return write(Step);
  }
  if (finalState(Row.State_))
    return answerStored(Row, Step);
  if (!recording() && Unsent_ && Row.State_ == ClaimState::Claimed)
    return written(Row.Version_, Step);
  rowOfOther(Row, Step);
}

void Claim::rowOfOther(const ClaimRow &Row, ClaimStep &Step) {
  Held_.reset();
  const bool Ran = finalState(Goal_.State_);
  if (Row.Digest_ != Spec_.Digest_ && !Ran)
    return answer({Spec_.Request_, Outcome::NotRun, Reason::KeyReused}, Step);
  if (finalState(Row.State_))
    return answerStored(Row, Step);
  if (Ran)
    return answer({Spec_.Request_, Outcome::Unknown, Reason::ClaimPending},
                  Step);
  if (Row.State_ == ClaimState::NotRun)
    return takeOver(Row, Step);
  const bool SeenBefore = Foreign_ && Foreign_->Attempt_ == Row.Attempt_ &&
                          Foreign_->Version_ == Row.Version_;
  Foreign_ = Row;
  OtherMayHaveRun_ = true;
  if (SeenBefore)
    return fenceOther(Step);
  FenceResults_.assign(Row.Workers_.size(), std::nullopt);
  const Micros Left = Spec_.Deadline_ - Step.Now_;
  rest(std::min(Timings_.Grace_, Left / 4), Next::Read, Step);
}

void Claim::takeOver(const ClaimRow &Row, ClaimStep &Step) {
  Base_ = Row.Version_;
  OtherMayHaveRun_ &= Row.State_ != ClaimState::NotRun;
  if (!Unsent_ || recording()) {
    Phase_ = Phase::Idle;
    return;
  }
  Goal_.Version_ = Base_;
  write(Step);
}

// Tries of the own attempt.

void Claim::tryNext(ClaimStep &Step) {
  if (Tried_ == Held_->Workers_.size())
    return allRefused(Step);
  const bool First = Tried_ == 0;
  if (!First && !Step.Budget_.take())
    return rest(Micros(Timings_.Poll_), Next::Try, Step);
  Phase_ = Phase::Trying;
  Unsent_ = false;
  Send S{Spec_.Request_, Held_->Attempt_, Held_->Workers_[Tried_]};
  S.Fresh_ = true;
  S.Boot_ = bootOf(*Held_, Tried_);
  Step.Out_.push_back(std::move(S));
}

void Claim::allRefused(ClaimStep &Step) {
  if (FencedByOther_)
    return record(*Held_, ClaimState::NotRun, Step);
  Phase_ = Phase::Idle;
}

void Claim::onTryEnded(const TryEnded &E, ClaimStep &Step) {
  if (Phase_ == Phase::Fetching)
    return fetchEnded(E, Step);
  if (Phase_ != Phase::Trying || E.Attempt_ != Held_->Attempt_ ||
      E.Worker_ != Held_->Workers_[Tried_])
    return;
  const bool MayHaveRun =
      E.Result_ == TryResult::Lost ||
      (E.Result_ == TryResult::Refused && E.Refusal_ == Refusal::Duplicate);
  if (MayHaveRun)
    return fenceOwn(Step);
  if (E.Result_ == TryResult::Answered)
    return record(*Held_, ClaimState::Done, Step);
  if (E.Result_ == TryResult::WorkFailed)
    return record(*Held_, ClaimState::Failed, Step);
  FencedByOther_ |= E.Refusal_ == Refusal::Fenced;
  OtherMayHaveRun_ |= FencedByOther_;
  ++Tried_;
  tryNext(Step);
}

void Claim::fenceOwn(ClaimStep &Step) {
  Phase_ = Phase::FencingOwn;
  Step.Out_.push_back(
      Fence{Spec_.Request_, Held_->Attempt_, Held_->Workers_[Tried_]});
}

void Claim::ownFenceEnded(FenceResult Result, ClaimStep &Step) {
  switch (Result) {
  case FenceResult::Fenced:
    ++Tried_;
    return tryNext(Step);
  case FenceResult::Done:
  case FenceResult::Failed:
    return fetch(Held_->Attempt_, Held_->Workers_[Tried_], Result, Step);
  case FenceResult::Running:
  case FenceResult::NoAnswer:
    return rest(Timings_.Poll_, Next::FenceOwn, Step);
  }
}

// Settling the claim of another attempt.

void Claim::fenceOther(ClaimStep &Step) {
  Phase_ = Phase::FencingOther;
  bool Asked = false;
  for (std::size_t I = 0; I != FenceResults_.size(); ++I) {
    if (FenceResults_[I] == FenceResult::Fenced)
      continue;
    FenceResults_[I].reset();
    Asked = true;
    Step.Out_.push_back(
        Fence{Spec_.Request_, Foreign_->Attempt_, Foreign_->Workers_[I]});
  }
  if (!Asked)
    takeOver(*Foreign_, Step);
}

void Claim::onFenceEnded(const FenceEnded &E, ClaimStep &Step) {
  if (Phase_ == Phase::FencingOther)
    return otherFenceEnded(E, Step);
  const bool Own = Phase_ == Phase::FencingOwn &&
                   E.Attempt_ == Held_->Attempt_ &&
                   E.Worker_ == Held_->Workers_[Tried_];
  if (Own)
    ownFenceEnded(judged(E, *Held_, Tried_), Step);
}

void Claim::otherFenceEnded(const FenceEnded &E, ClaimStep &Step) {
  const auto &Workers = Foreign_->Workers_;
  const auto I = std::ranges::find(Workers, E.Worker_) - Workers.begin();
  const auto Index = static_cast<std::size_t>(I);
  if (E.Attempt_ != Foreign_->Attempt_ || Index == Workers.size() ||
      FenceResults_[Index])
    return;
  const FenceResult R = judged(E, *Foreign_, Index);
  FenceResults_[Index] = R;
  if (R == FenceResult::Done || R == FenceResult::Failed)
    return fetch(Foreign_->Attempt_, E.Worker_, R, Step);
  const auto Asked = [](const auto &Seen) { return !Seen.has_value(); };
  const auto Fenced = [](const auto &Seen) {
    return Seen == FenceResult::Fenced;
  };
  if (std::ranges::any_of(FenceResults_, Asked))
    return;
  if (std::ranges::all_of(FenceResults_, Fenced))
    return takeOver(*Foreign_, Step);
  rest(Timings_.Poll_, Next::FenceOther, Step);
}

// Fetching and recording.

void Claim::fetch(const AttemptId &Attempt, const InstanceId &Worker,
                  FenceResult What, ClaimStep &Step) {
  Phase_ = Phase::Fetching;
  FetchAttempt_ = Attempt;
  FetchWorker_ = Worker;
  FetchWhat_ = What;
  Step.Out_.push_back(FetchAnswer{Spec_.Request_, Attempt, Worker});
}

void Claim::fetchEnded(const TryEnded &E, ClaimStep &Step) {
  if (E.Attempt_ != FetchAttempt_ || E.Worker_ != FetchWorker_)
    return;
  const ClaimRow &Base = Held_ ? *Held_ : *Foreign_;
  if (E.Result_ == TryResult::Answered)
    return record(Base, ClaimState::Done, Step);
  const bool Failed =
      E.Result_ == TryResult::WorkFailed || FetchWhat_ == FenceResult::Failed;
  if (Failed)
    return record(Base, ClaimState::Failed, Step);
  rest(Timings_.Poll_, Held_ ? Next::FenceOwn : Next::FenceOther, Step);
}

void Claim::record(const ClaimRow &Base, ClaimState State, ClaimStep &Step) {
  SettledForeign_ |= !Held_;
  ClaimRow Row = Base;
  Row.State_ = State;
  Row.Entry_ = Entry_;
  Row.Answer_ = State == ClaimState::Done ? Base.Attempt_.str() : std::string();
  Goal_ = std::move(Row);
  Unsent_ = false;
  write(Step);
}

// Answers.

void Claim::answer(Answer A, ClaimStep &Step) {
  Phase_ = Phase::Over;
  Unsent_ = false;
  Step.Out_.push_back(std::move(A));
}

void Claim::answerRecorded(ClaimStep &Step) {
  Recorded_ = finalState(Goal_.State_);
  const Outcome O = outcomeOf(Goal_.State_);
  if (O == Outcome::NotRun)
    return answer({Spec_.Request_, O, Reason::WorkersRefused}, Step);
  answer({Spec_.Request_, O, Reason::None, Goal_.Attempt_}, Step);
}

void Claim::answerStored(const ClaimRow &Row, ClaimStep &Step) {
  Recorded_ = true;
  answer({Spec_.Request_, outcomeOf(Row.State_), Reason::None, AttemptId(),
          Row.Answer_},
         Step);
}

void Claim::giveUp(Reason Why, ClaimStep &Step) {
  if (!needsPlace())
    return;
  if (Held_) {
    ClaimRow Row = *Held_;
    Row.State_ = ClaimState::NotRun;
    Step.Out_.push_back(WriteClaim{Spec_.Request_, std::move(Row)});
  }
  answer({Spec_.Request_, Outcome::NotRun, Why}, Step);
}

void Claim::onTime(ClaimStep &Step) {
  if (Phase_ == Phase::Over || Phase_ == Phase::Idle)
    return;
  if (Step.Now_ >= Spec_.Deadline_)
    return windowPassed(Step);
  const bool Unconfirmed = !Held_ && !OtherMayHaveRun_ && !recording();
  if (Unconfirmed && Step.Now_ >= ConfirmBy_)
    return answer({Spec_.Request_, Outcome::NotRun, Reason::ClaimUnconfirmed},
                  Step);
  if (Phase_ == Phase::Resting && Step.Now_ >= RestUntil_)
    resume(Step);
}

void Claim::windowPassed(ClaimStep &Step) {
  const auto Say = [&](Outcome O, Reason R) {
    answer({Spec_.Request_, O, R}, Step);
  };
  if (!Held_ && !recording())
    return OtherMayHaveRun_ ? Say(Outcome::Unknown, Reason::ClaimPending)
                            : Say(Outcome::NotRun, Reason::ClaimUnconfirmed);
  if (recording())
    return Say(Outcome::Unknown, Reason::ClaimUnconfirmed);
  if (Phase_ == Phase::Trying)
    return Say(Outcome::Unknown, Reason::WindowPassed);
  if (Phase_ == Phase::Resting && Next_ == Next::Try && !FencedByOther_) {
    Phase_ = Phase::Idle;
    return giveUp(Reason::RetryBudgetSpent, Step);
  }
  Say(Outcome::Unknown, Reason::AnswerLost);
}

} // namespace heathercross::request
