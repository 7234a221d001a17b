// What entries ask each other: requests for a duty that another one holds.
#pragma once

#include "entry/context.h"
#include "entry/pool-holder.h"
#include "http/http-server.h"
#include "schedule/duty-watch.h"

#include <functional>
#include <string>

namespace heathercross::entry {

/// What a caller wants of a queue or one of its jobs.
struct JobCall {
  enum class Kind : std::uint8_t { Submit, State, Cancel, Queued };
  Kind Kind_ = Kind::State;
  PoolId Pool_;
  schedule::QueueId Queue_;
  JobId Job_;
  QByteArray Body_;
  /// The holder's epoch for which the call is meant. A call that arrives late,
  /// when the same entry holds the duty again, must not be carried out: its
  /// caller may have been told since that the job never runs.
  Epoch Epoch_;
};

/// How a call to another entry went.
struct PeerReply {
  enum class Kind : std::uint8_t {
    Answered,
    /// The call never left.
    Unreachable,
    /// The call may have been carried out.
    Unknown,
  };
  Kind Kind_ = Kind::Unknown;
  JobAnswer Answer_;
};

/// Sends a call to the entry at an address.
void callPeer(Context &C, const std::string &Address, const JobCall &Call,
              Millis Timeout, std::function<void(const PeerReply &)> OnDone);

/// The call in a peer's request; nothing for another request.
std::optional<JobCall> parseJobCall(const http::Request &R);
http::Response peerResponse(const JobAnswer &A);

/// What an entry passes on to those that the store turns away.
struct SharedKnowledge {
  std::map<PoolId, schedule::KnownHolder> Holders_;
  /// The operators' configuration as it stands in the store; empty without.
  std::string Configuration_;
  RowVersion ConfigurationRow_;
  /// Where the entry is that says so.
  ZoneId Zone_;
};

void askKnowledge(Context &C, const std::string &Address, Millis Timeout,
                  std::function<void(std::optional<SharedKnowledge>)> OnDone);
bool isKnowledgeCall(const http::Request &R);
http::Response knowledgeResponse(const SharedKnowledge &K);

/// Asks whether the process at an address answers at all.
void ping(Context &C, const std::string &Address, Millis Timeout,
          std::function<void(bool Answered)> OnDone);
bool isPing(const http::Request &R);

/// Vacating is asked for again all the while it matters, and ends by itself.
inline constexpr Millis VacateFor{1500};

/// Asks the holder of a pool to empty workers, and for a picture of the pool.
void callVacate(Context &C, const std::string &Address, const PoolId &Pool,
                const std::set<InstanceId> &Workers, Millis Timeout,
                std::function<void(std::optional<PoolPicture>)> OnDone);

struct VacateCall {
  PoolId Pool_;
  std::set<InstanceId> Workers_;
};
std::optional<VacateCall> parseVacateCall(const http::Request &R);
http::Response pictureResponse(const PoolPicture &P);

} // namespace heathercross::entry
