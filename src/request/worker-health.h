// Avoids workers on which requests keep failing, and tells them from callers
// whose requests fail everywhere.
#pragma once

#include "request/config.h"
#include "request/worker-state.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace heathercross::request {

/// What may be the cause of a failure besides the worker.
struct Cause {
  /// Hashes of the caller's team and of the request's body.
  std::uint64_t Team_ = 0;
  std::uint64_t Body_ = 0;
};

/// Whether a request may go to a worker for the sake of its health: always, as
/// the one probe, or not now.
enum class HealthGate : std::uint8_t { Open, Probe, Shut };

/// What is known of the callers' and workers' failures.
class HealthWatch {
public:
  explicit HealthWatch(HealthLimits Limits) : Limits_(Limits) {}

  /// Whether the worker may be used now.
  static HealthGate gate(const WorkerState &W, Instant Now);

  /// A request succeeded on the worker.
  void succeeded(WorkerState &W, const Cause &C);

  /// A request failed on the worker or got lost. PoolSize and Avoided count
  /// the pool's workers and those of them that are avoided now. True when the
  /// worker is avoided from now on.
  bool failed(WorkerState &W, const Cause &C, Instant Now, std::size_t PoolSize,
              std::size_t Avoided);

  /// No connection to the worker could be made.
  void unreachable(WorkerState &W, Instant Now) const;

  /// Whether the cause failed on so many workers in a row that it is taken
  /// for the cause itself.
  bool poison(const Cause &C) const;

private:
  using FailedOn = std::vector<std::uint64_t>;

  void noteCaller(std::uint64_t Key, std::uint64_t Worker);
  bool suspect(std::uint64_t Key) const;
  bool mayAvoid(std::size_t PoolSize, std::size_t Avoided) const;

  HealthLimits Limits_;
  /// For each team and each body the distinct workers on which it failed since
  /// it last succeeded anywhere.
  std::unordered_map<std::uint64_t, FailedOn> Callers_;
};

} // namespace heathercross::request
