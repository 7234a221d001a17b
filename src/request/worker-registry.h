// The workers that requests may be sent to, indexed by pool.
#pragma once

#include "request/config.h"
#include "request/events.h"
#include "request/worker-state.h"

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace heathercross::request {

/// The workers of one pool in the own zone and in other zones, as indices into
/// the registry.
struct PoolWorkers {
  std::vector<std::uint32_t> Local_;
  std::vector<std::uint32_t> Remote_;
};

/// Holds what this entry knows of each worker and preserves it when the fleet
/// changes.
class WorkerRegistry {
public:
  explicit WorkerRegistry(const Config &C);

  /// Replaces the set of workers. Known workers keep their state.
  void apply(const Fleet &F);
  /// Stores a status report of a worker.
  void report(const WorkerReport &R, Instant Now);
  /// Counts a request that was sent to the worker, or a reserved slot.
  void occupy(const InstanceId &Worker);
  /// Undoes occupy() when the request ended or the reservation was released.
  void release(const InstanceId &Worker);
  /// Records that the worker refused because it is full.
  void markFull(const InstanceId &Worker, Instant Now);
  /// Records that the worker refused because it is leaving.
  void markLeaving(const InstanceId &Worker);

  /// Returns null if the worker isn't in the fleet.
  WorkerState *find(const InstanceId &Worker);
  const WorkerState *find(const InstanceId &Worker) const;

  std::span<const WorkerState> all() const { return Workers_; }
  const WorkerState &at(std::uint32_t Index) const { return Workers_[Index]; }
  /// Returns empty lists for a pool without workers.
  const PoolWorkers &workersOf(const PoolId &Pool) const;
  /// Returns how many of the pool's workers are currently avoided.
  std::size_t countAvoided(const PoolId &Pool) const;
  std::size_t size(const PoolId &Pool) const;

private:
  WorkerState mergeCandidate(const Candidate &C) const;
  void assignShares(WorkerState &W, std::span<const EntryId> Entries) const;

  EntryId Entry_;
  ZoneId Zone_;
  std::uint32_t ConnectionLimit_;
  std::vector<WorkerState> Workers_;
  std::unordered_map<InstanceId, std::uint32_t> Index_;
  std::unordered_map<PoolId, PoolWorkers> Pools_;
  std::vector<EntryId> Entries_;
};

} // namespace heathercross::request
