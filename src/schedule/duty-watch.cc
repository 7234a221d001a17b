// Who holds the duty of each pool, and when an entry should take one.
#include "schedule/duty-watch.h"

#include <algorithm>
#include <string>

namespace heathercross::schedule {

namespace {

/// Three renewals of a holder, which come about every 0.6 s.
constexpr Millis SilentAfter{1800};
/// Two renewals: a process that has ended leaves its port closed.
constexpr Millis UnreachableAfter{800};
/// After a gap between polls, silence is counted anew: nothing could be seen.
constexpr Millis MaxPollGap{1000};
/// How much longer an entry waits for each duty that it has.
constexpr Millis DelayPerDuty{250};
/// How much longer an entry waits that has half of the usual processor time.
constexpr Millis WeakDelay{800};
/// Entries that wait equally long are set apart by up to this much.
constexpr std::uint64_t SpreadMs = 200;

/// The entry's name without what tells its starts apart.
std::string nameOf(const EntryId &Id) {
  return Id.str().substr(0, Id.str().find('/'));
}

} // namespace

const char *causeName(ClaimCause C) {
  switch (C) {
  case ClaimCause::Vacant:
    return "vacant";
  case ClaimCause::OwnRestart:
    return "own-restart";
  case ClaimCause::Unreachable:
    return "unreachable";
  case ClaimCause::Silent:
    return "silent";
  }
  return "unknown";
}

DutyWatch::DutyWatch(EntryId Self, double Weight)
    : Self_(std::move(Self)), Weight_(Weight) {}

void DutyWatch::setPools(std::set<PoolId> Pools, Instant Now) {
  for (const PoolId &P : Pools)
    if (!Watches_.contains(P))
      Watches_[P].QuietSince_ = Now;
  Pools_ = std::move(Pools);
}

void DutyWatch::saw(const PoolId &Pool, const KnownHolder &Holder,
                    Instant Now) {
  Watch &W = Watches_[Pool];
  if (W.Known_ && W.Known_->Version_ >= Holder.Version_)
    return;
  W.Known_ = Holder;
  W.QuietSince_ = Now;
  W.Unreachable_ = false;
}

void DutyWatch::unreachable(const PoolId &Pool) {
  Watches_[Pool].Unreachable_ = true;
}

std::pair<Millis, ClaimCause> DutyWatch::quietLimit(const Watch &W) const {
  if (!W.Known_ || W.Known_->Row_.Holder_.empty())
    return {Millis(0), ClaimCause::Vacant};
  if (nameOf(W.Known_->Row_.Holder_) == nameOf(Self_))
    return {Millis(0), ClaimCause::OwnRestart};
  if (W.Unreachable_)
    return {UnreachableAfter, ClaimCause::Unreachable};
  return {SilentAfter, ClaimCause::Silent};
}

void DutyWatch::refused(Instant Now) {
  for (auto &[Pool, W] : Watches_)
    W.QuietSince_ = Now;
}

void DutyWatch::polled(Instant Now) {
  if (Now - LastPoll_ > MaxPollGap)
    refused(Now);
  LastPoll_ = Now;
}

Millis DutyWatch::patience(const PoolId &Pool, std::size_t Held) const {
  const std::size_t Mixed =
      std::hash<std::string>()(Self_.str() + "/" + Pool.str());
  const double Delay =
      static_cast<double>(DelayPerDuty.count()) * static_cast<double>(Held) +
      static_cast<double>(Mixed % SpreadMs);
  // Entries with less processor time than usual let the others go first.
  const double Deference =
      static_cast<double>(WeakDelay.count()) * std::max(0.0, Weight_ - 1);
  return Millis(static_cast<std::int64_t>(Delay * Weight_ + Deference));
}

std::optional<Claim> DutyWatch::due(std::size_t Held, Instant Now) {
  if (LastPoll_ == Instant() || Now - LastPoll_ > MaxPollGap)
    return std::nullopt;
  std::optional<Claim> Best;
  Micros BestOver{0};
  for (const PoolId &P : Pools_) {
    const Watch &W = Watches_[P];
    if (W.Known_ && W.Known_->Row_.Holder_ == Self_)
      continue;
    const auto [Quiet, Cause] = quietLimit(W);
    const bool Own = Cause == ClaimCause::OwnRestart;
    const Micros Limit = Own ? Millis(0) : Quiet + patience(P, Held);
    const Micros Over = Now - W.QuietSince_ - Limit;
    if (Over < Micros(0) || (Best && Over <= BestOver))
      continue;
    BestOver = Over;
    Best = Claim{P, W.Known_ ? W.Known_->Version_ : RowVersion(),
                 W.Known_ ? W.Known_->Row_.Epoch_.next() : Epoch(1), Cause};
  }
  return Best;
}

std::optional<KnownHolder> DutyWatch::holder(const PoolId &Pool) const {
  const auto It = Watches_.find(Pool);
  if (It == Watches_.end() || !It->second.Known_ ||
      It->second.Known_->Row_.Holder_.empty())
    return std::nullopt;
  return It->second.Known_;
}

} // namespace heathercross::schedule
