// Chooses a worker for a request: own zone, spare pool, other zones, in that
// order.
#pragma once

#include "request/config.h"
#include "request/slot-share.h"
#include "request/worker-health.h"
#include "request/worker-registry.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace heathercross::request {

/// The search step that found a worker.
enum class PlacementKind : std::uint8_t { OwnZone, Overflow, OtherZone };

/// The worker chosen for a request.
struct WorkerChoice {
  InstanceId Worker_;
  PlacementKind Kind_ = PlacementKind::OwnZone;
};

/// Constraints of one search.
struct PlacementRules {
  PoolId Pool_;
  /// Spare pools whose idle slots may be used.
  std::vector<PoolId> Overflow_;
  /// Workers that must not be chosen.
  std::span<const InstanceId> Exclude_;
  /// A retry uses other zones only when the own zone has no worker at all.
  bool Retry_ = false;
  /// Free slots that must remain on a worker when a slot is borrowed.
  std::uint32_t BorrowMargin_ = 0;
};

/// Searches the worker registry with the configured picker policy.
class Placement {
public:
  Placement(const Config &C, const WorkerRegistry &Registry);

  /// Returns the worker to use, or nothing when no allowed worker has room.
  std::optional<WorkerChoice> find(const PlacementRules &Rules, Instant Now);

  /// Returns up to Count further workers that could take the request if First
  /// refuses it, in the order in which find() would choose them.
  std::vector<InstanceId> alternatives(const PlacementRules &Rules,
                                       const WorkerChoice &First,
                                       std::size_t Count, Instant Now);

  /// Whether any worker of the pool accepts work, in any zone.
  bool anyTakesWork(const PoolId &Pool) const;

  /// Returns the worker of the own zone with the most preemptible batch tasks.
  std::optional<InstanceId> preemptible(const PoolId &Pool) const;

private:
  std::optional<std::uint32_t> search(std::span<const std::uint32_t> Indices,
                                      const SearchTerms &Terms,
                                      std::span<const InstanceId> Exclude);
  bool ownZoneHasNoWorker(const PoolId &Pool) const;

  const Config &Config_;
  const WorkerRegistry &Registry_;
  std::uint64_t Searches_ = 0;
};

} // namespace heathercross::request
