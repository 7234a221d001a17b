// The orders of a pool's scheduler, their answers, and what it decides beside
// them.
#pragma once

#include "schedule/model.h"

#include <cstdint>
#include <string>
#include <vector>

namespace heathercross::schedule {

struct StartOrder {
  InstanceId Worker_;
  TaskKey Task_;
  Attempt Attempt_ = 0;
  std::string Payload_;
  std::string Checkpoint_;
  /// The placement ticket; empty for queues that need no placement advice.
  std::string Ticket_;
  FenceGeneration Fence_;
};

struct StopOrder {
  InstanceId Worker_;
  TaskKey Task_;
  Attempt Attempt_ = 0;
  FenceGeneration Fence_;
};

/// Limits a best-effort task to a percentage of its work.
struct ThrottleOrder {
  InstanceId Worker_;
  TaskKey Task_;
  Attempt Attempt_ = 0;
  std::uint32_t Percent_ = 100;
  FenceGeneration Fence_;
};

struct Orders {
  std::vector<StartOrder> Starts_;
  std::vector<StopOrder> Stops_;
  std::vector<ThrottleOrder> Throttles_;
};

/// A worker's answer to an order to start a task.
enum class StartAnswer : std::uint8_t {
  Started,
  NoRoom,
  /// The worker already ended a run of this task with the same or a higher
  /// attempt.
  Outdated,
  /// The run's lease had expired when the order arrived.
  LeaseExpired,
  /// The worker has seen a higher fencing epoch.
  Fenced,
  NoTicket,
  Unhealthy,
  /// Another instance now uses the address.
  WrongInstance,
  Malformed,
  /// No answer; the worker may still carry out the order.
  Unknown,
};

enum class StopAnswer : std::uint8_t {
  Accepted,
  Fenced,
  WrongInstance,
  Malformed,
  Unknown,
};

/// A decision about a task or a worker, for the log.
struct Decision {
  const char *Kind_ = "";
  TaskKey Task_;
  Attempt Attempt_ = 0;
  InstanceId Worker_;
  std::string Cause_;
};

/// The current demand of a pool, in cores.
struct Demand {
  double Running_ = 0;
  /// Ready tasks whose job can still meet its objective.
  double WaitingInTime_ = 0;
  /// Ready tasks of jobs that already miss their objective.
  double WaitingLate_ = 0;
  /// Reserved by long-running tasks.
  double LongRunning_ = 0;
  /// The minimum number of workers on which the long-running tasks can be
  /// placed.
  std::uint32_t MinWorkers_ = 0;
  /// Cores needed to keep up with the rate of arriving work.
  double Arriving_ = 0;
};

} // namespace heathercross::schedule
