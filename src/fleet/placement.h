// Assigns instances to pools, spread over racks and zones.
#pragma once

#include "heathercross/fleet-model.h"
#include "heathercross/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace heathercross::fleet {

/// A rack within its zone.
struct RackPlace {
  ZoneId Zone_;
  RackId Rack_;
  auto operator<=>(const RackPlace &) const = default;
};

/// How many instances stand in each rack.
using RackCounts = std::map<RackPlace, std::uint32_t>;

/// What a pool wants from the placement.
struct PoolNeed {
  PoolId Pool_;
  std::uint32_t Size_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// The members that it has, and that stay where they are.
  RackCounts Members_;

  std::uint32_t memberCount() const;
  /// How many instances the pool lacks.
  std::uint32_t deficit() const;
  /// How many members in one rack the pool can lose within its budget once it
  /// has its size; at least one, since less can't be asked for.
  std::uint32_t rackLimit() const;
};

/// An instance that goes into a pool.
struct Assignment {
  InstanceId Instance_;
  PoolId Pool_;
  auto operator<=>(const Assignment &) const = default;
};

/// Distributes free instances over the pools that lack some. Keeps each pool
/// within its rack limits wherever some distribution does, and is the same for
/// the same input, so that duties of different pools agree without talking.
std::vector<Assignment> place(const std::vector<PoolNeed> &Needs,
                              const std::vector<ListedInstance> &Free);

/// That the loss of one rack would take a pool under its budget.
struct RackRisk {
  PoolId Pool_;
  RackPlace Rack_;
  /// The members that would be left.
  std::uint32_t Left_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// Whether another distribution of the same instances avoids it.
  bool Avoidable_ = false;
  auto operator<=>(const RackRisk &) const = default;
};

/// The racks whose loss a pool wouldn't survive within its budget.
std::vector<RackRisk> rackRisks(const std::vector<PoolNeed> &Needs);

} // namespace heathercross::fleet
