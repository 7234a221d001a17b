// Derives the commands to workers from their rows and their last status.
#pragma once

#include "fleet/availability.h"
#include "fleet/drain-tracker.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace heathercross::fleet {

/// Creates commands and limits the rate of repeated ones. If the record of sent
/// commands is lost, a command may be repeated early.
class WorkerCommands {
public:
  /// Returns the commands to send to the pool's members now. Tasks of an
  /// instance that has drained for DrainLimit are checkpointed.
  std::vector<WorkerCommand> dueCommands(const PoolSnapshot &Pool,
                                         const DrainTracker &Drains,
                                         Micros DrainLimit, Instant Now);

  /// Drops the state of instances that have no row.
  void keepOnly(const std::map<InstanceId, InstanceRecord> &Instances);

private:
  bool shouldSend(const WorkerCommand &Command, Instant Now);

  std::map<InstanceId, std::pair<CommandKind, Instant>> LastSent_;
};

/// A command without visible effect is repeated after this time.
constexpr Millis CommandRetryInterval{1'000};

} // namespace heathercross::fleet
