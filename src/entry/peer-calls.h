// Calls between entries: requests to the holder of a duty, health checks and
// exchange of cluster state.
#pragma once

#include "entry/context.h"
#include "entry/pool-holder.h"
#include "http/http-server.h"
#include "schedule/duty-watch.h"

#include <QJsonObject>

#include <functional>
#include <optional>
#include <string>

namespace heathercross::entry {

/// A caller's request for a queue or one of its jobs.
struct JobCall {
  enum class Kind : std::uint8_t { Submit, State, Cancel, Queued };
  Kind Kind_ = Kind::State;
  PoolId Pool_;
  schedule::QueueId Queue_;
  JobId Job_;
  QByteArray Body_;
  /// Epoch of the holder that the call is meant for. A delayed call must not be
  /// carried out when the same entry holds the duty again in a later epoch: its
  /// caller may have been told since that the job never runs.
  Epoch Epoch_;
  /// The account whose key the caller has; empty where no key is needed.
  AccountId Account_ = {};
  /// Name and processor share, in thousandths of a core, of the entry that
  /// passes the call on; earlier versions send neither.
  EntryId Entry_ = {};
  std::uint32_t CpuMilli_ = 0;
  IngressCall Ingress_ = {};
};

/// The outcome of a call to another entry.
struct PeerReply {
  enum class Kind : std::uint8_t {
    Answered,
    /// The call was never sent.
    Unreachable,
    /// The call may have been carried out.
    Unknown,
  };
  Kind Kind_ = Kind::Unknown;
  JobAnswer Answer_;
};

/// Sends a call to the entry at an address. An answer to a call that was
/// sent more than once is uncertain, since it concerns the last copy only.
void sendJobCall(Context &C, const std::string &Address, const JobCall &Call,
                 Millis Timeout, std::function<void(const PeerReply &)> OnDone);

/// Parses a peer's request; returns nothing for other requests.
std::optional<JobCall> parseJobCall(const http::Request &R);
http::Response jobAnswerResponse(const JobAnswer &A);

/// State that an entry passes to entries that the store doesn't serve.
struct SharedClusterState {
  std::map<PoolId, schedule::StoredHolder> Holders_;
  /// The operators' configuration as stored; empty if there is none.
  std::string Configuration_;
  RowVersion ConfigurationRow_;
  /// How long ago the store confirmed that it is the newest one, if it did.
  std::optional<Millis> ConfigurationAge_;
  /// Zone of the entry that sends the state.
  ZoneId Zone_;
};

void requestClusterState(
    Context &C, const std::string &Address, Millis Timeout,
    std::function<void(std::optional<SharedClusterState>)> OnDone);
bool isClusterStateCall(const http::Request &R);
http::Response clusterStateResponse(const SharedClusterState &K);

/// Checks whether the process at an address answers.
void ping(Context &C, const std::string &Address, Millis Timeout,
          std::function<void(bool Answered)> OnDone);
bool isPing(const http::Request &R);

/// How long one request to evacuate workers lasts; it is repeated while it is
/// needed.
inline constexpr Millis EvacuationDuration{1500};

struct EvacuateCall {
  PoolId Pool_;
  std::set<InstanceId> Workers_;
  /// Arrival rates of accounts in all other pools.
  accounts::ArrivalRates OtherPools_ = {};
};

/// Asks the holder of a pool to evacuate workers and for a snapshot of the
/// pool.
void callEvacuate(Context &C, const std::string &Address,
                  const EvacuateCall &Call, Millis Timeout,
                  std::function<void(std::optional<PoolSnapshot>)> OnDone);
/// The body of such a call.
QJsonObject evacuateBody(const EvacuateCall &Call);
std::optional<EvacuateCall> parseEvacuateCall(const http::Request &R);
http::Response snapshotResponse(const PoolSnapshot &P);
std::optional<PoolSnapshot> parseSnapshot(const QByteArray &Body);

} // namespace heathercross::entry
