// The operators' configuration: queues, pools and limits.
#pragma once

#include "accounts/account.h"
#include "schedule/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::schedule {

/// Maps requests by host and path to a queue.
struct Route {
  QueueId Queue_;
  std::string Host_;
  /// The route with the longest matching path prefix applies.
  std::string Prefix_;
  QueueSettings Settings_;
  Millis Timeout_{0};
  /// Calls need no key, and jobs have no account.
  bool Public_ = false;
};

struct PoolSettings {
  PoolId Pool_;
  /// The pool's machines are switched off and cost nothing.
  bool Standby_ = false;
};

struct Configuration {
  std::uint64_t Version_ = 0;
  std::vector<Route> Routes_;
  std::vector<PoolSettings> Pools_;
  std::uint64_t MaxBodyBytes_ = 0;
  /// Without it no call needs a key and jobs have no account.
  std::optional<accounts::AccountDirectory> Accounts_;

  /// Returns the route of a request, or null.
  const Route *route(std::string_view Host, std::string_view Path) const;
  /// Returns the settings of each queue of a pool.
  std::map<QueueId, QueueSettings> queuesOf(const PoolId &Pool) const;
  /// Returns the ingresses that lead to a pool. Of several routes with the same
  /// host and prefix, the first one applies.
  std::set<IngressId> ingressesOf(const PoolId &Pool) const;
};

/// A maintenance wave: the listed machines are to have their upkeep within a
/// time limit, at most MaxAtOnce_ at a time.
struct UpkeepWave {
  std::uint64_t Number_ = 0;
  std::vector<MachineId> Machines_;
  Millis TimeLimit_{0};
  std::uint32_t MaxAtOnce_ = 1;
};

enum class MachineState : std::uint8_t { Up, Moving, Upkeep, Down };

struct Machine {
  MachineId Id_;
  PoolId Pool_;
  MachineState State_ = MachineState::Down;
  ZoneId Zone_;
  RackId Rack_;
  Resources Capacity_;
  /// The instance that currently runs on the machine, or empty.
  InstanceId Instance_;
};

} // namespace heathercross::schedule
