// Dependencies shared by the services of an entry instance.
#pragma once

#include "entry/advice-calls.h"
#include "entry/entry-settings.h"
#include "http/http-client.h"
#include "platform/machines.h"
#include "platform/store.h"
#include "platform/workers.h"
#include "process/clock.h"
#include "process/event-log.h"
#include "process/metrics.h"

#include <QPointer>

#include <utility>

namespace heathercross::entry {

struct Context {
  const EntrySettings &Settings_;
  /// Name of this process: the entry's name and its start time, so that it is
  /// unique across restarts.
  EntryId Incarnation_;
  process::Clock &Clock_;
  process::EventLog &Log_;
  process::Metrics &Metrics_;
  platform_api::Store &Store_;
  platform_api::Workers &Workers_;
  platform_api::Machines &Machines_;
  AdviceCalls &Advice_;
  /// For calls to other entries.
  http::Client &Peers_;
};

/// Wraps a callback so that it does nothing once its owner is destroyed.
template <class Owner, class Function> auto guarded(Owner *O, Function F) {
  return [Guard = QPointer<Owner>(O), F = std::move(F)](auto &&...Args) {
    if (Guard)
      F(std::forward<decltype(Args)>(Args)...);
  };
}

/// Names of the store's tables and keys; a row's partition is its pool.
inline constexpr const char *HolderTable = "holders";
inline constexpr const char *HolderKey = "holder";
/// The pools that have had a holder, in the partition "" by name.
inline constexpr const char *PoolTable = "pools";
inline constexpr const char *JobTable = "jobs";
inline constexpr const char *ProgressTable = "progress";
inline constexpr const char *RosterTable = "rosters";
inline constexpr const char *RosterKey = "roster";
inline constexpr const char *QueuesKey = "queues";
inline constexpr const char *IngressesKey = "ingresses";
inline constexpr const char *WaveTable = "waves";
/// The pools that have claimed an ingress, in the partition "" by its id.
inline constexpr const char *IngressTable = "ingresses";

/// Partition and duty of the fleet controller. It can't clash with a pool, as
/// pool names contain no asterisk.
inline const PoolId FleetDuty("*fleet*");

} // namespace heathercross::entry
