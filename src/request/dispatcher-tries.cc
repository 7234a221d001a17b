// The request logic of one entry instance: ended tries and claims.
#include "request/dispatcher.h"

#include <algorithm>
#include <utility>

namespace heathercross::request {

// Every ended try is recorded, whether or not its request is still open.

bool Dispatcher::recordTryEnd(const TryEnded &E) {
  auto Node = OpenTries_.extract({E.Attempt_, E.Worker_});
  if (Node.empty())
    return false;
  const TryInfo &Info = Node.mapped();
  Registry_.release(E.Worker_);
  PoolState &P = Pools_[Info.Pool_];
  P.InFlight_ -= P.InFlight_ != 0;
  if (E.Result_ == TryResult::Refused) {
    recordRefusal(E, P);
    return true;
  }
  if (E.Result_ == TryResult::Answered)
    P.RunTime_.observe(Info.Declared_, Now_ - Info.SentAt_);
  const OpenRequest *R = find(E.Request_);
  const bool CausedByCaller = R && R->CallerLeft_;
  if (!CausedByCaller)
    recordHealth(E, Info);
  return true;
}

void Dispatcher::recordRefusal(const TryEnded &E, PoolState &P) {
  ++Counters_.Refusals_;
  if (E.Refusal_ == Refusal::Full) {
    Registry_.markFull(E.Worker_, Now_);
    P.Margin_.refused(Now_);
  }
  if (E.Refusal_ == Refusal::Leaving)
    Registry_.markLeaving(E.Worker_);
}

void Dispatcher::recordHealth(const TryEnded &E, const TryInfo &Info) {
  WorkerState *W = Registry_.find(E.Worker_);
  if (!W)
    return;
  if (E.Result_ == TryResult::Answered)
    return Health_.succeeded(*W, Info.Cause_);
  if (E.Result_ == TryResult::NeverSent)
    return Health_.unreachable(*W, Now_);
  Counters_.WorkersAvoided_ +=
      Health_.failed(*W, Info.Cause_, Now_, Registry_.size(W->Pool_),
                     Registry_.countAvoided(W->Pool_));
}

void Dispatcher::handle(const TryEnded &E) {
  const bool Tracked = recordTryEnd(E);
  OpenRequest *R = find(E.Request_);
  if (R && R->Claim_)
    stepClaim(*R, [&](Claim &C, ClaimStep &Step) { C.onTryEnded(E, Step); });
  else if (R && Tracked && R->Stage_ == Stage::Trying &&
           R->Attempt_ == E.Attempt_)
    onRepeatableTryEnded(*R, E);
  if (!Tracked)
    return;
  const WorkerState *W = Registry_.find(E.Worker_);
  const auto P = W ? Pools_.find(W->Pool_) : Pools_.end();
  if (P != Pools_.end() && !P->second.Pool_.Spare_)
    return serveQueue(P->first);
  serveAllQueues();
}

// Repeatable requests.

void Dispatcher::onRepeatableTryEnded(OpenRequest &R, const TryEnded &E) {
  if (E.Result_ == TryResult::Answered)
    return finish(R,
                  {R.Spec_.Request_, Outcome::Done, Reason::None, E.Attempt_});
  if (E.Result_ == TryResult::WorkFailed)
    return finish(
        R, {R.Spec_.Request_, Outcome::Failed, Reason::None, E.Attempt_});
  const bool Lost =
      E.Result_ == TryResult::Lost ||
      (E.Result_ == TryResult::Refused && E.Refusal_ == Refusal::Duplicate);
  R.MayHaveRun_ |= Lost;
  if (E.Result_ != TryResult::Refused)
    R.FailedWorkers_.push_back(E.Worker_);
  retryOrPark(R);
}

void Dispatcher::retryOrPark(OpenRequest &R) {
  if (R.CallerLeft_)
    return finishUnserved(R, Reason::None);
  if (tooLate(R))
    return finishUnserved(R, Reason::WindowTooShort);
  if (Budget_.take()) {
    enqueue(R);
    return serveQueue(R.Spec_.Pool_);
  }
  if (R.MayHaveRun_)
    return finish(
        R, {R.Spec_.Request_, Outcome::Unknown, Reason::RetryBudgetSpent});
  park(R);
}

// Requests with an idempotency key.

void Dispatcher::takeEffects(OpenRequest &R, Effects Out) {
  for (Effect &E : Out) {
    if (auto *S = std::get_if<Send>(&E))
      emitSend(R, std::move(*S));
    else if (auto *A = std::get_if<Answer>(&E))
      finish(R, std::move(*A));
    else {
      Counters_.Fences_ += std::holds_alternative<Fence>(E);
      Out_.push_back(std::move(E));
    }
  }
}

void Dispatcher::afterClaimStep(OpenRequest &R) {
  if (R.Answered_) {
    Counters_.ClaimsSettled_ += R.Claim_->settledOther();
    return;
  }
  if (!R.Claim_->holdsSlot())
    releaseReservation(R);
  if (R.Stage_ != Stage::Claiming)
    return;
  if (R.Claim_->needsWorkers())
    return retryOrPark(R);
  setTimer(R, R.Claim_->wakeAt());
}

void Dispatcher::releaseReservation(OpenRequest &R) {
  if (R.Reserved_)
    Registry_.release(*R.Reserved_);
  R.Reserved_.reset();
}

void Dispatcher::handle(const ClaimWritten &E) {
  OpenRequest *R = find(E.Request_);
  if (R && R->Claim_)
    stepClaim(*R, [&](Claim &C, ClaimStep &Step) { C.onWritten(E, Step); });
}

void Dispatcher::handle(const ClaimRead &E) {
  OpenRequest *R = find(E.Request_);
  if (R && R->Claim_)
    stepClaim(*R, [&](Claim &C, ClaimStep &Step) { C.onRead(E, Step); });
}

void Dispatcher::handle(const FenceEnded &E) {
  OpenRequest *R = find(E.Request_);
  if (R && R->Claim_)
    stepClaim(*R, [&](Claim &C, ClaimStep &Step) { C.onFenceEnded(E, Step); });
}

} // namespace heathercross::request
