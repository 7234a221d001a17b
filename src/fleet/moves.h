// Decides how many instances each pool should have, and who gives them.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace heathercross::fleet {

/// One pool as a move policy sees it.
struct PoolLoad {
  PoolId Pool_;
  std::uint32_t Size_ = 0;
  std::uint32_t Members_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// Slots of one instance.
  std::uint32_t SlotsEach_ = 8;
  /// Requests that run or wait; absent when nothing was reported.
  std::optional<std::uint32_t> Demand_;
};

/// How many instances more (or fewer, below zero) than its size each pool
/// should have. Pools that aren't named keep their size.
using SizeChanges = std::map<PoolId, std::int32_t>;

/// Turns the pools' loads over time into changes of size. It may remember
/// what it saw; losing that must cost only efficiency.
template <class P>
concept MovePolicy = requires(P Policy, const std::vector<PoolLoad> &Loads,
                              Instant Now) {
  { Policy.changes(Loads, Now) } -> std::same_as<SizeChanges>;
};

/// Never moves for demand.
struct NoMoves {
  SizeChanges changes(const std::vector<PoolLoad> &, Instant) { return {}; }
};

/// Follows the demand at once: the plain baseline.
struct ThresholdMoves {
  /// The share of its slots that a pool should use.
  static constexpr double TargetUse = 0.7;

  SizeChanges changes(const std::vector<PoolLoad> &Loads, Instant Now);
};

/// Follows only demand that lasts longer than a move costs, gives back only
/// after a cooldown, and never lends what the donor's budget needs.
class HysteresisMoves {
public:
  struct Limits {
    /// A pool grows when it would use more than this share of its slots.
    double High_ = 0.9;
    /// A pool shrinks when it used less than this share of its slots.
    double Low_ = 0.4;
    /// What a move costs: drain, hand over, first work. Demand has to last
    /// longer before it is followed.
    Millis MoveCost_{30'000};
    /// How long demand has to be low before a pool shrinks.
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
    /// Since when no demand was reported.
    std::optional<Instant> UnreportedSince_;
    /// The least and the most instances wanted since then.
    std::int32_t LeastWanted_ = 0;
    std::int32_t MostWanted_ = 0;
  };

  void follow(Trend &T, const PoolLoad &L, Instant Now) const;
  void forget(Trend &T, Instant Now) const;
  void followHigh(Trend &T, std::int32_t Wanted, Instant Now) const;
  void followLow(Trend &T, std::int32_t Wanted, Instant Now) const;

  Limits Limits_;
  std::map<PoolId, Trend> Trends_;
};

/// One pool's members against what it should have.
struct PoolBalance {
  PoolId Pool_;
  bool Spare_ = false;
  /// Members that stay, and instances that are on their way into the pool
  /// without a move.
  std::uint32_t Members_ = 0;
  /// How many it should have.
  std::uint32_t Target_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// Whether it had more than its target for long enough to give back, or is
  /// removed.
  bool SurplusLasts_ = false;
};

/// That a pool gives a number of instances to another.
struct Transfer {
  PoolId From_;
  PoolId To_;
  std::uint32_t Count_ = 0;
  auto operator<=>(const Transfer &) const = default;
};

/// Matches pools that lack instances with those that can give some: first
/// those with more than their target, then the spare pools down to their
/// budget. A lasting surplus goes back to a spare pool that lacks instances.
/// The same for the same input.
std::vector<Transfer> matchTransfers(std::vector<PoolBalance> Pools);

/// A surplus has to last this long before it goes back to the spare pool.
constexpr Millis SurplusDwell{60'000};

/// Remembers since when pools have had more than their target.
class SurplusWatch {
public:
  /// Takes in a pool's balance; fills in whether its surplus lasts.
  void observe(PoolBalance &Balance, Instant Now);

private:
  std::map<PoolId, Instant> Since_;
};

} // namespace heathercross::fleet
