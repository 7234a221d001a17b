// Plain data types of the fleet: the agreed view that operators change by
// tickets, and the instances that the platform reports.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross {

/// A group of instances that serves one kind of workload.
struct Pool {
  PoolId Name_;
  /// Target number of instances.
  std::uint32_t Size_ = 0;
  /// Whether this is the spare pool, whose idle slots take overflow from other
  /// pools.
  bool Spare_ = false;
  /// Whether requests may run on the spare pool while this pool is full.
  bool MayOverflow_ = true;
  /// Whether the pool was removed; its row is kept.
  bool Removed_ = false;
  auto operator<=>(const Pool &) const = default;
};

/// Availability budget: the availability that a pool must keep during failures
/// and maintenance.
struct Budget {
  PoolId Pool_;
  /// Minimum number of instances that must be available at any time.
  std::uint32_t MinAvailable_ = 0;
  auto operator<=>(const Budget &) const = default;
};

/// Operating mode of a maintenance wave.
enum class WaveMode : std::uint8_t { Running, Paused, Aborted };

/// A maintenance wave: drains, reboots and returns each instance of a pool
/// once.
struct Wave {
  WaveId Name_;
  PoolId Pool_;
  WaveMode Mode_ = WaveMode::Running;
  /// Maximum time that an instance drains before its tasks are checkpointed.
  Millis DrainLimit_{30'000};
  auto operator<=>(const Wave &) const = default;
};

/// A team's share of the fleet.
struct Quota {
  TeamId Team_;
  /// Relative weight of the team's share while a pool lacks capacity.
  std::uint32_t Weight_ = 1;
  /// Maximum number of jobs that the team may have waiting or running.
  std::uint32_t MaxJobs_ = 1000;
  auto operator<=>(const Quota &) const = default;
};

/// The agreed view: the result of all committed tickets up to number Head_.
struct View {
  TicketNumber Head_;
  std::map<PoolId, Pool> Pools_;
  std::map<PoolId, Budget> Budgets_;
  std::map<WaveId, Wave> Waves_;
  std::map<TeamId, Quota> Quotas_;
  bool operator==(const View &) const = default;
};

/// Lifecycle state of an instance within its pool.
enum class InstanceState : std::uint8_t {
  /// Accepts work.
  Active,
  /// Accepts no new work; running work finishes.
  Draining,
  /// A maintenance wave is rebooting it.
  Rebooting,
  /// Out of rotation because work fails on it repeatedly.
  Ejected,
  /// The platform is removing it from the fleet.
  Leaving,
};

/// Table row of an instance; it assigns the instance to exactly one pool.
struct InstanceRow {
  InstanceId Name_;
  PoolId Pool_;
  ZoneId Zone_;
  RackId Rack_;
  /// The worker's address, "IP:port".
  std::string Address_;
  InstanceState State_ = InstanceState::Active;
  /// The last maintenance wave that completed on this instance.
  WaveId DoneWave_;
  /// While rebooting: the boot id that the worker had before the reboot.
  std::string Boot_;
  auto operator<=>(const InstanceRow &) const = default;
};

/// An entry of the platform's instance list, which lags behind the actual
/// state.
struct ListedInstance {
  InstanceId Name_;
  ZoneId Zone_;
  RackId Rack_;
  std::string Address_;
  bool Leaving_ = false;
  std::uint32_t Cores_ = 0;
  std::uint32_t MemoryMb_ = 0;
  auto operator<=>(const ListedInstance &) const = default;
};

} // namespace heathercross
