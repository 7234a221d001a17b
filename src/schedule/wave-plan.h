// Which machines of a wave go into their upkeep, and when.
//
// Load: a wave covers about half of the machines within 25 s, while demand
// turns from pool to pool. Machines are emptied first, some ahead of those
// that are away, so that the time for emptying isn't added to each round.
#pragma once

#include "schedule/configuration.h"

#include <map>
#include <set>
#include <vector>

namespace heathercross::schedule {

/// What is known of the runs on a machine's instance.
struct MachineLoad {
  std::uint32_t Runs_ = 0;
  std::uint32_t Lasting_ = 0;
  /// Whether its holder starts nothing more on it for now.
  bool Vacating_ = false;
  /// Whether the holder of its pool has reported at all.
  bool Known_ = false;
};

/// What to do for a wave now.
struct WaveStep {
  /// Machines whose instances shall become empty.
  std::vector<MachineId> Vacate_;
  /// Machines that go into their upkeep at once.
  std::vector<MachineId> Order_;
  bool Complete_ = false;
};

/// Follows one wave.
class WavePlan {
public:
  WavePlan(UpkeepWave W, Instant Seen) : Wave_(std::move(W)), Seen_(Seen) {}

  /// The upkeep of a machine has begun, for certain.
  void began(const MachineId &Id, Instant Now);
  /// The order for a machine is on its way, or its outcome is unknown.
  void ordered(const MachineId &Id) { Ordered_.insert(Id); }
  /// The order didn't begin an upkeep.
  void refused(const MachineId &Id) { Ordered_.erase(Id); }

  /// Machines whose upkeep has begun, to be stored.
  const std::map<MachineId, Instant> &begun() const { return Begun_; }
  void restore(const std::set<MachineId> &Begun, Instant Now);
  const UpkeepWave &wave() const { return Wave_; }

  /// Decides. Machines lists all that exist; Upkeep is how long one is away.
  WaveStep step(const std::map<MachineId, Machine> &Machines,
                const std::map<MachineId, MachineLoad> &Loads, Millis Upkeep,
                Instant Now) const;

private:
  /// How many machines to take out at a time so that the wave ends in time;
  /// no more, since demand may need them.
  std::uint32_t pace(std::size_t Left, Instant Now) const;

  UpkeepWave Wave_;
  Instant Seen_;
  std::map<MachineId, Instant> Begun_;
  std::set<MachineId> Ordered_;
};

} // namespace heathercross::schedule
