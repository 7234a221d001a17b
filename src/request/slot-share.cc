// Slot division by rendezvous hashing, and the ranks of the picker policies.
#include "request/slot-share.h"

#include <algorithm>
#include <cmath>
#include <string_view>

namespace heathercross::request {

namespace {
/// Added to the rank of borrowed slots, so that they rank after own slots.
constexpr Rank BorrowedRank = 1000;
/// Rank of a worker without a fresh report and without slots that belong to
/// this entry. It gets one request at a time, whose result shows whether it has
/// room.
constexpr Rank LastResortRank = 1'000'000;

/// Increase of the margin per refusal, its decay per second, and its maximum,
/// in slots.
constexpr double MarginPerRefusal = 0.25;
constexpr double MarginPerSecond = 1.0;
constexpr double MaxMargin = 3.0;

/// Added to a worker's rank for each consecutive failure, so that workers with
/// recent failures are used last.
constexpr Rank RankPerFailure = 500;

/// How long a failure raises a worker's rank. The penalty expires because a
/// worker that gets no requests can't prove that it is healthy.
constexpr Micros PenaltyDuration = Millis(250);

Rank failurePenalty(const WorkerState &W, Instant Now) {
  if (Now - W.Health_.FailedAt_ >= PenaltyDuration)
    return 0;
  return RankPerFailure * static_cast<Rank>(W.Health_.FailedBodies_.size());
}

std::uint32_t usableSlots(const WorkerState &W, const SearchTerms &Terms) {
  return scaleSlots(W.SlotCount_,
                    std::min(Terms.MaxShare_, 1 - Terms.ReservedShare_));
}
} // namespace

double BorrowMargin::levelAt(Instant Now) const {
  const std::chrono::duration<double> Elapsed = Now - LevelAt_;
  return std::max(0.0, Level_ - Elapsed.count() * MarginPerSecond);
}

void BorrowMargin::refused(Instant Now) {
  Level_ = std::min(MaxMargin, levelAt(Now) + MarginPerRefusal);
  LevelAt_ = Now;
}

std::uint32_t BorrowMargin::slots(Instant Now) const {
  return static_cast<std::uint32_t>(std::lround(levelAt(Now)));
}

std::uint64_t stableHash(std::string_view Text) {
  std::uint64_t H = 0xCBF29CE484222325ULL;
  for (const char C : Text)
    H = (H ^ static_cast<unsigned char>(C)) * 0x100000001B3ULL;
  return H;
}

std::uint32_t scaleSlots(std::uint32_t Slots, double Fraction) {
  if (Fraction <= 0)
    return 0;
  const auto Scaled = static_cast<std::uint32_t>(std::floor(Slots * Fraction));
  return std::clamp<std::uint32_t>(Scaled, 1, std::max(1U, Slots));
}

std::uint32_t slotShare(const InstanceId &Worker, std::uint32_t Slots,
                        const EntryId &Entry,
                        std::span<const EntryId> LiveEntries) {
  const std::uint64_t WorkerHash = stableHash(Worker.str());
  const std::uint64_t OwnHash = stableHash(Entry.str());
  std::vector<std::uint64_t> OtherHashes;
  for (const EntryId &E : LiveEntries)
    if (E != Entry)
      OtherHashes.push_back(stableHash(E.str()));
  std::uint32_t Share = 0;
  for (std::uint32_t Slot = 0; Slot != Slots; ++Slot) {
    const std::uint64_t SlotBase = mix(WorkerHash, Slot);
    const std::uint64_t OwnWeight = mix(SlotBase, OwnHash);
    const bool Wins =
        std::ranges::all_of(OtherHashes, [&](std::uint64_t OtherHash) {
          return mix(SlotBase, OtherHash) < OwnWeight;
        });
    Share += Wins ? 1 : 0;
  }
  return Share;
}

std::optional<Rank> RandomPicker::rank(const WorkerState &W,
                                       const SearchTerms &Terms) const {
  if (W.InFlight_ >= usableSlots(W, Terms))
    return std::nullopt;
  return 0;
}

std::optional<Rank> LeastLoadedPicker::rank(const WorkerState &W,
                                            const SearchTerms &Terms) const {
  if (W.InFlight_ >= usableSlots(W, Terms))
    return std::nullopt;
  return W.InFlight_ + failurePenalty(W, Terms.Now_);
}

std::optional<Rank> SharedSlotsPicker::rank(const WorkerState &W,
                                            const SearchTerms &Terms) const {
  const bool Fresh = W.hasFreshReport(Terms.Now_, Terms.ReportMaxAge_);
  const std::uint32_t Load = W.load(Fresh);
  if (W.InFlight_ >= W.ConnectionShare_ || Load >= W.SlotCount_)
    return std::nullopt;
  const std::uint32_t Limit = usableSlots(W, Terms);
  const bool InShare =
      W.InFlight_ < W.SlotShare_ && W.InFlight_ < Limit && Load < Limit;
  if (InShare)
    return Load + failurePenalty(W, Terms.Now_);
  if (Fresh && Load + Terms.BorrowMargin_ < Limit)
    return BorrowedRank + Load + failurePenalty(W, Terms.Now_);
  if (!Fresh && W.SlotShare_ == 0 && W.InFlight_ == 0)
    return LastResortRank;
  return std::nullopt;
}

} // namespace heathercross::request
