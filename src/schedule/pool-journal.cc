// Group commit for the changes of a pool's holder.
#include "schedule/pool-journal.h"

#include "schedule/long-value.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// Maximum delay of a change that is not urgent, so that the ends of many tasks
/// share one transaction.
constexpr Millis NonUrgentDelay{80};
/// The holder renews its row at least this often; other entries claim the duty
/// after about three missed renewals.
constexpr Millis RenewInterval{600};
/// Minimum interval between batches: one partition of the store accepts 200
/// transactions per second.
constexpr Millis MinBatchInterval{8};
/// The delay after a failed attempt; it doubles up to MaxBackoff.
constexpr Millis FirstBackoff{40};
constexpr Millis MaxBackoff{400};
/// The store accepts 100 entries per transaction; the rest is for the holder
/// row and the precondition.
constexpr std::size_t MaxBatchWrites = 90;

std::size_t sizeOf(const RowWrite &W) {
  return W.Value_ ? W.Value_->size() : 0;
}

} // namespace

PoolJournal::PoolJournal(HeldDuty Duty)
    : Self_(std::move(Duty.Self_)), Guard_(Duty.Guard_),
      RenewedAt_(Duty.RenewedAt_), NotBefore_(Duty.RenewedAt_) {}

void PoolJournal::restoreParts(RowKind Kind, const std::string &Key,
                               std::size_t Parts) {
  if (Parts > 1)
    LongValues_[{Kind, Key}] = Parts;
}

PoolJournal::Ticket PoolJournal::put(RowWrite W, bool Urgent, Instant Now) {
  Waiting_.push_back({++Last_, std::move(W), Urgent, Now});
  return Last_;
}

bool PoolJournal::withdraw(Ticket T) {
  const auto It = std::ranges::find(Waiting_, T, &Change::Ticket_);
  if (It == Waiting_.end())
    return false;
  Waiting_.erase(It);
  return true;
}

Instant PoolJournal::dueAt(Instant) const {
  Instant Due = RenewedAt_ + RenewInterval;
  if (Current_)
    Due = NotBefore_;
  for (const Change &C : Waiting_)
    Due = std::min(Due, C.Urgent_ ? C.AddedAt_ : C.AddedAt_ + NonUrgentDelay);
  return std::max(Due, NotBefore_);
}

std::optional<Batch> PoolJournal::next(Instant Now) {
  if (Lost_ || InFlight_ || Now < dueAt(Now))
    return std::nullopt;
  InFlight_ = true;
  if (Current_)
    return Current_;
  CurrentSentAt_ = Now;
  Batch B;
  B.Guard_ = Guard_;
  ++Self_.Serial_;
  B.Holder_ = Self_;
  std::map<RowId, std::size_t> Positions;
  std::size_t Size = 0;
  CurrentLastTicket_ = Durable_;
  while (!Waiting_.empty()) {
    const RowWrite &W = Waiting_.front().Write_;
    const bool Fits = B.Writes_.size() + rowCount(W) <= MaxBatchWrites &&
                      Size + sizeOf(W) <= MaxValueBytes;
    if (!Fits && !B.Writes_.empty())
      break;
    Size += sizeOf(W);
    addRows(W, B, Positions);
    CurrentLastTicket_ = Waiting_.front().Ticket_;
    Waiting_.pop_front();
  }
  Current_ = std::move(B);
  return Current_;
}

std::size_t PoolJournal::rowCount(const RowWrite &W) const {
  const auto Stored = LongValues_.find({W.Kind_, W.Key_});
  return std::max(partCount(sizeOf(W)),
                  Stored == LongValues_.end() ? 1 : Stored->second);
}

void PoolJournal::addRows(const RowWrite &W, Batch &B,
                          std::map<RowId, std::size_t> &Positions) {
  const std::size_t Rows = rowCount(W);
  std::vector<std::string> Parts;
  if (W.Value_)
    Parts = splitValue(*W.Value_);
  for (std::size_t I = 0; I < Rows; ++I) {
    RowWrite Row{W.Kind_, partKey(W.Key_, I), std::nullopt};
    if (I < Parts.size())
      Row.Value_ = std::move(Parts[I]);
    const auto [It, New] =
        Positions.try_emplace({Row.Kind_, Row.Key_}, B.Writes_.size());
    if (New)
      B.Writes_.push_back(std::move(Row));
    else
      B.Writes_[It->second] = std::move(Row);
  }
  // Batches are applied in order, so a later change finds these rows.
  if (Parts.size() > 1)
    LongValues_[{W.Kind_, W.Key_}] = Parts.size();
  else
    LongValues_.erase({W.Kind_, W.Key_});
}

void PoolJournal::applied(RowVersion Guard, Instant SentAt) {
  Guard_ = Guard;
  Durable_ = std::max(Durable_, CurrentLastTicket_);
  Current_.reset();
  InFlight_ = false;
  Uncertain_ = false;
  FailingSince_.reset();
  Backoff_ = Millis(0);
  RenewedAt_ = std::max(RenewedAt_, SentAt);
  NotBefore_ = SentAt + MinBatchInterval;
}

void PoolJournal::committed(RowVersion Guard, Instant SentAt) {
  applied(Guard, SentAt);
}

void PoolJournal::failed(Instant Now) {
  InFlight_ = false;
  if (!FailingSince_)
    FailingSince_ = Now;
  Backoff_ = std::clamp(Backoff_ * 2, FirstBackoff, MaxBackoff);
  NotBefore_ = Now + Backoff_;
}

void PoolJournal::refused(Instant Now) { failed(Now); }

void PoolJournal::outcomeUnknown(Instant Now) {
  Uncertain_ = true;
  failed(Now);
}

void PoolJournal::conflict(const std::optional<HolderRow> &Current,
                           RowVersion Version, Instant SentAt) {
  if (Current && *Current == Self_)
    return applied(Version, std::min(SentAt, CurrentSentAt_));
  InFlight_ = false;
  const bool OwnRow = Current && Current->Holder_ == Self_.Holder_ &&
                      Current->Epoch_ == Self_.Epoch_;
  if (OwnRow && Current->Serial_ < Self_.Serial_ && Version > Guard_) {
    Guard_ = Version;
    if (Current_)
      Current_->Guard_ = Version;
    return;
  }
  Lost_ = true;
}

} // namespace heathercross::schedule
