// Decides what the workers are told, by their rows and their last status.
#pragma once

#include "fleet/availability.h"
#include "fleet/drain-watch.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace heathercross::fleet {

/// Remembers which commands were sent, to repeat them at a bounded rate.
/// Losing it costs a repeated command.
class WorkerCommands {
public:
  /// The commands for the pool's members. DrainLimit is how long an instance
  /// drains before its tasks are checkpointed.
  std::vector<WorkerCommand> due(const PoolPicture &Picture,
                                 const DrainWatch &Drains, Micros DrainLimit,
                                 Instant Now);

  /// Forgets instances that have no row.
  void keepOnly(const std::map<InstanceId, InstanceRecord> &Instances);

private:
  bool admit(const WorkerCommand &Command, Instant Now);

  std::map<InstanceId, std::pair<CommandKind, Instant>> LastSent_;
};

/// A command is repeated when it shows no effect within this time.
constexpr Millis CommandRetryInterval{1'000};

} // namespace heathercross::fleet
