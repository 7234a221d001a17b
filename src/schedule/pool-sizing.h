// How many machines each pool has, and which ones move.
//
// Load: demand turns from pool to pool. The pool whose turn it is asks for
// several times its mean for some seconds, more than it holds, while the
// others are nearly idle. Machines that idle cost as much as machines that
// work, and a move costs about as much as a second of one machine.
#pragma once

#include "schedule/configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace heathercross::schedule {

/// What a pool's holder says of its work, in cores.
struct PoolNeed {
  /// For what runs, and for ready tasks that can be in time.
  double InTimeCores_ = 0;
  /// For ready tasks that are late already.
  double LateCores_ = 0;
  /// The fewest machines on which tasks that last can be placed.
  std::uint32_t MinMachines_ = 0;
};

/// A machine as the plan sees it.
struct SizedMachine {
  MachineId Id_;
  PoolId Pool_;
  bool Up_ = false;
  /// It is on its way into the pool.
  bool Arriving_ = false;
  double Cores_ = 0;
  std::uint32_t Runs_ = 0;
  std::uint32_t Lasting_ = 0;
  /// Its pool's holder starts nothing more on it.
  bool Vacating_ = false;
  /// Its pool's holder has reported it.
  bool Known_ = false;
  /// It is wanted for something else, such as an upkeep.
  bool Reserved_ = false;
};

struct MachineMove {
  MachineId Machine_;
  PoolId To_;
  auto operator<=>(const MachineMove &) const = default;
};

/// A pool's machines against what they were decided to be.
struct PoolSize {
  std::uint32_t Have_ = 0;
  std::uint32_t Target_ = 0;
  std::uint32_t Keep_ = 0;
  bool operator==(const PoolSize &) const = default;
};

struct SizingStep {
  std::map<PoolId, PoolSize> Sizes_;
  std::vector<MachineMove> Moves_;
  /// Machines on which nothing more shall start.
  std::set<MachineId> Vacate_;
};

/// Sizes pools by their present work. Machines that no pool needs are emptied,
/// kept ready for a while, and then parked in a pool whose machines are off.
class PoolSizing {
public:
  /// Standby is the pool whose machines are off; empty without one. Pools
  /// that aren't in Needs keep their machines.
  SizingStep step(const std::map<PoolId, PoolNeed> &Needs,
                  const std::vector<SizedMachine> &Machines,
                  const PoolId &Standby, Instant Now);

private:
  struct Memory {
    /// The highest need of the last moments.
    double PeakCores_ = 0;
    Instant PeakAt_;
  };

  /// One pool's machines against its need.
  struct PoolState {
    /// Machines that work or are about to.
    std::uint32_t Have_ = 0;
    std::uint32_t Target_ = 0;
    /// What it has even while it has next to no work.
    std::uint32_t Ready_ = 0;
    /// Beyond the target, machines that still finish late work.
    std::uint32_t Keep_ = 0;
    double CoresEach_ = 0;
    /// Machines without lasting tasks, those that can leave first in front.
    std::vector<const SizedMachine *> Movable_;
  };
  struct Plan {
    SizingStep Out_;
    std::set<MachineId> Spare_;
    /// Machines that are empty and not needed by their pool.
    std::vector<const SizedMachine *> Ready_;
    std::vector<const SizedMachine *> Parked_;
  };

  std::map<PoolId, PoolState> survey(const std::map<PoolId, PoolNeed> &Needs,
                                     const std::vector<SizedMachine> &Machines,
                                     const PoolId &Standby, Plan &P,
                                     Instant Now);
  /// Divides the machines among the pools when they ask for more than there
  /// are; false when there are enough.
  static bool divide(std::map<PoolId, PoolState> &Pools, std::size_t Parked);
  void release(const SizedMachine &M, Instant Now, Plan &P);
  static void assign(const std::map<PoolId, PoolState> &Pools, Plan &P);
  double steadyNeed(const PoolId &Pool, double Cores, Instant Now);

  std::map<PoolId, Memory> Memory_;
  /// Since when a machine isn't needed by its pool.
  std::map<MachineId, Instant> SpareSince_;
};

} // namespace heathercross::schedule
