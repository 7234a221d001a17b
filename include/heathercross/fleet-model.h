// What operators agree on and what the platform reports: plain data.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross {

/// A group of instances that serves one kind of work.
struct Pool {
  PoolId Name_;
  /// How many instances the pool is meant to have.
  std::uint32_t Size_ = 0;
  /// Whether other pools may borrow its idle slots (overflow).
  bool Spare_ = false;
  /// Whether work that finds this pool full may run on the spare pool.
  bool MayOverflow_ = true;
  /// Whether the pool is gone; a removed pool keeps its row.
  bool Removed_ = false;
  auto operator<=>(const Pool &) const = default;
};

/// The availability that a pool must keep through failures and maintenance.
struct Budget {
  PoolId Pool_;
  /// Instances that must stay available at every moment.
  std::uint32_t MinAvailable_ = 0;
  auto operator<=>(const Budget &) const = default;
};

/// Whether a wave makes progress.
enum class WaveMode : std::uint8_t { Running, Paused, Aborted };

/// One pass of maintenance (drain, reboot, return) over a pool's instances.
struct Wave {
  WaveId Name_;
  PoolId Pool_;
  WaveMode Mode_ = WaveMode::Running;
  /// How long an instance may drain before its tasks are checkpointed.
  Millis DrainLimit_{30'000};
  auto operator<=>(const Wave &) const = default;
};

/// A team's share of the fleet.
struct Quota {
  TeamId Team_;
  /// The weight of the team's share when a pool is short.
  std::uint32_t Weight_ = 1;
  /// How many jobs the team may have waiting or running.
  std::uint32_t MaxJobs_ = 1000;
  auto operator<=>(const Quota &) const = default;
};

/// The agreed state: what the committed tickets up to a number amount to.
struct View {
  TicketNumber Head_;
  std::map<PoolId, Pool> Pools_;
  std::map<PoolId, Budget> Budgets_;
  std::map<WaveId, Wave> Waves_;
  std::map<TeamId, Quota> Quotas_;
  bool operator==(const View &) const = default;
};

/// Where an instance stands in its life as a member of a pool.
enum class InstanceState : std::uint8_t {
  /// Takes work.
  Active,
  /// Takes no new work; what runs finishes.
  Draining,
  /// Is being rebooted by a wave.
  Rebooting,
  /// Was taken out of rotation because work keeps failing on it.
  Ejected,
  /// Is leaving the fleet.
  Leaving,
};

/// The row that makes an instance a member of exactly one pool.
struct InstanceRow {
  InstanceId Name_;
  PoolId Pool_;
  ZoneId Zone_;
  RackId Rack_;
  /// The worker's address, "IP:port".
  std::string Address_;
  InstanceState State_ = InstanceState::Active;
  /// The last wave that finished on this instance.
  WaveId DoneWave_;
  /// While rebooting: the boot id of the run that the reboot is to end.
  std::string Boot_;
  auto operator<=>(const InstanceRow &) const = default;
};

/// What the platform's instance list says of an instance; it lags.
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
