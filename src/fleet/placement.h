// Assigns instances to pools and spreads each pool over racks and zones.
#pragma once

#include "heathercross/fleet-model.h"
#include "heathercross/ids.h"

#include <cstdint>
#include <map>
#include <vector>

namespace heathercross::fleet {

/// A rack, identified together with its zone.
struct RackLocation {
  ZoneId Zone_;
  RackId Rack_;
  auto operator<=>(const RackLocation &) const = default;
};

/// The number of instances in each rack.
using RackCounts = std::map<RackLocation, std::uint32_t>;

/// The size, budget and current members of a pool, as input of the placement.
struct PoolNeed {
  PoolId Pool_;
  std::uint32_t Size_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// The current members by rack. The placement doesn't move them.
  RackCounts Members_;

  std::uint32_t memberCount() const;
  /// Returns how many instances the pool lacks.
  std::uint32_t deficit() const;
  /// Returns the maximum number of members in one rack such that a full pool
  /// stays within its budget if the rack fails. At least one, because every
  /// member is in some rack.
  std::uint32_t rackLimit() const;
};

/// The assignment of an instance to a pool.
struct Assignment {
  InstanceId Instance_;
  PoolId Pool_;
  auto operator<=>(const Assignment &) const = default;
};

/// Distributes free instances over the pools that lack some. A pool exceeds its
/// rack limit only if no distribution avoids it. Deterministic, so that the
/// holders of different pools' duties agree without communication.
std::vector<Assignment> place(const std::vector<PoolNeed> &Needs,
                              const std::vector<ListedInstance> &Free);

/// A rack whose failure would take a pool below its availability budget.
struct RackRisk {
  PoolId Pool_;
  RackLocation Rack_;
  /// The number of members outside the rack.
  std::uint32_t Remaining_ = 0;
  std::uint32_t MinAvailable_ = 0;
  /// Whether another distribution of the same instances avoids the risk.
  bool Avoidable_ = false;
  auto operator<=>(const RackRisk &) const = default;
};

/// Returns the racks whose failure would take a pool below its budget.
std::vector<RackRisk> rackRisks(const std::vector<PoolNeed> &Needs);

} // namespace heathercross::fleet
