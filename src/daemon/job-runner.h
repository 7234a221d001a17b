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

/// Carries out the decisions of the job duty of each held pool. Jobs share the
/// lease of the pool's duty, so that what is learned of bad workers is where
/// instances are ejected.
class JobRunner : public QObject {
public:
  JobRunner(std::string Incarnation, process::Clock &C, History &H,
            process::Metrics &M, store::TableClient &Platform,
            WorkerClient &Workers, FleetFeed &Feed, ControlService &Control,
            JobIndex &Index);

  void start();
  /// Reads changed rows soon, since a job was accepted here.
  void pollSoon();
  std::string dump() const;

private:
  void follow();
  void poll();
  void tick();
  void feed(const PoolId &Pool, const job::JobEffects &Effects);
  void execute(const PoolId &Pool, const job::WriteJobs &E);
  void execute(const PoolId &Pool, const job::ReadJobs &E);
  void execute(const PoolId &Pool, const job::StartTask &E);
  void execute(const PoolId &Pool, const job::RenewTask &E);
  void execute(const PoolId &Pool, const job::StopTask &E);
  void execute(const PoolId &Pool, const job::CheckpointTask &E);
  void execute(const PoolId &Pool, const job::SuspectWorker &E);
  void replied(const PoolId &Pool, const job::TaskReply &Reply);
  /// Puts a long result into the object store before the duty sees it.
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
  std::uint64_t LastDuty_ = 0;
  bool Polling_ = false;
  QTimer Tick_;
  QTimer Poll_;
};

} // namespace heathercross::daemon
