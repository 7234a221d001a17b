// Selects the worker for a task.
#pragma once

#include "schedule/interference.h"
#include "schedule/worker.h"

#include <functional>
#include <map>
#include <vector>

namespace heathercross::schedule {

/// The requirements and preferences of one task.
struct PlacementRequest {
  Resources Reserved_;
  std::string Label_;
  /// The preferred rack, or the only one if RackRequired_ is set.
  RackId Rack_;
  bool RackRequired_ = false;
  std::uint32_t MaxPerWorker_ = 0;
  /// The task is long-running and is placed next to others, so that the
  /// remaining workers can be emptied quickly.
  bool LongRunning_ = false;
  /// Used only if no other worker has room.
  InstanceId Avoid_;
  /// The only suitable worker; empty for any.
  InstanceId Required_;
};

/// A worker that accepts tasks now.
struct Candidate {
  Worker *Worker_ = nullptr;
  /// Number of tasks of the same step and occurrence on the worker.
  std::uint32_t SameStep_ = 0;
  /// Number of long-running tasks on the worker; 0 for other requests.
  std::uint32_t LongRunning_ = 0;
  /// The known interference between the task and those on the worker.
  InterferenceCost Interference_;
  /// Whether the worker's tasks take far longer than elsewhere.
  bool Slow_ = false;
};

/// Returns the best candidate, or null if none has room. Best fit: the least
/// free capacity is left over, so that large tasks find room and idle workers
/// stay idle; long-running tasks are packed on as few workers as their limits
/// allow. Workers on which the task is known to interfere with others come
/// after the rest, those with less interference first.
Worker *choose(const std::vector<Candidate> &Candidates,
               const PlacementRequest &Request);

} // namespace heathercross::schedule
