// Taking, renewing and giving up the lease of a control duty.
#include "core/duty-lease.h"

#include "core/json-place.h"

namespace heathercross {

namespace {

constexpr Bytes MaxLeaseSize = 4_KiB;
constexpr std::uint64_t MaxCount = std::uint64_t{1} << 53;

} // namespace

std::string encodeLease(const LeaseRow &Lease) {
  return jsonText({{"holder", jsonValue(Lease.Holder_.str())},
                   {"epoch", jsonValue(Lease.Epoch_.value())},
                   {"beat", jsonValue(Lease.Beat_)}});
}

LeaseRow decodeLease(std::string_view Text) {
  const JsonPlace Place = JsonPlace::parse(Text, MaxLeaseSize);
  return {Place.field("holder").idOrEmpty<EntryId>(),
          Epoch(Place.field("epoch").number(0, MaxCount)),
          Place.field("beat").number(0, MaxCount)};
}

DutyLease::DutyLease(std::string_view Duty, EntryId Self,
                     std::uint64_t Incarnation, DutyLeaseSettings Settings)
    : Key_("lease/" + std::string(Duty)), Self_(std::move(Self)),
      Incarnation_(Incarnation), Settings_(Settings) {}

LeaseEffects DutyLease::tick(Instant Now) {
  LeaseEffects Effects = expire(Now);
  if (Released_ || (AskedAt_ && Now - *AskedAt_ < Settings_.Interval_))
    return Effects;
  const bool Renew = Holding_ && !Pending_;
  LeaseRow Next = Seen_;
  ++Next.Beat_;
  for (LeaseEffect &E : Renew ? write(Now, Next) : read(Now))
    Effects.push_back(std::move(E));
  return Effects;
}

LeaseEffects DutyLease::onRead(Instant Now, const std::optional<Row> &Found) {
  if (Released_)
    return {};
  if (Found && Found->Version_ > Version_)
    see(Now, *Found);
  if (Pending_ && Found && Found->Writer_ == Pending_->Write_.Attempt_)
    return confirm(Now, Found->Version_);
  LeaseEffects Effects = dropIfOvertaken();
  const LeaseEffects More =
      Pending_ ? LeaseEffects{WriteLease{Pending_->Write_}} : afterRead(Now);
  Effects.insert(Effects.end(), More.begin(), More.end());
  return Effects;
}

LeaseEffects DutyLease::dropIfOvertaken() {
  const bool Overtaken =
      Pending_ && Pending_->Write_.Expect_[0].Version_ != Version_;
  if (Overtaken)
    Pending_.reset();
  const bool Lost =
      Holding_ && (Seen_.Holder_ != Self_ || Seen_.Epoch_ != HeldEpoch_);
  if (!Lost)
    return {};
  Holding_ = false;
  return {DutyEnded()};
}

LeaseEffects DutyLease::onReadFailed(Instant Now) { return expire(Now); }

LeaseEffects DutyLease::onWritten(Instant Now, const AttemptId &Attempt,
                                  const CommitResult &Result) {
  if (Released_ || !Pending_ || Pending_->Write_.Attempt_ != Attempt)
    return {};
  if (Result.Status_ == CommitStatus::Committed)
    return confirm(Now, Result.Version_);
  // Also a conflict may come from an earlier sending of the same attempt.
  if (Result.Status_ == CommitStatus::Conflict)
    return read(Now);
  return expire(Now);
}

LeaseEffects DutyLease::release() {
  Released_ = true;
  if (!Holding_)
    return {};
  Holding_ = false;
  LeaseRow Next = Seen_;
  Next.Holder_ = EntryId();
  ++Next.Beat_;
  LeaseEffects Effects{DutyEnded()};
  for (LeaseEffect &E : write(HeldSince_, Next))
    Effects.push_back(std::move(E));
  return Effects;
}

bool DutyLease::held(Instant Now) const {
  return Holding_ && Now - HeldSince_ < lifetime();
}

Epoch DutyLease::epoch(Instant Now) const {
  return held(Now) ? HeldEpoch_ : Epoch();
}

Expectation DutyLease::guard(Instant Now) const {
  if (!held(Now))
    raise(DutyNotHeld(Key_));
  return {Key_, Version_};
}

void DutyLease::see(Instant Now, const Row &Found) {
  Seen_ = decodeLease(Found.Value_);
  Version_ = Found.Version_;
  SeenSince_ = Now;
}

bool DutyLease::mayTake(Instant Now) const {
  if (Version_ == RowVersion() || Seen_.Holder_.empty())
    return true;
  const bool OwnLapsed = Seen_.Holder_ == Self_ && Seen_.Epoch_ == HeldEpoch_;
  return OwnLapsed || Now - SeenSince_ >= Settings_.Length_;
}

LeaseEffects DutyLease::afterRead(Instant Now) {
  if (Holding_ || !mayTake(Now))
    return {};
  return write(Now, {Self_, Seen_.Epoch_.next(), Seen_.Beat_ + 1});
}

LeaseEffects DutyLease::read(Instant Now) {
  AskedAt_ = Now;
  return {ReadLease{Key_}};
}

LeaseEffects DutyLease::write(Instant Now, LeaseRow Next) {
  AskedAt_ = Now;
  Transaction T;
  T.Attempt_ = AttemptId(Self_.str() + "." + std::to_string(Incarnation_) +
                         "." + Key_ + "." + std::to_string(++Attempts_));
  T.Expect_ = {{Key_, Version_}};
  T.Put_ = {{Key_, encodeLease(Next)}};
  Pending_ = Pending{std::move(Next), T, Now};
  return {WriteLease{std::move(T)}};
}

LeaseEffects DutyLease::confirm(Instant Now, RowVersion Version) {
  if (Version_ != Version)
    SeenSince_ = Now;
  Seen_ = Pending_->Row_;
  Version_ = Version;
  HeldEpoch_ = Seen_.Epoch_;
  HeldSince_ = Pending_->Since_;
  Pending_.reset();
  const bool Began = !Holding_;
  Holding_ = true;
  LeaseEffects Late = expire(Now);
  if (!Late.empty())
    return Began ? LeaseEffects() : Late;
  return Began ? LeaseEffects{DutyBegan{HeldEpoch_}} : LeaseEffects();
}

LeaseEffects DutyLease::expire(Instant Now) {
  if (!Holding_ || held(Now))
    return {};
  Holding_ = false;
  return {DutyEnded()};
}

} // namespace heathercross
