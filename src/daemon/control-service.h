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
  /// How long a lease outlives its holder's last renewal.
  Millis Lease_{4000};
  /// The pause between two steps of the duties that are held.
  Millis Step_{500};
  settings::WaveStep Waves_ = settings::WaveStep::LargestStep;
  settings::Moves Moves_ = settings::Moves::Hysteresis;
  /// The entries that stand by for one duty, its holder included.
  unsigned StandBy_ = 2;
};

/// Keeps the leases of the duties this entry stands by for, and runs the
/// decisions of those it holds: reads what they need in the order that makes
/// their writes safe, and carries out their actions.
class ControlService : public QObject {
public:
  ControlService(ControlConfig Config, process::Clock &C, History &H,
                 process::Metrics &M, store::TableClient &Platform,
                 WorkerClient &Workers, FleetFeed &Feed);

  void start();
  /// Gives up the leases and begins nothing more.
  void stop();
  /// The live entries of all zones that can reach the platform, in order.
  void setEntries(std::vector<EntryId> Entries);
  void setDemand(std::map<PoolId, fleet::PoolDemand> Demand) {
    Demand_ = std::move(Demand);
  }
  /// The pools whose duty this entry holds now.
  std::set<PoolId> held() const;
  /// What each write of a pool's duty must expect; nothing unless held.
  std::optional<Expectation> guard(const PoolId &Pool) const;
  /// Notes that too many distinct jobs fail on a worker.
  void suspect(const InstanceId &Worker);
  const std::vector<fleet::WaveReport> &waves() const { return Waves_; }
  std::string dump() const;

private:
  using Duty =
      std::variant<fleet::FleetDuty, fleet::BasicFleetDuty<fleet::OneAtATime>>;

  void keepLeases();
  void chooseDuties();
  bool standsBy(const PoolId &Pool) const;
  void carryOut(const PoolId &Pool, const LeaseEffects &Effects);
  void carryOut(const PoolId &Pool, const WriteLease &E);
  void carryOut(const PoolId &Pool, const ReadLease &E);
  void carryOut(const PoolId &Pool, const DutyBegan &E);
  void carryOut(const PoolId &Pool, const DutyEnded &E);

  void step();
  void readPermits(std::vector<PoolId> Left, fleet::Snapshot S);
  void readList(fleet::Snapshot S);
  void decide(fleet::Snapshot S);
  void askWorkers();
  void act(const fleet::Write &W);
  void act(const fleet::WorkerCommand &C);
  void afterStep(bool Busy);

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
  std::map<InstanceId, fleet::InstanceEvidence> Evidence_;
  std::map<InstanceId, Instant> AskedAt_;
  std::vector<fleet::WaveReport> Waves_;
  AnyFleetDuty Duty_;
  bool Stepping_ = false;
  bool Stopped_ = false;
  QTimer LeaseTimer_;
  QTimer StepTimer_;
};

} // namespace heathercross::daemon
