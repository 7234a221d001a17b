// Runs the fleet duty for the pools whose lease this entry holds.
#pragma once

#include "core/duty-lease.h"
#include "daemon/fleet-feed.h"
#include "daemon/fleet-policy.h"
#include "daemon/history.h"
#include "process/clock.h"
#include "process/metrics.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathercross::daemon {

struct ControlConfig {
  EntryId Entry_;
  std::uint64_t Incarnation_ = 0;
  /// How long a lease is valid after its holder's last renewal.
  Millis LeaseDuration_{4000};
  /// Interval between two steps of the held duties.
  Millis StepInterval_{500};
  settings::WaveStep WaveStep_ = settings::WaveStep::LargestStep;
  settings::Moves Moves_ = settings::Moves::Hysteresis;
  /// How many entries stand by for each duty, including its holder.
  unsigned StandbyEntries_ = 2;
};

/// Acquires and renews the leases of the duties this entry stands by for, and
/// runs the duties it holds. Each step reads its inputs in a fixed order, so
/// that the conditional writes that follow are safe.
class ControlService : public QObject {
public:
  ControlService(ControlConfig Config, process::Clock &C, History &H,
                 process::Metrics &M, store::TableClient &Platform,
                 WorkerClient &Workers, FleetFeed &Feed);

  void start();
  /// Releases the leases and starts no further step.
  void stop();
  /// Sets the live entries of all zones that can reach the platform, sorted.
  void setEntries(std::vector<EntryId> Entries);
  void setDemand(std::map<PoolId, fleet::PoolDemand> Demand) {
    Demand_ = std::move(Demand);
  }
  /// Returns the pools whose duty this entry holds now.
  std::set<PoolId> heldPools() const;
  /// Returns the lease version that each write of the pool's duty must expect,
  /// or nullopt when this entry does not hold the duty.
  std::optional<Expectation> guard(const PoolId &Pool) const;
  /// Records that too many distinct jobs failed on a worker.
  void suspectWorker(const InstanceId &Worker);
  const std::vector<fleet::WaveReport> &waves() const { return WaveReports_; }
  std::string dump() const;

private:
  using Duty =
      std::variant<fleet::FleetDuty, fleet::BasicFleetDuty<fleet::OneAtATime>>;

  void maintainLeases();
  void updateLeases();
  bool isStandby(const PoolId &Pool) const;
  void execute(const PoolId &Pool, const LeaseEffects &Effects);
  void execute(const PoolId &Pool, const WriteLease &E);
  void execute(const PoolId &Pool, const ReadLease &E);
  void execute(const PoolId &Pool, const DutyBegan &E);
  void execute(const PoolId &Pool, const DutyEnded &E);

  void step();
  void readPermits(std::vector<PoolId> Remaining, fleet::Snapshot S);
  void readInstanceList(fleet::Snapshot S);
  void runDuty(fleet::Snapshot S);
  void pollWorkers();
  void perform(const fleet::Write &W);
  void perform(const fleet::WorkerCommand &C);
  void scheduleNextStep(bool Busy);

  ControlConfig Config_;
  process::Clock &Clock_;
  History &History_;
  process::Metrics &Metrics_;
  store::TableClient &Platform_;
  WorkerClient &Workers_;
  FleetFeed &Feed_;
  std::vector<EntryId> Entries_;
  std::map<PoolId, std::unique_ptr<DutyLease>> Leases_;
  std::map<PoolId, fleet::PoolDemand> Demand_;
  std::map<InstanceId, fleet::InstanceOutcomes> Evidence_;
  std::map<InstanceId, Instant> PolledAt_;
  std::vector<fleet::WaveReport> WaveReports_;
  AnyFleetDuty Duty_;
  bool Stepping_ = false;
  bool Stopped_ = false;
  QTimer LeaseTimer_;
  QTimer StepTimer_;
};

} // namespace heathercross::daemon
