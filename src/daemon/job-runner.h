// Runs the jobs of the pools whose duty this entry holds.
#pragma once

#include "daemon/control-service.h"
#include "daemon/job-index.h"
#include "daemon/worker-client.h"
#include "job/job-duty.h"
#include "process/clock.h"

#include <QObject>
#include <QTimer>

#include <map>
#include <memory>
#include <set>
#include <string>

namespace heathercross::daemon {

/// Runs the job duty of each pool whose lease this entry holds. Jobs share that
/// lease with the fleet duty, so that failures of jobs on a worker are known
/// where its instance can be ejected.
class JobRunner : public QObject {
public:
  JobRunner(std::string Incarnation, process::Clock &C, History &H,
            process::Metrics &M, store::TableClient &Platform,
            WorkerClient &Workers, FleetFeed &Feed, ControlService &Control,
            JobIndex &Index);

  void start();
  /// Brings the next read of changed rows forward, after a job was accepted
  /// here.
  void pollSoon();
  std::string dump() const;

private:
  void syncDuties();
  void poll();
  void tick();
  void executeAll(const PoolId &Pool, const job::JobEffects &Effects);
  void execute(const PoolId &Pool, const job::WriteJobs &E);
  void execute(const PoolId &Pool, const job::ReadJobs &E);
  void execute(const PoolId &Pool, const job::StartTask &E);
  void execute(const PoolId &Pool, const job::RenewTask &E);
  void execute(const PoolId &Pool, const job::StopTask &E);
  void execute(const PoolId &Pool, const job::CheckpointTask &E);
  void execute(const PoolId &Pool, const job::SuspectWorker &E);
  void handleReply(const PoolId &Pool, const job::TaskReply &Reply);
  /// Writes a long result to the object store, then passes its name to the
  /// duty.
  void storeResult(const PoolId &Pool, const job::TaskReply &Reply);
  std::vector<job::JobWorker> workersOf(const PoolId &Pool) const;

  std::string Incarnation_;
  process::Clock &Clock_;
  History &History_;
  process::Metrics &Metrics_;
  store::TableClient &Platform_;
  WorkerClient &Workers_;
  FleetFeed &Feed_;
  ControlService &Control_;
  JobIndex &Index_;
  std::map<PoolId, std::unique_ptr<job::JobDuty>> Duties_;
  std::uint64_t LastDutyNumber_ = 0;
  bool Polling_ = false;
  QTimer TickTimer_;
  QTimer PollTimer_;
};

} // namespace heathercross::daemon
