// Decides the target size of each pool and which instances are transferred
// between pools.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace heathercross::fleet {

/// The size and demand of one pool, as input of a move policy.
struct PoolLoad {
  PoolId Pool_;
  std::uint32_t Size_ = 0;
  std::uint32_t Members_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// The slots of one instance.
  std::uint32_t SlotsPerInstance_ = 8;
  /// Running and waiting requests; absent if no entry reported any demand.
  std::optional<std::uint32_t> Demand_;
};

/// By how many instances the target of each pool differs from its agreed size.
/// Pools without an entry keep their size.
using SizeChanges = std::map<PoolId, std::int32_t>;

/// Turns the pools' loads over time into size changes. A policy may keep state
/// between calls, but losing that state may only reduce efficiency.
template <class P>
concept MovePolicy = requires(P Policy, const std::vector<PoolLoad> &Loads,
                              Instant Now) {
  { Policy.changes(Loads, Now) } -> std::same_as<SizeChanges>;
};

/// Never changes a size for demand.
struct NoMoves {
  SizeChanges changes(const std::vector<PoolLoad> &, Instant) { return {}; }
};

/// Follows the current demand without delay. Serves as a baseline.
struct ThresholdMoves {
  /// The share of its slots that a pool should use.
  static constexpr double TargetUtilization = 0.7;

  SizeChanges changes(const std::vector<PoolLoad> &Loads, Instant Now);
};

/// Grows a pool only for demand that outlasts a move, shrinks it only after a
/// cooldown, and never shrinks it below its availability budget.
class HysteresisMoves {
public:
  struct Limits {
    /// A pool grows when its demand exceeds this share of its slots.
    double HighUtilization_ = 0.9;
    /// A pool shrinks when its demand is below this share of its slots.
    double LowUtilization_ = 0.4;
    /// The time from the start of a move's drain to the first work in the new
    /// pool. High demand must last longer than this before a pool grows.
    Millis MoveDuration_{30'000};
    /// How long demand must be low, or unreported, before a pool shrinks.
    Millis Cooldown_{300'000};
  };

  HysteresisMoves() = default;
  explicit HysteresisMoves(Limits L) : Limits_(L) {}

  SizeChanges changes(const std::vector<PoolLoad> &Loads, Instant Now);

private:
  struct Trend {
    std::int32_t Change_ = 0;
    std::optional<Instant> HighSince_;
    std::optional<Instant> LowSince_;
    /// When demand stopped being reported.
    std::optional<Instant> UnreportedSince_;
    /// The smallest change wanted since HighSince_ and the largest one wanted
    /// since LowSince_.
    std::int32_t MinWanted_ = 0;
    std::int32_t MaxWanted_ = 0;
  };

  void update(Trend &T, const PoolLoad &L, Instant Now) const;
  void updateUnreported(Trend &T, Instant Now) const;
  void updateGrowth(Trend &T, std::int32_t Wanted, Instant Now) const;
  void updateShrink(Trend &T, std::int32_t Wanted, Instant Now) const;

  Limits Limits_;
  std::map<PoolId, Trend> Trends_;
};

/// The number of a pool's members compared with its target.
struct PoolBalance {
  PoolId Pool_;
  bool Spare_ = false;
  /// Members that remain, plus unassigned instances that the placement assigns
  /// to the pool.
  std::uint32_t Members_ = 0;
  /// How many members the pool should have.
  std::uint32_t Target_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// Whether the surplus may return to a spare pool, because it has lasted for
  /// MinSurplusDuration or the pool is removed.
  bool SurplusReturnable_ = false;
};

/// A number of instances that one pool gives to another.
struct Transfer {
  PoolId From_;
  PoolId To_;
  std::uint32_t Count_ = 0;
  auto operator<=>(const Transfer &) const = default;
};

/// Matches pools that lack instances with donors: first pools above their
/// target, then spare pools down to their budget. A lasting surplus returns to
/// a spare pool that lacks instances. Deterministic, so that all holders agree.
std::vector<Transfer> matchTransfers(std::vector<PoolBalance> Pools);

/// A surplus must last this long before it returns to a spare pool.
constexpr Millis MinSurplusDuration{60'000};

/// Tracks how long pools have had more members than their target.
class SurplusTracker {
public:
  /// Records a pool's balance and sets its SurplusReturnable_.
  void observe(PoolBalance &Balance, Instant Now);

private:
  std::map<PoolId, Instant> SurplusSince_;
};

} // namespace heathercross::fleet
