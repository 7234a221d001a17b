// Serves caller requests by forwarding each to the holder of its pool.
#pragma once

#include "entry/cluster-state.h"
#include "entry/duties.h"
#include "entry/peer-calls.h"
#include "http/http-server.h"
#include "schedule/open-attempts.h"

#include <QObject>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathercross::entry {

/// Answers requests of callers and of other entries. A request whose holder is
/// unknown or unreachable is repeated until the caller's deadline.
class Front : public QObject {
public:
  Front(Context &C, const ClusterState &K, Duties &D);

  /// Serves a request of a caller.
  void serve(http::Request &&R, http::Responder &&To);
  /// Serves a request of another entry.
  void servePeer(http::Request &&R, http::Responder &&To);

  /// To be called when holders may have changed: requests that a former holder
  /// hasn't answered are sent to the current one.
  void onDuties();

  /// Rejects new requests from now on, before the process ends.
  void close() { Closed_ = true; }

  /// Number of unanswered caller requests.
  std::size_t pending() const { return Pending_; }

private:
  /// A request that isn't answered yet.
  struct Call {
    JobCall Request_;
    http::Responder To_;
    Instant Arrived_;
    /// When the caller stops waiting.
    Instant Deadline_;
    schedule::OpenAttempts Open_;
    std::uint32_t Attempts_ = 0;
    /// Epoch of the remote holder that has an unanswered request for this call;
    /// none if there is no such request.
    std::optional<Epoch> AskedEpoch_;
    /// Whether AwaitingReply_ lists the call. It must not stand there twice, or
    /// it would be sent twice at a time.
    bool Listed_ = false;
    std::uint64_t ConfigurationVersion_ = 0;
    /// The pool to which the configuration sends the request. While former
    /// pools of its ingress are asked, Request_ names one of them.
    PoolId RoutedPool_;
    std::set<PoolId> ToAsk_;
    /// Counts the changes of pool: answers to attempts at another one don't
    /// count any more. Epochs of different pools can't be compared.
    std::uint32_t Stage_ = 0;
    /// Queued jobs in the pools that have answered.
    std::uint32_t Queued_ = 0;
    std::string Holder_;
    bool Answered_ = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  /// Whether the configuration's keys may be relied on: the store or another
  /// entry has confirmed recently enough that none was withdrawn.
  bool keysTrusted() const;
  /// Sends a request to the holder of its pool, in this process or another.
  void attempt(const CallPtr &C);
  void callLocalHolder(PoolHolder &H, const JobCall &Job,
                       PoolHolder::AnswerHandler OnAnswer);
  /// Sends a request to a remote holder. While the store doesn't answer, pings
  /// the holder first unless it recently answered or failed to answer.
  void sendChecked(const CallPtr &C, const schedule::StoredHolder &Holder);
  void send(const CallPtr &C, const schedule::StoredHolder &Holder);
  /// Pings a holder's process.
  void pingHolder(const PoolId &Pool, const schedule::StoredHolder &Holder);
  void handlePingReply(const PoolId &Pool, const schedule::StoredHolder &Holder,
                       bool Answered);
  /// An attempt at the holder of an epoch, in one stage of the call.
  struct Attempt {
    std::uint32_t Stage_ = 0;
    Epoch Epoch_;
  };
  /// Starts an attempt: it may take effect at the routed pool only.
  static Attempt beginAttempt(const CallPtr &C, Epoch E);
  /// Rules out that an attempt takes effect.
  static void ruleOut(const CallPtr &C, const Attempt &T);
  static bool asksFormer(const Call &C) {
    return C.Request_.Ingress_.FormerFor_ > 0;
  }
  /// Handles the answer of a holder to an attempt.
  void handleAnswer(const CallPtr &C, const JobAnswer &A, const Attempt &T);
  /// Handles the end of an attempt at a remote holder.
  void handlePeerReply(const CallPtr &C, const PeerReply &R, const Attempt &T);
  /// Begins to ask the former pools of the ingress.
  void askFormer(const CallPtr &C, const JobAnswer &A);
  /// Sends the request to the next former pool, or back to the routed one.
  void nextStage(const CallPtr &C);
  void handleQueued(const CallPtr &C, const JobAnswer &A);
  /// Repeats a request after a pause if the caller's deadline allows it.
  void retryLater(const CallPtr &C);
  /// Answers that the request failed, or that its outcome is unknown.
  void giveUp(const CallPtr &C);
  void answer(const CallPtr &C, int Status, const QJsonObject &Body,
              const std::string &Cause, Millis RetryAfter = Millis(0));

  Context &Context_;
  const ClusterState &ClusterState_;
  Duties &Duties_;
  std::size_t Pending_ = 0;
  /// Requests that wait for another entry's answer, oldest first.
  std::vector<std::weak_ptr<Call>> AwaitingReply_;
  /// When a holder's address last answered and last failed to answer.
  struct Contact {
    Instant AnsweredAt_;
    Instant FailedAt_;
    bool PingInFlight_ = false;
    /// Requests to send once the holder answers the ping.
    std::vector<CallPtr> Waiting_;
  };
  std::map<std::string, Contact> Contacts_;
  bool Closed_ = false;
};

} // namespace heathercross::entry
