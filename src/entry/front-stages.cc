// The stages of a call whose ingress has moved between pools.
#include "entry/front.h"

#include "platform/ingress.h"

#include <utility>

namespace heathercross::entry {

namespace {

constexpr int Ok = 200;

} // namespace

Front::Attempt Front::beginAttempt(const CallPtr &C, Epoch E) {
  if (!asksFormer(*C))
    C->Open_.begin(E);
  return {C->Stage_, E};
}

void Front::ruleOut(const CallPtr &C, const Attempt &T) {
  // Stages at the routed pool are even.
  if (T.Stage_ % 2 == 0)
    C->Open_.ruleOut(T.Epoch_);
}

void Front::askFormer(const CallPtr &C, const JobAnswer &A) {
  C->ToAsk_ = A.Former_;
  C->AskedEpoch_.reset();
  C->Request_.Ingress_.Asked_.clear();
  C->Request_.Ingress_.FormerFor_ = A.ClaimedFor_;
  // The first stage at a former pool is odd, as each round has two.
  ++C->Stage_;
  C->Request_.Pool_ = *C->ToAsk_.begin();
  attempt(C);
}

void Front::nextStage(const CallPtr &C) {
  IngressCall &I = C->Request_.Ingress_;
  C->ToAsk_.erase(C->Request_.Pool_);
  I.Asked_.insert(C->Request_.Pool_);
  C->AskedEpoch_.reset();
  if (!C->ToAsk_.empty()) {
    // Stays odd.
    C->Stage_ += 2;
    C->Request_.Pool_ = *C->ToAsk_.begin();
    return attempt(C);
  }
  ++C->Stage_;
  I.AskedFor_ = std::exchange(I.FormerFor_, 0);
  C->Request_.Pool_ = C->RoutedPool_;
  if (C->Request_.Kind_ == JobCall::Kind::Queued)
    return answer(C, Ok, platform_api::queuedBody(C->Queued_), "");
  attempt(C);
}

void Front::handleQueued(const CallPtr &C, const JobAnswer &A) {
  C->Queued_ += A.Queued_;
  if (asksFormer(*C))
    return nextStage(C);
  if (A.Former_.empty())
    return answer(C, Ok, platform_api::queuedBody(C->Queued_), "");
  askFormer(C, A);
}

} // namespace heathercross::entry
