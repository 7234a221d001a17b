// Decides which machines of a maintenance wave start their upkeep, and when.
//
// Load: a wave covers about half of the machines within 25 s, while demand
// shifts from pool to pool. Machines are evacuated while others are in upkeep,
// so that the time to empty them is not added to each round.
#pragma once

#include "schedule/configuration.h"

#include <map>
#include <set>
#include <vector>

namespace heathercross::schedule {

/// The runs on a machine's instance, as reported by the holder of its pool.
struct MachineLoad {
  std::uint32_t Runs_ = 0;
  std::uint32_t LongRunning_ = 0;
  /// Whether the holder of its pool currently starts no further tasks on it.
  bool Evacuating_ = false;
  /// Whether the holder of its pool has reported.
  bool Reported_ = false;
};

/// The actions that are due for a wave.
struct WaveStep {
  /// Machines to evacuate, with those whose upkeep may begin at any moment.
  std::vector<MachineId> Evacuate_;
  /// Machines to send into their upkeep now.
  std::vector<MachineId> Order_;
  bool Complete_ = false;
};

/// Plans and tracks one maintenance wave.
class WavePlan {
public:
  WavePlan(UpkeepWave W, Instant FirstSeen)
      : Wave_(std::move(W)), FirstSeen_(FirstSeen) {}

  /// Records that the upkeep of a machine has begun.
  void began(const MachineId &Id, Instant Now);
  /// Records that the upkeep of a machine was ordered and the outcome is still
  /// unknown.
  void ordered(const MachineId &Id) { Ordered_.insert(Id); }
  /// Records that an order did not begin an upkeep.
  void refused(const MachineId &Id) { Ordered_.erase(Id); }

  /// Machines whose upkeep was ordered with an unknown outcome.
  const std::set<MachineId> &ordered() const { return Ordered_; }
  /// Machines whose upkeep has begun, and when. The caller stores them.
  const std::map<MachineId, Instant> &begun() const { return Begun_; }
  void restore(const std::set<MachineId> &Begun, Instant Now);
  const UpkeepWave &wave() const { return Wave_; }

  /// Returns the actions that are due. Machines holds all existing machines;
  /// Upkeep is the duration of one upkeep. Former holders may have ordered the
  /// upkeep of the machines in Unsettled: these count as unavailable, and none
  /// of them is ordered.
  WaveStep step(const std::map<MachineId, Machine> &Machines,
                const std::map<MachineId, MachineLoad> &Loads, Millis Upkeep,
                Instant Now, const std::set<MachineId> &Unsettled = {}) const;

private:
  /// The number of machines in upkeep at a time that completes the wave in
  /// time. It is kept minimal, because demand may need the machines.
  std::uint32_t requiredConcurrency(std::size_t Pending, Instant Now) const;

  UpkeepWave Wave_;
  Instant FirstSeen_;
  std::map<MachineId, Instant> Begun_;
  std::set<MachineId> Ordered_;
};

} // namespace heathercross::schedule
