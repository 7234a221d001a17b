// An entry's copy of the configuration, the registered workers, the maintenance
// waves and the duty holders.
#pragma once

#include "entry/peer-calls.h"
#include "entry/table-follower.h"
#include "schedule/configuration.h"
#include "schedule/duty-watch.h"

#include <QObject>

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <set>

namespace heathercross::entry {

/// Follows the store's tables and decodes their rows. While the store doesn't
/// answer, the holders and the configuration come from other entries.
class ClusterState : public QObject {
public:
  struct Handlers {
    std::function<void()> OnConfiguration_;
    std::function<void()> OnWorkers_;
    /// The holder rows are up to date.
    std::function<void()> OnDuties_;
  };

  ClusterState(Context &C, Handlers H);

  void start();

  const std::optional<schedule::Configuration> &configuration() const {
    return Configuration_;
  }
  /// Registered workers of all pools.
  const std::map<InstanceId, schedule::WorkerInfo> &workers() const {
    return Workers_;
  }
  const std::map<std::uint64_t, schedule::UpkeepWave> &waves() const {
    return Waves_;
  }
  schedule::DutyWatch &duties() { return Duties_; }
  const schedule::DutyWatch &duties() const { return Duties_; }
  /// Whether the stored list of pools names this one, so that entries find its
  /// duty without a route to it.
  bool isListed(const PoolId &Pool) const {
    return ListedPools_.contains(Pool);
  }
  void setListed(const PoolId &Pool) { ListedPools_.insert(Pool); }
  /// Whether the last poll of the holder rows succeeded.
  bool storeAnswers() const { return !DutiesFollower_.failing(); }
  /// When the configuration was last known to be the newest one, as the store
  /// or another entry has confirmed; the clock's epoch if it never was.
  Instant configurationConfirmedAt() const {
    return std::max(OperatorFollower_.currentAt(), PeerConfirmedAt_);
  }
  /// Whether neither the store nor an entry of another zone has answered for a
  /// while. Entries of other zones can then serve the callers better.
  bool isolated() const;
  /// The part that is passed to other entries.
  SharedClusterState shared() const;
  /// Starts to follow the worker registrations, which only an entry with a
  /// duty needs.
  void followWorkers(bool Follow);
  /// Reads the changes of the holder rows at once.
  void pollDutiesNow() { DutiesFollower_.pollNow(); }

private:
  void applyOperatorRows(const std::vector<platform_api::StoredRow> &Rows);
  void applyConfiguration(const std::string &Text, RowVersion Row);
  void askPeer();
  /// Takes in what another entry answered to a request sent at SentAt.
  void applyShared(const SharedClusterState &K, Instant SentAt);
  void applyWorkerRow(const platform_api::StoredRow &Row);
  void dropMissingWorkers();
  void applyHolderRows(const std::vector<platform_api::StoredRow> &Rows);
  std::vector<std::string> dutyPartitions() const;

  Context &Context_;
  Handlers Handlers_;
  std::optional<schedule::Configuration> Configuration_;
  std::map<InstanceId, schedule::WorkerInfo> Workers_;
  /// Workers whose row is missing or unreadable, and since when.
  std::map<InstanceId, Instant> Missing_;
  std::map<std::uint64_t, schedule::UpkeepWave> Waves_;
  schedule::DutyWatch Duties_;
  std::set<PoolId> ListedPools_;
  /// The configuration as stored, and its row's version.
  std::string ConfigurationText_;
  RowVersion ConfigurationRow_;
  QTimer PeerPollTimer_;
  std::size_t NextPeer_ = 0;
  bool AskingPeer_ = false;
  /// When the newest configuration that another entry passed on was confirmed
  /// by the store.
  Instant PeerConfirmedAt_;
  /// When an entry of another zone last answered.
  Instant OtherZoneAnsweredAt_;
  bool WorkersFollowed_ = false;
  TableFollower OperatorFollower_;
  TableFollower WorkersFollower_;
  TableFollower DutiesFollower_;
};

} // namespace heathercross::entry
