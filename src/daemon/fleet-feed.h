// Follows the agreed view, the instances' rows and the workers of the zone.
#pragma once

#include "daemon/clock.h"
#include "daemon/history.h"
#include "daemon/worker-client.h"
#include "fleet/model.h"
#include "heathercross/fleet-model.h"
#include "platform/platform-client.h"
#include "request/events.h"
#include "view/view-store.h"

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

/// What the entry knows of the fleet. It polls the platform for changed rows
/// with jitter, and tells the others when something changed.
class FleetFeed : public QObject {
public:
  FleetFeed(FeedConfig Config, Clock &C, History &H, platform::Client &Platform,
            WorkerClient &Workers);

  void start();
  /// Reads changed rows soon, for example since a peer is ahead.
  void pollSoon();
  /// Runs after each change of what requests are placed on.
  void onFleet(std::function<void(request::Fleet)> Done);
  /// Runs for each status that a worker gave.
  void onReport(std::function<void(const request::WorkerReport &)> Done);

  /// Whether a whole view has been obtained since the start.
  bool ready() const { return Store_.ready() && InstancesRead_; }
  const View &view() const { return Store_.view(); }
  view::ViewStore &store() { return Store_; }
  const std::map<InstanceId, fleet::InstanceRecord> &instances() const {
    return Instances_;
  }
  const std::map<InstanceId, fleet::WorkerStatus> &statuses() const {
    return Statuses_;
  }
  const std::set<InstanceId> &leaving() const { return Leaving_; }

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
  /// Takes view rows that a peer sent.
  void mergeFromPeer(const std::function<bool(view::ViewStore &)> &Merge);

  std::string dump() const;

private:
  void poll();
  void readView(TicketNumber Head);
  void takeInstances(const platform::ScanResult &R);
  void takeStatus(const InstanceId &Worker, const StatusReply &R);
  void pollWorkers();
  bool watches(const InstanceId &Worker) const;
  void viewChanged();
  void publish();
  void publishSoon();

  FeedConfig Config_;
  Clock &Clock_;
  History &History_;
  platform::Client &Platform_;
  WorkerClient &Workers_;
  view::ViewStore Store_;
  RowVersion ViewVersion_;
  RowVersion InstanceVersion_;
  bool InstancesRead_ = false;
  bool Polling_ = false;
  bool PublishDue_ = false;
  unsigned Failures_ = 0;
  std::map<InstanceId, fleet::InstanceRecord> Instances_;
  std::map<InstanceId, fleet::WorkerStatus> Statuses_;
  std::map<InstanceId, Instant> HeardAt_;
  std::set<InstanceId> Leaving_;
  std::vector<EntryId> ZoneEntries_;
  std::vector<std::function<void(request::Fleet)>> FleetListeners_;
  std::vector<std::function<void(const request::WorkerReport &)>>
      ReportListeners_;
  std::minstd_rand Random_;
  QTimer PollTimer_;
  QTimer WorkerTimer_;
};

} // namespace heathercross::daemon
