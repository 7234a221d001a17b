// The workers that requests may go to, indexed by pool.
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

/// The workers of one pool by distance, as indices into the board.
struct PoolWorkers {
  std::vector<std::uint32_t> Near_;
  std::vector<std::uint32_t> Far_;
};

/// Holds what this entry knows of each worker and keeps it over changes of the
/// fleet.
class WorkerBoard {
public:
  explicit WorkerBoard(const Config &C);

  /// Replaces the set of workers. Known workers keep their state.
  void apply(const Fleet &F);
  /// Takes over what a worker said of itself.
  void report(const WorkerReport &R, Instant Now);
  /// A request was sent to the worker, or its slot there is reserved.
  void occupy(const InstanceId &Worker);
  /// A request on the worker ended, or its reservation was given up.
  void release(const InstanceId &Worker);
  /// The worker refused because it is full.
  void markFull(const InstanceId &Worker, Instant Now);
  /// The worker refused because it is leaving.
  void markLeaving(const InstanceId &Worker);

  /// Nothing when the worker isn't in the fleet.
  WorkerState *find(const InstanceId &Worker);
  const WorkerState *find(const InstanceId &Worker) const;

  std::span<const WorkerState> all() const { return Workers_; }
  const WorkerState &at(std::uint32_t Index) const { return Workers_[Index]; }
  /// Empty lists for a pool without workers.
  const PoolWorkers &of(const PoolId &Pool) const;
  /// How many of the pool's workers are avoided at the moment.
  std::size_t avoided(const PoolId &Pool) const;
  std::size_t size(const PoolId &Pool) const;

private:
  WorkerState merged(const Candidate &C) const;
  void divideSlots(WorkerState &W, std::span<const EntryId> Entries) const;

  EntryId Entry_;
  ZoneId Zone_;
  std::uint32_t Connections_;
  std::vector<WorkerState> Workers_;
  std::unordered_map<InstanceId, std::uint32_t> Index_;
  std::unordered_map<PoolId, PoolWorkers> Pools_;
  std::vector<EntryId> Entries_;
};

} // namespace heathercross::request
