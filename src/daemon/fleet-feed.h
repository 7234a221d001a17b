// Tracks the instance rows of the fleet and the status of the zone's workers.
#pragma once

#include "daemon/history.h"
#include "daemon/view-service.h"
#include "daemon/worker-client.h"
#include "fleet/model.h"
#include "heathercross/fleet-model.h"
#include "job/job-row.h"
#include "process/clock.h"
#include "request/events.h"
#include "store/table-client.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

namespace heathercross::daemon {

struct FeedConfig {
  EntryId Entry_;
  ZoneId Zone_;
  /// Mean interval between two reads of changed instance rows.
  Millis PollInterval_{1000};
  /// How long after the last contact with a worker its status is requested.
  Millis WorkerPollInterval_{4000};
  /// How many entries of a zone request the status of an idle worker.
  unsigned WatchersPerWorker_ = 2;
  std::uint64_t Seed_ = 1;
};

/// Holds this entry's copy of the instance rows and worker statuses. It polls
/// the platform for changed rows, with jitter, and notifies its listeners of
/// changes.
class FleetFeed : public QObject {
public:
  FleetFeed(FeedConfig Config, process::Clock &C, History &H,
            store::TableClient &Platform, WorkerClient &Workers,
            ViewService &View);

  void start();
  /// Brings the next read of changed rows forward, for example after a write.
  void pollSoon();
  /// Adds a listener for changes of the fleet that requests are placed on.
  void onFleet(std::function<void(request::Fleet)> Callback);
  /// Adds a listener for each status that a worker reports.
  void onReport(std::function<void(const request::WorkerReport &)> Callback);

  /// Whether the agreed view and all instance rows were read since the start.
  bool ready() const { return View_.ready() && InstancesRead_; }
  const View &view() const { return View_.view(); }
  const std::map<InstanceId, fleet::InstanceRecord> &instances() const {
    return Instances_;
  }
  const std::map<InstanceId, fleet::WorkerStatus> &statuses() const {
    return Statuses_;
  }
  const std::set<InstanceId> &leaving() const { return Leaving_; }

  /// Returns the cores and memory of an instance, or zeros while it is not in
  /// the platform's list.
  job::JobSize sizeOf(const InstanceId &Name) const;
  /// Returns the sizes of those instances of a pool that are in the platform's
  /// list.
  std::vector<job::JobSize> sizesOf(const PoolId &Pool) const;

  /// Marks an instance as leaving; Source is logged if it is the first to say
  /// so.
  void markLeaving(const InstanceId &Worker, const char *Source);
  /// Records a report that arrived with a worker's reply.
  void recordReport(const request::WorkerReport &Report);
  /// Sets the live entries of the zone, including this one, sorted.
  void setZoneEntries(std::vector<EntryId> Entries);
  /// Requests a worker's status now; OnDone runs when the call ended.
  void requestStatus(const InstanceId &Worker,
                     std::function<void()> OnDone = nullptr);
  /// Reads the instance rows that changed since the last read; OnDone gets
  /// whether the table responded.
  void readInstancesNow(std::function<void(bool)> OnDone);
  /// Applies instance rows from the table or from a peer. Rows that are not
  /// newer than the known ones are ignored.
  void applyRows(const std::vector<Row> &Rows);
  /// Applies a peer's instance rows. They make a restarted entry ready while
  /// the platform is unreachable.
  void applyPeerRows(const std::vector<Row> &Rows);
  /// Schedules one rebuild of the fleet, which is then sent to the listeners.
  void schedulePublish();

  std::string dump() const;

private:
  void poll();
  void refreshInstanceList();
  void applyScan(const store::ScanResult &R);
  void applyRecord(fleet::InstanceRecord Record);
  void handleStatus(const InstanceId &Worker, const StatusReply &R);
  void pollWorkers();
  bool watches(const InstanceId &Worker) const;
  void publish();

  FeedConfig Config_;
  process::Clock &Clock_;
  History &History_;
  store::TableClient &Platform_;
  WorkerClient &Workers_;
  ViewService &View_;
  RowVersion InstanceVersion_;
  bool InstancesRead_ = false;
  bool Polling_ = false;
  bool PublishDue_ = false;
  unsigned PollFailures_ = 0;
  std::map<InstanceId, fleet::InstanceRecord> Instances_;
  std::map<InstanceId, fleet::WorkerStatus> Statuses_;
  std::map<InstanceId, Instant> LastContactAt_;
  std::set<InstanceId> Leaving_;
  std::map<InstanceId, job::JobSize> ListedSizes_;
  Instant ListedAt_;
  std::vector<EntryId> ZoneEntries_;
  std::vector<std::function<void(request::Fleet)>> FleetListeners_;
  std::vector<std::function<void(const request::WorkerReport &)>>
      ReportListeners_;
  std::minstd_rand Random_;
  QTimer PollTimer_;
  QTimer WorkerTimer_;
};

} // namespace heathercross::daemon
