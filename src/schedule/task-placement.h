// Which worker a task goes to.
#pragma once

#include "schedule/worker.h"

#include <functional>
#include <map>
#include <vector>

namespace heathercross::schedule {

/// The wishes of one task.
struct PlacementRequest {
  Resources Reserved_;
  std::string Label_;
  /// Preferred while one of its workers has room, when it isn't required.
  RackId Rack_;
  bool RackRequired_ = false;
  std::uint32_t MaxPerWorker_ = 0;
  /// The task lasts: it goes where others last already, so that the remaining
  /// workers can be emptied quickly.
  bool Lasting_ = false;
  /// A worker to avoid when another one has room.
  InstanceId Avoid_;
};

/// A worker that may take tasks now.
struct Candidate {
  Worker *Worker_ = nullptr;
  /// How many tasks of the same step and occurrence it has.
  std::uint32_t SameStep_ = 0;
  /// How many lasting tasks it has.
  std::uint32_t Lasting_ = 0;
};

/// The best candidate, or null when none has room. Tasks go where the least
/// room is left over, so that large ones find a place and idle workers stay
/// idle; lasting ones gather on as few workers as their limits allow.
Worker *choose(const std::vector<Candidate> &Candidates,
               const PlacementRequest &Request);

} // namespace heathercross::schedule
