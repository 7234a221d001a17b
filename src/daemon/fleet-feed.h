// Follows the instances' rows and the workers of the zone.
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
  Millis Poll_{1000};
  /// How often a worker is asked of which nothing was heard meanwhile.
  Millis WorkerPoll_{4000};
  /// The entries of a zone that watch one idle worker.
  unsigned Watchers_ = 2;
  std::uint64_t Seed_ = 1;
};

/// What the entry knows of the instances. It polls the platform for changed
/// rows with jitter, and tells the others when something changed.
class FleetFeed : public QObject {
public:
  FleetFeed(FeedConfig Config, process::Clock &C, History &H,
            store::TableClient &Platform, WorkerClient &Workers,
            ViewService &View);

  void start();
  /// Reads changed rows soon, for example since a peer is ahead.
  void pollSoon();
  /// Runs after each change of what requests are placed on.
  void onFleet(std::function<void(request::Fleet)> Done);
  /// Runs for each status that a worker gave.
  void onReport(std::function<void(const request::WorkerReport &)> Done);

  /// Whether a whole view has been obtained since the start.
  bool ready() const { return View_.ready() && InstancesRead_; }
  const View &view() const { return View_.view(); }
  const std::map<InstanceId, fleet::InstanceRecord> &instances() const {
    return Instances_;
  }
  const std::map<InstanceId, fleet::WorkerStatus> &statuses() const {
    return Statuses_;
  }
  const std::set<InstanceId> &leaving() const { return Leaving_; }

  /// Cores and memory of an instance, as listed; zeros while unknown.
  job::JobSize sizeOf(const InstanceId &Name) const;
  /// The sizes of a pool's instances that are listed.
  std::vector<job::JobSize> sizesOf(const PoolId &Pool) const;

  /// An instance is leaving, as some source said first.
  void markLeaving(const InstanceId &Worker, const char *Source);
  /// Notes a sign of life that came beside an answer.
  void heard(const request::WorkerReport &Report);
  /// The live entries of the zone, this one included, in order.
  void setZoneEntries(std::vector<EntryId> Entries);
  /// Asks one worker for its status now.
  void ask(const InstanceId &Worker, std::function<void()> OnDone = nullptr);
  /// Reads the instances' rows up to now; says whether the table answered.
  void readInstancesNow(std::function<void(bool)> OnDone);
  /// Takes instances' rows, from the table or from a peer. Older versions than
  /// those that are known change nothing.
  void takeRows(const std::vector<Row> &Rows);
  /// Takes the rows that a peer holds; they make a fresh entry ready while the
  /// platform is away.
  void takeFromPeer(const std::vector<Row> &Rows);
  /// Builds the fleet anew for those who follow it.
  void publishSoon();

  std::string dump() const;

private:
  void poll();
  void readList();
  void takeInstances(const store::ScanResult &R);
  void takeRow(fleet::InstanceRecord Record);
  void takeStatus(const InstanceId &Worker, const StatusReply &R);
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
  unsigned Failures_ = 0;
  std::map<InstanceId, fleet::InstanceRecord> Instances_;
  std::map<InstanceId, fleet::WorkerStatus> Statuses_;
  std::map<InstanceId, Instant> HeardAt_;
  std::set<InstanceId> Leaving_;
  std::map<InstanceId, job::JobSize> Sizes_;
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
