// Picker policies, and the division of a worker's slots among entry instances.
#pragma once

#include "request/config.h"
#include "request/worker-state.h"

#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace heathercross::request {

/// Combines two numbers into a well distributed one (SplitMix64); the source of
/// all pseudo-random choices.
constexpr std::uint64_t mix(std::uint64_t A, std::uint64_t B) {
  std::uint64_t Z = A + 0x9E3779B97F4A7C15ULL * (B + 1);
  Z = (Z ^ (Z >> 30)) * 0xBF58476D1CE4E5B9ULL;
  Z = (Z ^ (Z >> 27)) * 0x94D049BB133111EBULL;
  return Z ^ (Z >> 31);
}

/// 64-bit FNV-1a hash, so that all processes compute the same value.
std::uint64_t stableHash(std::string_view Text);

/// Returns how many of a worker's slots belong to an entry when the slots are
/// divided among the live entries by rendezvous hashing. The given entry counts
/// as live even if it isn't listed. When an entry leaves, only its slots are
/// reassigned.
std::uint32_t slotShare(const InstanceId &Worker, std::uint32_t Slots,
                        const EntryId &Entry,
                        std::span<const EntryId> LiveEntries);

/// Parameters of one search for a worker.
struct SearchTerms {
  Instant Now_;
  /// Reports older than this are ignored.
  Micros ReportMaxAge_{0};
  /// Fraction of each worker's slots that has to stay free for others.
  double ReservedShare_ = 0;
  /// Maximum fraction of each worker's slots that this entry may use.
  double MaxShare_ = 1;
  /// Free slots that must remain beside the borrowed one.
  std::uint32_t BorrowMargin_ = 0;
};

/// The number of free slots that must remain on a worker when this entry
/// borrows a slot that belongs to another entry. Refusals show that entries
/// compete for the same slots and raise the margin; it decays over time, so
/// that the slots of an entry that left don't stay idle.
class BorrowMargin {
public:
  /// Raises the margin after a worker refused because it was full.
  void refused(Instant Now);
  std::uint32_t slots(Instant Now) const;

private:
  double levelAt(Instant Now) const;

  double Level_ = 0;
  Instant LevelAt_{};
};

/// Returns the given fraction of the slots, rounded down but at least 1; 0 if
/// the fraction isn't positive.
std::uint32_t scaleSlots(std::uint32_t Slots, double Fraction);

/// Preference of a worker; the lowest rank is chosen.
using Rank = std::uint32_t;

/// A policy that ranks a worker, or returns nothing if the worker has no room.
template <class P>
concept Picker = requires(const P &Policy, const WorkerState &W,
                          const SearchTerms &Terms) {
  { Policy.rank(W, Terms) } -> std::same_as<std::optional<Rank>>;
};

/// Any worker on which this entry has fewer requests in flight than the slots
/// it may use.
struct RandomPicker {
  std::optional<Rank> rank(const WorkerState &W,
                           const SearchTerms &Terms) const;
};

/// The worker with the fewest requests of this entry.
struct LeastLoadedPicker {
  std::optional<Rank> rank(const WorkerState &W,
                           const SearchTerms &Terms) const;
};

/// Slots that belong to this entry first; others only if a fresh report shows
/// that they are free.
struct SharedSlotsPicker {
  std::optional<Rank> rank(const WorkerState &W,
                           const SearchTerms &Terms) const;
};

static_assert(Picker<RandomPicker> && Picker<LeastLoadedPicker> &&
              Picker<SharedSlotsPicker>);

/// Maximum number of workers examined in one search, to bound its cost.
inline constexpr std::size_t ScanLimit = 64;

/// Examines up to ScanLimit of the workers at Indices, starting at position
/// Start modulo their number, and returns the index of the best one that passes
/// the filter.
template <Picker P, class Filter>
std::optional<std::uint32_t>
pickWorker(const P &Policy, std::span<const WorkerState> Workers,
           std::span<const std::uint32_t> Indices, std::uint64_t Start,
           const SearchTerms &Terms, const Filter &MayUse) {
  std::optional<std::uint32_t> Best;
  Rank BestRank = 0;
  const std::size_t ScanCount = std::min(Indices.size(), ScanLimit);
  std::size_t Position = Indices.empty() ? 0 : Start % Indices.size();
  for (std::size_t I = 0; I != ScanCount; ++I) {
    const std::uint32_t Index = Indices[Position];
    Position = Position + 1 == Indices.size() ? 0 : Position + 1;
    const auto R = Policy.rank(Workers[Index], Terms);
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
