// The input (snapshot) and output (actions) of the fleet duty.
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

/// An instance's row and the version at which it was read.
struct InstanceRecord {
  InstanceRow Row_;
  RowVersion Version_;
  bool operator==(const InstanceRecord &) const = default;
};

/// A pool's permit row: the instances under voluntary disruption. Every
/// transaction of a pool's duty writes it, which serialises them.
struct PermitRecord {
  /// The fencing epoch of the last writer.
  Epoch Epoch_;
  std::vector<InstanceId> Held_;
  /// The waves that are finished in this pool.
  std::vector<WaveId> Finished_;
  /// Zero if the row doesn't exist yet.
  RowVersion Version_;
  bool operator==(const PermitRecord &) const = default;
};

/// The held lease of a pool's duty: its epoch and the version of its row.
struct HeldLease {
  Epoch Epoch_;
  RowVersion Version_;
};

/// A batch task that a worker runs.
struct BatchTask {
  JobId Job_;
  Epoch Epoch_;
  bool operator==(const BatchTask &) const = default;
};

/// The last status that a worker reported, and whether it still responds.
struct WorkerStatus {
  /// Whether the last call to the worker succeeded.
  bool Reachable_ = false;
  /// When the rest of this status was received.
  Instant ReceivedAt_;
  /// The boot id; changes with each start of the worker.
  std::string Boot_;
  std::uint32_t Slots_ = 0;
  std::uint32_t Busy_ = 0;
  bool Leaving_ = false;
  bool Draining_ = false;
  std::vector<BatchTask> Tasks_;
};

/// Outcomes of the work that entries sent to an instance, counted since the
/// entries started.
struct InstanceOutcomes {
  std::uint32_t Succeeded_ = 0;
  std::uint32_t Failed_ = 0;
  /// Distinct jobs or requests among the failed ones. A job that fails on every
  /// retry counts once.
  std::uint32_t DistinctFailed_ = 0;
};

/// A pool's running and queued requests, summed over the entries.
struct PoolDemand {
  std::uint32_t Busy_ = 0;
  std::uint32_t Queued_ = 0;
};

/// The complete input of a step. Read the lease rows first, then the permits,
/// then the instances: a change in between then makes the duty's write
/// conflict.
struct Snapshot {
  Instant Now_;
  /// Whether the platform's table could be read.
  bool PlatformReachable_ = false;
  View View_;
  /// The pools whose duty this entry holds.
  std::map<PoolId, HeldLease> Leases_;
  std::map<PoolId, PermitRecord> Permits_;
  /// The rows of all pools.
  std::map<InstanceId, InstanceRecord> Instances_;
  /// The platform's instance list; absent if it couldn't be read.
  std::optional<std::map<InstanceId, ListedInstance>> Listed_;
  /// The workers that this entry monitors: at least those of the pools that it
  /// holds, including workers that have never responded.
  std::map<InstanceId, WorkerStatus> Workers_;
  /// The demand of all pools, including those that other entries hold.
  std::map<PoolId, PoolDemand> Demand_;
  std::map<InstanceId, InstanceOutcomes> Evidence_;
  /// Instances that an operator declared as leaving.
  std::set<InstanceId> DeclaredLeaving_;
};

/// A conditional transaction for the platform's table.
struct Write {
  PoolId Pool_;
  Transaction Transaction_;
};

/// Commands to a worker. All of them are idempotent.
enum class CommandKind : std::uint8_t {
  Drain,
  Undrain,
  CheckpointTasks,
  Reboot,
};

/// A command for one worker, derived from committed rows and the worker's last
/// status.
struct WorkerCommand {
  InstanceId Instance_;
  /// The worker's address, "IP:port".
  std::string Address_;
  CommandKind Kind_ = CommandKind::Drain;
  /// For Reboot: the boot id of the run to end. Prevents a second reboot by a
  /// repeated or late command.
  std::string Boot_;
  /// For CheckpointTasks: the tasks to checkpoint and stop.
  std::vector<BatchTask> Tasks_;
};

using Action = std::variant<Write, WorkerCommand>;

} // namespace heathercross::fleet
