// What a fleet duty reads (a snapshot) and what it wants done (actions).
#pragma once

#include "heathercross/fleet-model.h"
#include "heathercross/ids.h"
#include "heathercross/table.h"
#include "heathercross/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace heathercross::fleet {

/// An instance's row with the version at which it was read.
struct InstanceRecord {
  InstanceRow Row_;
  RowVersion Version_;
  bool operator==(const InstanceRecord &) const = default;
};

/// A pool's permit row: which instances a voluntary disruption holds. Every
/// transaction of a pool's duty writes it, so that they are serialised.
struct PermitRecord {
  /// The epoch of the duty that wrote it last.
  Epoch Epoch_;
  std::vector<InstanceId> Held_;
  /// The waves that are finished in this pool.
  std::vector<WaveId> Finished_;
  /// Zero when there is no row yet.
  RowVersion Version_;
  bool operator==(const PermitRecord &) const = default;
};

/// The lease row of a pool's duty as its holder last wrote it.
struct LeaseHold {
  Epoch Epoch_;
  RowVersion Version_;
};

/// A batch task that runs on a worker.
struct BatchTask {
  JobId Job_;
  Epoch Epoch_;
  bool operator==(const BatchTask &) const = default;
};

/// What a worker last said of itself, and whether it still answers.
struct WorkerStatus {
  /// Whether the last try to reach it succeeded.
  bool Reachable_ = false;
  /// When the rest of this status was received.
  Instant SeenAt_;
  /// Changes with each start of the worker.
  std::string Boot_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Busy_ = 0;
  bool Leaving_ = false;
  bool Draining_ = false;
  std::vector<BatchTask> Tasks_;
};

/// How the work that entries sent to an instance ended, counted since the
/// entries started.
struct InstanceEvidence {
  std::uint32_t Succeeded_ = 0;
  std::uint32_t Failed_ = 0;
  /// Distinct jobs or requests among the failed ones; one bad job that is
  /// retried counts once.
  std::uint32_t DistinctFailed_ = 0;
};

/// How much work a pool has, summed over the entries.
struct PoolDemand {
  std::uint32_t Busy_ = 0;
  std::uint32_t Queued_ = 0;
};

/// Everything that a duty decides on. Of the table's rows, the lease must be
/// read first, then the permits, then the instances: a change in between then
/// makes the duty's write fail.
struct Snapshot {
  Instant Now_;
  /// Whether the platform's table answered when the rows were read.
  bool PlatformAnswers_ = false;
  View View_;
  /// The pools whose duty this entry holds.
  std::map<PoolId, LeaseHold> Leases_;
  std::map<PoolId, PermitRecord> Permits_;
  /// The rows of all pools.
  std::map<InstanceId, InstanceRecord> Instances_;
  /// The platform's instance list; absent when it couldn't be read.
  std::optional<std::map<InstanceId, ListedInstance>> Listed_;
  /// The workers that this entry watches: at least those of the pools that it
  /// holds, also when they never answered.
  std::map<InstanceId, WorkerStatus> Workers_;
  /// Of all pools, also those that others hold.
  std::map<PoolId, PoolDemand> Demand_;
  std::map<InstanceId, InstanceEvidence> Evidence_;
  /// Instances that an operator has declared to be leaving.
  std::set<InstanceId> DeclaredLeaving_;
};

/// A conditional transaction for the platform's table.
struct Write {
  PoolId Pool_;
  Transaction Transaction_;
};

/// What a worker can be told. All of them may be repeated.
enum class CommandKind : std::uint8_t {
  Drain,
  Undrain,
  CheckpointTasks,
  Reboot,
};

/// A command for one worker, based on rows that are already in the table.
struct WorkerCommand {
  InstanceId Instance_;
  /// The worker's address, "IP:port".
  std::string Address_;
  CommandKind Kind_ = CommandKind::Drain;
  /// With Reboot: only the run with this boot id may be ended, so that a
  /// repeated or late command doesn't reboot a second time.
  std::string Boot_;
  /// With CheckpointTasks: the tasks to be checkpointed and stopped.
  std::vector<BatchTask> Tasks_;
};

using Action = std::variant<Write, WorkerCommand>;

} // namespace heathercross::fleet
