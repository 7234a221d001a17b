// Group commit for the changes of a pool's holder.
#include "schedule/pool-journal.h"

#include <algorithm>
#include <map>
#include <utility>

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
/// The store accepts 1 MB per transaction; the rest is for base64 and JSON
/// overhead.
constexpr std::size_t MaxBatchBytes = 600'000;

} // namespace

PoolJournal::PoolJournal(HolderRow Self, RowVersion Guard, Instant Now)
    : Self_(std::move(Self)), Guard_(Guard), RenewedAt_(Now), NotBefore_(Now) {}

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
  Batch B;
  B.Guard_ = Guard_;
  ++Self_.Serial_;
  B.Holder_ = Self_;
  std::map<std::pair<RowKind, std::string>, std::size_t> Positions;
  std::size_t Size = 0;
  CurrentLastTicket_ = Durable_;
  while (!Waiting_.empty() && B.Writes_.size() < MaxBatchWrites &&
         Size < MaxBatchBytes) {
    Change C = std::move(Waiting_.front());
    Waiting_.pop_front();
    CurrentLastTicket_ = C.Ticket_;
    Size += C.Write_.Value_ ? C.Write_.Value_->size() : 0;
    const auto [It, New] = Positions.try_emplace(
        {C.Write_.Kind_, C.Write_.Key_}, B.Writes_.size());
    if (New)
      B.Writes_.push_back(std::move(C.Write_));
    else
      B.Writes_[It->second] = std::move(C.Write_);
  }
  Current_ = std::move(B);
  return Current_;
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
    return applied(Version, SentAt);
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
