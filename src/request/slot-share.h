// Which worker a request goes to, and which slots of a worker fall to an entry.
#pragma once

#include "request/config.h"
#include "request/worker-state.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace heathercross::request {

/// Mixes a number into another; the base of all pseudo-random choices.
constexpr std::uint64_t mix(std::uint64_t A, std::uint64_t B) {
  std::uint64_t Z = A + 0x9E3779B97F4A7C15ULL * (B + 1);
  Z = (Z ^ (Z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Z = (Z ^ (Z >> 27)) * 0x94D049BB133111EBULL;
  return Z ^ (Z >> 31);
}

/// A hash of a text that is the same in every process.
std::uint64_t stableHash(std::string_view Text);

/// How many of a worker's slots fall to an entry when they are divided among
/// the live entries by rendezvous hashing. An entry that isn't in the list is
/// counted as live. When one entry goes, only its slots change hands.
std::uint32_t slotShare(const InstanceId &Worker, std::uint32_t Slots,
                        const EntryId &Entry,
                        std::span<const EntryId> LiveEntries);

/// The terms of one search for a worker.
struct Ask {
  Instant Now_;
  Micros ReportFresh_{0};
  /// The part of each worker that has to stay free for others.
  double Reserve_ = 0;
  /// The part of each worker that this entry may use at most.
  double Most_ = 1;
  /// Free slots to leave beyond the one that is borrowed.
  std::uint32_t BorrowMargin_ = 0;
};

/// How many free slots, beyond the one that it takes, an entry leaves to the
/// owners when it uses slots that don't fall to it. Refusals show that entries
/// get in each other's way and raise it; without refusals it falls, so that
/// the slots of an entry that is gone don't stay idle.
class BorrowMargin {
public:
  /// A worker refused because it was full.
  void refused(Instant Now);
  std::uint32_t slots(Instant Now) const;

private:
  double at(Instant Now) const;

  double Level_ = 0;
  Instant LevelAt_{};
};

/// The part of a worker's slots that the terms leave, at least one unless the
/// terms leave nothing.
std::uint32_t partOf(std::uint32_t Slots, double Part);

/// How good a choice a worker is; the lowest wins.
using Rank = std::uint32_t;

/// A policy that ranks one worker, or says that it has no room.
template <class P>
concept Picker = requires(const P &Policy, const WorkerState &W, const Ask &A) {
  { Policy.rank(W, A) } -> std::same_as<std::optional<Rank>>;
};

/// Any worker on which this entry doesn't use all slots itself.
struct RandomPicker {
  std::optional<Rank> rank(const WorkerState &W, const Ask &A) const;
};

/// The worker with the fewest requests of this entry.
struct LeastLoadedPicker {
  std::optional<Rank> rank(const WorkerState &W, const Ask &A) const;
};

/// The slots that fall to this entry first, others only on a fresh report.
struct SharedSlotsPicker {
  std::optional<Rank> rank(const WorkerState &W, const Ask &A) const;
};

static_assert(Picker<RandomPicker> && Picker<LeastLoadedPicker> &&
              Picker<SharedSlotsPicker>);

/// Workers looked at in one search, so that its cost stays bounded.
inline constexpr std::size_t ScanLimit = 64;

/// Looks at up to ScanLimit of the listed workers, beginning at Start, and
/// returns the index of the best that passes the filter.
template <Picker P, class Filter>
std::optional<std::uint32_t>
pickWorker(const P &Policy, std::span<const WorkerState> Workers,
           std::span<const std::uint32_t> Listed, std::uint64_t Start,
           const Ask &A, const Filter &MayUse) {
  std::optional<std::uint32_t> Best;
  Rank BestRank = 0;
  const std::size_t Looks = std::min(Listed.size(), ScanLimit);
  std::size_t At = Listed.empty() ? 0 : Start % Listed.size();
  for (std::size_t I = 0; I != Looks; ++I) {
    const std::uint32_t Index = Listed[At];
    At = At + 1 == Listed.size() ? 0 : At + 1;
    const auto R = Policy.rank(Workers[Index], A);
    if (!R || (Best && *R >= BestRank) || !MayUse(Workers[Index]))
      continue;
    Best = Index;
    BestRank = *R;
    if (BestRank == 0)
      break;
  }
  return Best;
}

} // namespace heathercross::request
