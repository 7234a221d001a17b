// Acquisition, renewal and release of the lease of a control duty.
#include "core/duty-lease.h"

#include "core/json-node.h"

namespace heathercross {

namespace {

constexpr Bytes MaxLeaseRowSize = 4_KiB;
/// A JSON number is a double, which represents integers exactly up to 2^53.
constexpr std::uint64_t MaxCount = std::uint64_t{1} << 53;

} // namespace

std::string encodeLease(const LeaseRow &Lease) {
  return jsonText({{"holder", jsonValue(Lease.Holder_.str())},
                   {"epoch", jsonValue(Lease.Epoch_.value())},
                   {"beat", jsonValue(Lease.Heartbeat_)}});
}

LeaseRow decodeLease(std::string_view Text) {
  const JsonNode Node = JsonNode::parse(Text, MaxLeaseRowSize);
  return {Node.field("holder").idOrEmpty<EntryId>(),
          Epoch(Node.field("epoch").number(0, MaxCount)),
          Node.field("beat").number(0, MaxCount)};
}

DutyLease::DutyLease(std::string_view Duty, EntryId Self,
                     std::uint64_t Incarnation, DutyLeaseSettings Settings)
    : Key_("lease/" + std::string(Duty)), Self_(std::move(Self)),
      Incarnation_(Incarnation), Settings_(Settings) {}

LeaseEffects DutyLease::tick(Instant Now) {
  LeaseEffects Effects = expire(Now);
  if (Released_ ||
      (LastRequestAt_ && Now - *LastRequestAt_ < Settings_.Interval_))
    return Effects;
  const bool Renew = Holding_ && !Pending_;
  LeaseRow Next = LastRow_;
  ++Next.Heartbeat_;
  for (LeaseEffect &E : Renew ? write(Now, Next) : read(Now))
    Effects.push_back(std::move(E));
  return Effects;
}

LeaseEffects DutyLease::onRead(Instant Now, const std::optional<Row> &Current) {
  if (Released_)
    return {};
  if (Current && Current->Version_ > Version_)
    recordRow(Now, *Current);
  if (Pending_ && Current && Current->Writer_ == Pending_->Write_.Attempt_)
    return confirm(Now, Current->Version_);
  LeaseEffects Effects = dropIfOverwritten();
  const LeaseEffects More = Pending_
                                ? LeaseEffects{WriteLease{Pending_->Write_}}
                                : acquireIfFree(Now);
  Effects.insert(Effects.end(), More.begin(), More.end());
  return Effects;
}

LeaseEffects DutyLease::dropIfOverwritten() {
  const bool Overwritten =
      Pending_ && Pending_->Write_.Expect_[0].Version_ != Version_;
  if (Overwritten)
    Pending_.reset();
  const bool Lost =
      Holding_ && (LastRow_.Holder_ != Self_ || LastRow_.Epoch_ != HeldEpoch_);
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
  // An earlier transmission of the same attempt may have committed and caused
  // this conflict, so the row is read back.
  if (Result.Status_ == CommitStatus::Conflict)
    return read(Now);
  return expire(Now);
}

LeaseEffects DutyLease::release() {
  Released_ = true;
  if (!Holding_)
    return {};
  Holding_ = false;
  LeaseRow Next = LastRow_;
  Next.Holder_ = EntryId();
  ++Next.Heartbeat_;
  LeaseEffects Effects{DutyEnded()};
  for (LeaseEffect &E : write(RenewedAt_, Next))
    Effects.push_back(std::move(E));
  return Effects;
}

bool DutyLease::held(Instant Now) const {
  return Holding_ && Now - RenewedAt_ < lifetime();
}

Epoch DutyLease::epoch(Instant Now) const {
  return held(Now) ? HeldEpoch_ : Epoch();
}

Expectation DutyLease::guard(Instant Now) const {
  if (!held(Now))
    raise(DutyNotHeld(Key_));
  return {Key_, Version_};
}

void DutyLease::recordRow(Instant Now, const Row &Current) {
  LastRow_ = decodeLease(Current.Value_);
  Version_ = Current.Version_;
  UnchangedSince_ = Now;
}

bool DutyLease::mayAcquire(Instant Now) const {
  if (Version_ == RowVersion() || LastRow_.Holder_.empty())
    return true;
  const bool OwnExpired =
      LastRow_.Holder_ == Self_ && LastRow_.Epoch_ == HeldEpoch_;
  return OwnExpired || Now - UnchangedSince_ >= Settings_.Duration_;
}

LeaseEffects DutyLease::acquireIfFree(Instant Now) {
  if (Holding_ || !mayAcquire(Now))
    return {};
  return write(Now, {Self_, LastRow_.Epoch_.next(), LastRow_.Heartbeat_ + 1});
}

LeaseEffects DutyLease::read(Instant Now) {
  LastRequestAt_ = Now;
  return {ReadLease{Key_}};
}

LeaseEffects DutyLease::write(Instant Now, LeaseRow Next) {
  LastRequestAt_ = Now;
  Transaction T;
  T.Attempt_ = AttemptId(Self_.str() + "." + std::to_string(Incarnation_) +
                         "." + Key_ + "." + std::to_string(++AttemptCount_));
  T.Expect_ = {{Key_, Version_}};
  T.Put_ = {{Key_, encodeLease(Next)}};
  Pending_ = Pending{std::move(Next), T, Now};
  return {WriteLease{std::move(T)}};
}

LeaseEffects DutyLease::confirm(Instant Now, RowVersion Version) {
  if (Version_ != Version)
    UnchangedSince_ = Now;
  LastRow_ = Pending_->Row_;
  Version_ = Version;
  HeldEpoch_ = LastRow_.Epoch_;
  RenewedAt_ = Pending_->FirstSentAt_;
  Pending_.reset();
  const bool Acquired = !Holding_;
  Holding_ = true;
  LeaseEffects Expired = expire(Now);
  if (!Expired.empty())
    return Acquired ? LeaseEffects() : Expired;
  return Acquired ? LeaseEffects{DutyBegan{HeldEpoch_}} : LeaseEffects();
}

LeaseEffects DutyLease::expire(Instant Now) {
  if (!Holding_ || held(Now))
    return {};
  Holding_ = false;
  return {DutyEnded()};
}

} // namespace heathercross
