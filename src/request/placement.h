// Where a request goes: own zone, spare pool, other zones, in that order.
#pragma once

#include "request/config.h"
#include "request/slot-share.h"
#include "request/worker-board.h"
#include "request/worker-health.h"

#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace heathercross::request {

/// Which step of the order found the worker.
enum class PlaceKind : std::uint8_t { OwnZone, Overflow, OtherZone };

/// A worker for a request.
struct Place {
  InstanceId Worker_;
  PlaceKind Kind_ = PlaceKind::OwnZone;
};

/// What a search has to respect.
struct PlaceRules {
  PoolId Pool_;
  /// The spare pools whose idle slots may be used now.
  std::vector<PoolId> Overflow_;
  /// Workers that aren't tried again.
  std::span<const InstanceId> Exclude_;
  /// A retry crosses zones only when the own zone has no worker at all.
  bool Retry_ = false;
  /// Free slots to leave to the owners of borrowed ones.
  std::uint32_t BorrowMargin_ = 0;
};

/// Searches the board under the configured policy.
class Placement {
public:
  Placement(const Config &C, const WorkerBoard &Board);

  /// The worker to use now, or nothing when all that may be used are full.
  std::optional<Place> find(const PlaceRules &Rules, Instant Now);

  /// Up to Count further workers beside First that could take the request if
  /// First can't, those with room first.
  std::vector<InstanceId> alternatives(const PlaceRules &Rules,
                                       const Place &First, std::size_t Count,
                                       Instant Now);

  /// Whether any worker could ever take work of the pool.
  bool anyTakesWork(const PoolId &Pool) const;

  /// The worker of the own zone on which a batch task could make room.
  std::optional<InstanceId> preemptible(const PoolId &Pool) const;

private:
  std::optional<std::uint32_t> search(std::span<const std::uint32_t> Listed,
                                      const Ask &Terms,
                                      std::span<const InstanceId> Exclude);
  bool ownZoneLost(const PoolId &Pool) const;

  const Config &Config_;
  const WorkerBoard &Board_;
  std::uint64_t Searches_ = 0;
};

} // namespace heathercross::request
