// What an entry knows of configuration, workers and duties.
#pragma once

#include "entry/peer-calls.h"
#include "entry/table-follower.h"
#include "schedule/configuration.h"
#include "schedule/duty-watch.h"

#include <QObject>

#include <functional>
#include <map>
#include <optional>

namespace heathercross::entry {

/// Follows the store's tables and decodes what they say.
class Knowledge : public QObject {
public:
  struct Handlers {
    std::function<void()> OnConfiguration_;
    std::function<void()> OnWorkers_;
    /// The holder rows are current.
    std::function<void()> OnDuties_;
  };

  Knowledge(Context &C, Handlers H);

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
  /// Whether the store answered lately.
  bool storeAnswers() const { return !DutiesFollower_.failing(); }
  /// Whether neither the store nor an entry of another zone answers: callers
  /// are better served in other zones.
  bool isolated() const;
  /// What other entries may be told.
  SharedKnowledge shared() const;
  /// Workers matter only to an entry that holds a duty.
  void followWorkers(bool Follow);
  /// Reads the holder rows at once.
  void hurryDuties() { DutiesFollower_.hurry(); }

private:
  void takeOperatorRows(const std::vector<platform_api::StoredRow> &Rows);
  void takeConfiguration(const std::string &Text, RowVersion Row);
  void askPeer();
  void takeShared(const SharedKnowledge &K);
  void takeWorkerRow(const platform_api::StoredRow &Row);
  void dropMissing();
  void takeHolderRows(const std::vector<platform_api::StoredRow> &Rows);
  std::vector<std::string> dutyPartitions() const;

  Context &Context_;
  Handlers Handlers_;
  std::optional<schedule::Configuration> Configuration_;
  std::map<InstanceId, schedule::WorkerInfo> Workers_;
  /// Workers whose row was removed, and when.
  std::map<InstanceId, Instant> Missing_;
  std::map<std::uint64_t, schedule::UpkeepWave> Waves_;
  schedule::DutyWatch Duties_;
  std::string ConfigurationText_;
  RowVersion ConfigurationRow_;
  QTimer PeerPoll_;
  std::size_t NextPeer_ = 0;
  bool AskingPeer_ = false;
  /// When an entry of another zone answered last.
  Instant OtherZoneHeard_;
  bool WorkersFollowed_ = false;
  TableFollower OperatorFollower_;
  TableFollower WorkersFollower_;
  TableFollower DutiesFollower_;
};

} // namespace heathercross::entry
