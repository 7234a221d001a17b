// Avoids workers on which requests keep failing, and distinguishes them from
// callers whose requests fail on every worker.
#pragma once

#include "request/config.h"
#include "request/worker-state.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace heathercross::request {

/// Possible causes of a failure other than the worker.
struct Cause {
  /// Hashes of the caller's team and of the request's body.
  std::uint64_t Team_ = 0;
  std::uint64_t Body_ = 0;
};

/// Whether a worker's health allows a request: yes, only as a single probe, or
/// not now.
enum class HealthGate : std::uint8_t { Open, Probe, Blocked };

/// Tracks failures by worker and by caller.
class HealthTracker {
public:
  explicit HealthTracker(HealthLimits Limits) : Limits_(Limits) {}

  /// Returns whether the worker may be used now.
  static HealthGate gate(const WorkerState &W, Instant Now);

  /// Records a request that succeeded on the worker.
  void succeeded(WorkerState &W, const Cause &C);

  /// Records a request that failed on the worker or was lost. PoolSize is the
  /// number of workers in the pool, Avoided how many of them are avoided.
  /// Returns true if the worker becomes avoided.
  bool failed(WorkerState &W, const Cause &C, Instant Now, std::size_t PoolSize,
              std::size_t Avoided);

  /// Records that no connection to the worker could be made.
  void unreachable(WorkerState &W, Instant Now) const;

  /// Whether the team or body has failed on PoisonThreshold_ distinct workers
  /// since its last success, so that it counts as the cause and the workers
  /// don't.
  bool isPoison(const Cause &C) const;

private:
  using WorkerHashes = std::vector<std::uint64_t>;

  void recordCallerFailure(std::uint64_t Key, std::uint64_t Worker);
  bool reachedPoisonThreshold(std::uint64_t Key) const;
  bool canAvoidMore(std::size_t PoolSize, std::size_t Avoided) const;

  HealthLimits Limits_;
  /// For each team and each body hash: hashes of the distinct workers on which
  /// it failed since it last succeeded anywhere.
  std::unordered_map<std::uint64_t, WorkerHashes> FailedOn_;
};

} // namespace heathercross::request
