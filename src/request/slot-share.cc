// Which worker a request goes to: hashing and the policies' ranks.
#include "request/slot-share.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace heathercross::request {

namespace {
/// What separates the ranks of borrowed slots from those of own slots.
constexpr Rank Borrowed = 1000;
/// The rank of a worker that nothing is known of and of which no slot falls to
/// this entry: one request at a time finds out.
constexpr Rank LastResort = 1'000'000;

/// What one refusal adds to the margin, what a second without any takes off
/// it, and the most that it can be.
constexpr double MarginPerRefusal = 0.25;
constexpr double MarginPerSecond = 1.0;
constexpr double MostMargin = 3.0;

/// What each failure in a row adds to a worker's rank: those that are in doubt
/// but not avoided are used last.
constexpr Rank PerFailure = 500;

/// How long a failure makes a worker the last choice. A worker that is never
/// used can't show that it is healthy, so the doubt has to end.
constexpr Micros DoubtFor = Millis(250);

Rank doubt(const WorkerState &W, Instant Now) {
  if (Now - W.Health_.FailedAt_ >= DoubtFor)
    return 0;
  return PerFailure * static_cast<Rank>(W.Health_.Causes_.size());
}

std::uint32_t usable(const WorkerState &W, const Ask &A) {
  return partOf(W.Total_, std::min(A.Most_, 1 - A.Reserve_));
}
} // namespace

double BorrowMargin::at(Instant Now) const {
  const std::chrono::duration<double> Since = Now - LevelAt_;
  return std::max(0.0, Level_ - Since.count() * MarginPerSecond);
}

void BorrowMargin::refused(Instant Now) {
  Level_ = std::min(MostMargin, at(Now) + MarginPerRefusal);
  LevelAt_ = Now;
}

std::uint32_t BorrowMargin::slots(Instant Now) const {
  return static_cast<std::uint32_t>(std::lround(at(Now)));
}

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t H = 0xCBF29CE484222325ULL;
  for (const char C : Text)
    H = (H ^ static_cast<unsigned char>(C)) * 0x100000001B3ULL;
  return H;
}

std::uint32_t partOf(std::uint32_t Slots, double Part) {
  if (Part <= 0)
    return 0;
  const auto Whole = static_cast<std::uint32_t>(std::floor(Slots * Part));
  return std::clamp<std::uint32_t>(Whole, 1, std::max(1U, Slots));
}

std::uint32_t slotShare(const InstanceId &Worker, std::uint32_t Slots,
                        const EntryId &Entry,
                        std::span<const EntryId> LiveEntries) {
  const std::uint64_t Base = stableHash(Worker.str());
  const std::uint64_t Own = stableHash(Entry.str());
  std::vector<std::uint64_t> Others;
  for (const EntryId &E : LiveEntries)
    if (E != Entry)
      Others.push_back(stableHash(E.str()));
  std::uint32_t Share = 0;
  for (std::uint32_t Slot = 0; Slot != Slots; ++Slot) {
    const std::uint64_t SlotBase = mix(Base, Slot);
    const std::uint64_t OwnWeight = mix(SlotBase, Own);
    const bool Wins = std::ranges::all_of(Others, [&](std::uint64_t Other) {
      return mix(SlotBase, Other) < OwnWeight;
    });
    Share += Wins ? 1 : 0;
  }
  return Share;
}

std::optional<Rank> RandomPicker::rank(const WorkerState &W,
                                       const Ask &A) const {
  if (W.InFlight_ >= usable(W, A))
    return std::nullopt;
  return 0;
}

std::optional<Rank> LeastLoadedPicker::rank(const WorkerState &W,
                                            const Ask &A) const {
  if (W.InFlight_ >= usable(W, A))
    return std::nullopt;
  return W.InFlight_ + doubt(W, A.Now_);
}

std::optional<Rank> SharedSlotsPicker::rank(const WorkerState &W,
                                            const Ask &A) const {
  const bool Fresh = W.reportFresh(A.Now_, A.ReportFresh_);
  const std::uint32_t Load = W.load(Fresh);
  if (W.InFlight_ >= W.ConnectionShare_ || Load >= W.Total_)
    return std::nullopt;
  const std::uint32_t Limit = usable(W, A);
  const bool InShare =
      W.InFlight_ < W.Share_ && W.InFlight_ < Limit && Load < Limit;
  if (InShare)
    return Load + doubt(W, A.Now_);
  if (Fresh && Load + A.BorrowMargin_ < Limit)
    return Borrowed + Load + doubt(W, A.Now_);
  if (!Fresh && W.Share_ == 0 && W.InFlight_ == 0)
    return LastResort;
  return std::nullopt;
}

} // namespace heathercross::request
