// Tracks who holds the duty of each pool and decides when an entry claims one.
#include "schedule/duty-watch.h"

#include <algorithm>
#include <string>

namespace heathercross::schedule {

namespace {

/// Three renewal intervals of a holder, which are about 0.6 s each.
constexpr Millis UnresponsiveAfter{1800};
/// Time for another entry's row to show, if the duty ended because of it.
constexpr Millis OwnEndAfter{300};
/// More than one renewal interval, but shorter than UnresponsiveAfter because a
/// closed port shows that the process has ended.
constexpr Millis UnreachableAfter{800};
/// After a longer gap between polls all timeouts start again, because changes
/// could not be observed.
constexpr Millis MaxPollGap{1000};
/// Additional delay for each duty that an entry holds.
constexpr Millis DelayPerDuty{250};
/// Additional delay for an entry with half of the usual processor time.
constexpr Millis SlowEntryDelay{800};
/// Range of the pseudo-random delay that separates entries with equal delays.
constexpr std::uint64_t SpreadMs = 200;

/// Additional delay of the entry that handed a duty over; it is the successor
/// only if the others don't claim.
constexpr Millis HandoverDelay{3000};
/// That delay applies to claims within this time.
constexpr Micros HandoverMemory{Seconds(10)};

/// The entry's name without the id of its process start.
std::string entryName(const EntryId &Id) {
  return Id.str().substr(0, Id.str().find('/'));
}

} // namespace

const char *causeName(ClaimCause C) {
  switch (C) {
  case ClaimCause::Vacant:
    return "vacant";
  case ClaimCause::OwnRestart:
    return "own-restart";
  case ClaimCause::OwnEnd:
    return "own-end";
  case ClaimCause::Unreachable:
    return "unreachable";
  case ClaimCause::Unresponsive:
    return "silent";
  }
  return "unknown";
}

DutyWatch::DutyWatch(EntryId Self, double DelayFactor, std::set<PoolId> Kept)
    : Self_(std::move(Self)), DelayFactor_(DelayFactor),
      Kept_(std::move(Kept)) {}

void DutyWatch::addPools(const std::set<PoolId> &Pools, Instant Now) {
  for (const PoolId &P : Pools)
    if (!Watches_.contains(P))
      Watches_[P].UnchangedSince_ = Now;
  Pools_.insert(Pools.begin(), Pools.end());
}

void DutyWatch::holderRead(const PoolId &Pool, const StoredHolder &Holder,
                           Instant Now) {
  // A pool that has had a holder may have jobs to finish, even if the
  // configuration doesn't name it any more.
  Pools_.insert(Pool);
  Watch &W = Watches_[Pool];
  if (W.Stored_ && W.Stored_->Version_ >= Holder.Version_)
    return;
  const Epoch Known = W.Stored_ ? W.Stored_->Row_.Epoch_ : Epoch(1);
  if (Known < Holder.Row_.Epoch_)
    W.EarlierActUntil_ = Now + MaxRenewalAge;
  if (!Holder.Row_.Holder_.empty() && Holder.Row_.Holder_ != Self_)
    W.HandedOverAt_.reset();
  W.Stored_ = Holder;
  W.UnchangedSince_ = Now;
  W.Unreachable_ = false;
}

void DutyWatch::holderUnreachable(const PoolId &Pool) {
  Watches_[Pool].Unreachable_ = true;
}

std::pair<Millis, ClaimCause> DutyWatch::unchangedLimit(const Watch &W) const {
  if (!W.Stored_ || W.Stored_->Row_.Holder_.empty())
    return {Millis(0), ClaimCause::Vacant};
  if (hasEndedHere(W))
    return {OwnEndAfter, ClaimCause::OwnEnd};
  if (entryName(W.Stored_->Row_.Holder_) == entryName(Self_))
    return {Millis(0), ClaimCause::OwnRestart};
  if (W.Unreachable_)
    return {UnreachableAfter, ClaimCause::Unreachable};
  return {UnresponsiveAfter, ClaimCause::Unresponsive};
}

Instant DutyWatch::actsUntil(const Watch &W, ClaimCause Cause, Instant Now) {
  switch (Cause) {
  case ClaimCause::Vacant:
    return std::max(W.UnchangedSince_, W.EarlierActUntil_);
  case ClaimCause::OwnRestart:
  case ClaimCause::OwnEnd:
    return std::max(Now, W.EarlierActUntil_);
  case ClaimCause::Unreachable:
  case ClaimCause::Unresponsive:
    break;
  }
  return W.UnchangedSince_ + MaxRenewalAge;
}

void DutyWatch::claimRefused(Instant Now) {
  for (auto &[Pool, W] : Watches_)
    W.UnchangedSince_ = Now;
}

void DutyWatch::polled(Instant Now) {
  if (Now - LastPoll_ > MaxPollGap)
    claimRefused(Now); // restarts all timeouts
  LastPoll_ = Now;
}

Millis DutyWatch::claimDelay(const PoolId &Pool, std::size_t Held) const {
  const std::size_t Hash =
      std::hash<std::string>()(Self_.str() + "/" + Pool.str());
  const double Delay =
      static_cast<double>(DelayPerDuty.count()) * static_cast<double>(Held) +
      static_cast<double>(Hash % SpreadMs);
  // Entries with less processor time than usual wait longer than the others.
  const double ExtraDelay = static_cast<double>(SlowEntryDelay.count()) *
                            std::max(0.0, DelayFactor_ - 1);
  return Millis(static_cast<std::int64_t>(Delay * DelayFactor_ + ExtraDelay));
}

bool DutyWatch::mustRelease(const PoolId &Pool, const Watch &W) const {
  return DelayFactor_ > 1 && !Kept_.contains(Pool) && W.Stored_ &&
         W.Stored_->Row_.Holder_ != Self_ &&
         unchangedLimit(W).second == ClaimCause::OwnRestart;
}

Millis DutyWatch::handoverDelay(const Watch &W, Instant Now) {
  return W.HandedOverAt_ && Now - *W.HandedOverAt_ < HandoverMemory
             ? HandoverDelay
             : Millis(0);
}

template <class Predicate>
std::optional<Claim> DutyWatch::mostOverdue(std::size_t Duties, Instant Now,
                                            Predicate Selected) {
  if (LastPoll_ == Instant() || Now - LastPoll_ > MaxPollGap)
    return std::nullopt;
  std::optional<Claim> Best;
  Micros BestOverdue{0};
  for (const PoolId &P : Pools_) {
    const Watch &W = Watches_[P];
    const bool Held =
        W.Stored_ && W.Stored_->Row_.Holder_ == Self_ && !hasEndedHere(W);
    if (Held || mustRelease(P, W) || !Selected(W))
      continue;
    const auto [Timeout, Cause] = unchangedLimit(W);
    const bool OwnRestart = Cause == ClaimCause::OwnRestart;
    const Micros Limit =
        OwnRestart ? Millis(0)
                   : Timeout + claimDelay(P, Duties) + handoverDelay(W, Now);
    const Micros Overdue = Now - W.UnchangedSince_ - Limit;
    if (Overdue < Micros(0) || (Best && Overdue <= BestOverdue))
      continue;
    BestOverdue = Overdue;
    Best = Claim{P, W.Stored_ ? W.Stored_->Version_ : RowVersion(),
                 W.Stored_ ? W.Stored_->Row_.Epoch_.next() : Epoch(1), Cause,
                 actsUntil(W, Cause, Now)};
  }
  return Best;
}

std::optional<Claim> DutyWatch::nextClaim(std::size_t Held, Instant Now) {
  return mostOverdue(Held, Now, [](const Watch &) { return true; });
}

std::optional<Claim> DutyWatch::nextReleasedClaim(std::size_t Held,
                                                  Instant Now) {
  if (DelayFactor_ >= 1)
    return std::nullopt;
  return mostOverdue(Held, Now, [](const Watch &W) {
    return W.Stored_ && W.Stored_->Row_.Holder_.empty();
  });
}

std::optional<StoredHolder> DutyWatch::nextRelease(PoolId &Pool,
                                                   Instant Now) const {
  if (LastPoll_ == Instant() || Now - LastPoll_ > MaxPollGap)
    return std::nullopt;
  for (const auto &[P, W] : Watches_)
    if (mustRelease(P, W)) {
      Pool = P;
      return W.Stored_;
    }
  return std::nullopt;
}

bool DutyWatch::mayBegin(const PoolId &Pool) const {
  const auto It = Watches_.find(Pool);
  return It != Watches_.end() && It->second.Stored_ &&
         It->second.Stored_->Row_.Holder_ == Self_ &&
         It->second.Begun_ < It->second.Stored_->Row_.Epoch_;
}

void DutyWatch::begun(const PoolId &Pool, Epoch E) {
  Watch &W = Watches_[Pool];
  W.Begun_ = E;
  W.Ended_ = false;
}

void DutyWatch::ended(const PoolId &Pool, Instant Now) {
  Watch &W = Watches_[Pool];
  W.Ended_ = true;
  if (hasEndedHere(W))
    W.UnchangedSince_ = Now;
}

bool DutyWatch::hasEndedHere(const Watch &W) const {
  return W.Ended_ && W.Stored_ && W.Stored_->Row_.Holder_ == Self_ &&
         W.Stored_->Row_.Epoch_ <= W.Begun_;
}

void DutyWatch::handedOver(const PoolId &Pool, Instant Now) {
  Watches_[Pool].HandedOverAt_ = Now;
}

std::optional<StoredHolder> DutyWatch::holder(const PoolId &Pool) const {
  const auto It = Watches_.find(Pool);
  if (It == Watches_.end() || !It->second.Stored_ ||
      It->second.Stored_->Row_.Holder_.empty())
    return std::nullopt;
  return It->second.Stored_;
}

} // namespace heathercross::schedule
