// Decides how many machines each pool has and which machines move.
//
// Load: demand shifts from pool to pool. A pool at its peak needs several times
// its mean for some seconds, more than it holds, while the others are nearly
// idle. Idle machines cost as much as busy ones, and a move costs as much
// as about one second of a machine's work.
#pragma once

#include "schedule/configuration.h"

#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace heathercross::schedule {

/// The demand of a pool as reported by its holder, in cores.
struct PoolNeed {
  /// For running tasks, and for ready tasks that can still meet their
  /// objective.
  double InTimeCores_ = 0;
  /// For ready tasks that already miss their objective.
  double LateCores_ = 0;
  /// The minimum number of machines on which the long-running tasks can be
  /// placed.
  std::uint32_t MinMachines_ = 0;
};

/// The state of a machine, as input for the sizing.
struct SizedMachine {
  MachineId Id_;
  PoolId Pool_;
  bool Up_ = false;
  /// The machine is moving into the pool.
  bool Arriving_ = false;
  double Cores_ = 0;
  std::uint32_t Runs_ = 0;
  std::uint32_t LongRunning_ = 0;
  /// The holder of its pool starts no further tasks on it.
  bool Evacuating_ = false;
  /// The holder of its pool has reported its load.
  bool Reported_ = false;
  /// The machine is needed for something else, such as an upkeep.
  bool Reserved_ = false;
};

struct MachineMove {
  MachineId Machine_;
  PoolId To_;
  auto operator<=>(const MachineMove &) const = default;
};

/// The number of machines in a pool, and the limits that the sizing decided.
struct PoolSize {
  std::uint32_t Current_ = 0;
  std::uint32_t Target_ = 0;
  /// Machines above this number are released.
  std::uint32_t Retained_ = 0;
  bool operator==(const PoolSize &) const = default;
};

struct SizingResult {
  std::map<PoolId, PoolSize> Sizes_;
  std::vector<MachineMove> Moves_;
  /// Machines to evacuate: no further task starts on them.
  std::set<MachineId> Evacuate_;
};

/// Sizes pools by their current demand. Machines that no pool needs are
/// evacuated, kept available for a while, and then moved to the standby pool,
/// whose machines are off.
class PoolSizing {
public:
  /// Returns the wanted pool sizes and moves. Standby is the pool whose
  /// machines are off, or empty if there is none. Pools that are not in Needs
  /// keep their machines.
  SizingResult step(const std::map<PoolId, PoolNeed> &Needs,
                    const std::vector<SizedMachine> &Machines,
                    const PoolId &Standby, Instant Now);

private:
  struct PeakNeed {
    /// The highest need within the hold time.
    double PeakCores_ = 0;
    Instant PeakAt_;
  };

  /// The machines of one pool and the limits that follow from its need.
  struct PoolState {
    /// Machines that are up or moving in, without those released in this step.
    std::uint32_t Current_ = 0;
    std::uint32_t Target_ = 0;
    /// The minimum for a pool with almost no demand.
    std::uint32_t MinTarget_ = 0;
    /// Machines above this number are released. It exceeds the target while
    /// machines finish late work.
    std::uint32_t Retained_ = 0;
    double CoresEach_ = 0;
    /// Machines without long-running tasks; those that can leave soonest come
    /// first.
    std::vector<const SizedMachine *> Movable_;
  };
  struct Plan {
    SizingResult Out_;
    std::set<MachineId> Released_;
    /// Released machines that are already empty.
    std::vector<const SizedMachine *> Idle_;
    std::vector<const SizedMachine *> OnStandby_;
  };

  std::map<PoolId, PoolState>
  collectPools(const std::map<PoolId, PoolNeed> &Needs,
               const std::vector<SizedMachine> &Machines, const PoolId &Standby,
               Plan &P, Instant Now);
  /// Divides all machines among the pools if the targets exceed their number;
  /// returns false if there are enough.
  static bool divideShortage(std::map<PoolId, PoolState> &Pools,
                             std::size_t StandbyCount);
  void release(const SizedMachine &M, Instant Now, Plan &P);
  static void assignMoves(const std::map<PoolId, PoolState> &Pools, Plan &P);
  double recentPeak(const PoolId &Pool, double Cores, Instant Now);

  std::map<PoolId, PeakNeed> Peaks_;
  /// Since when each released machine has not been needed by its pool.
  std::map<MachineId, Instant> ReleasedSince_;
};

} // namespace heathercross::schedule
