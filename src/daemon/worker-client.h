// Calls to workers, and the interpretation of their replies.
#pragma once

#include "heathercross/ids.h"
#include "http/http-client.h"
#include "request/events.h"

#include <QByteArray>
#include <QJsonObject>

#include <functional>
#include <map>
#include <optional>
#include <string>

namespace heathercross::daemon {

/// The result of one attempt to run a request on a worker.
struct AttemptReply {
  request::TryResult Result_ = request::TryResult::Lost;
  request::Refusal Refusal_ = request::Refusal::None;
  Micros Took_{0};
  QByteArray Body_;
  /// The load that the worker reported in the headers of its reply.
  std::optional<request::WorkerReport> Report_;
};

/// One attempt to run a request on a worker, or to fetch its answer.
struct RunCall {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
  /// The latest start time, on the worker's own clock.
  std::int64_t StartByMs_ = 0;
  /// Sends the call on a new connection, with the header X-Fresh.
  bool Fresh_ = false;
  Millis Timeout_{0};
  std::string Digest_;
  QByteArray WorkMs_;
  QByteArray Body_;
  /// Further header lines, such as those of the caller that are forwarded.
  std::vector<std::string> ForwardedHeaders_;
};

/// A worker's reply to a status request.
struct StatusReply {
  bool Answered_ = false;
  QJsonObject Status_;
};

/// Sends calls to workers by instance id; the fleet feed sets the addresses.
class WorkerClient {
public:
  explicit WorkerClient(http::Client &Http) : Http_(Http) {}

  void setAddresses(std::map<InstanceId, std::string> Addresses);
  bool hasAddress(const InstanceId &Worker) const;
  /// Sets the addresses to which every call fails unsent, as a simulated
  /// network partition in tests.
  void setBlockedAddresses(std::vector<std::string> Addresses) {
    BlockedAddresses_ = std::move(Addresses);
  }

  void run(const RunCall &Call,
           std::function<void(const AttemptReply &)> OnDone);
  /// Fetches the answer that the worker stored for an attempt.
  void fetchAnswer(const RunCall &Call,
                   std::function<void(const AttemptReply &)> OnDone);
  void fence(const InstanceId &Worker, const AttemptId &Attempt,
             std::function<void(request::FenceResult)> OnDone);
  void status(const InstanceId &Worker,
              std::function<void(const StatusReply &)> OnDone);
  /// Posts a JSON body to a path of a worker, such as "/drain".
  void post(const InstanceId &Worker, const std::string &Path,
            const QJsonObject &Body, http::Client::Done OnDone);

private:
  void send(const InstanceId &Worker, http::Call C, const std::string &Path,
            http::Client::Done OnDone);

  http::Client &Http_;
  std::map<InstanceId, std::string> Addresses_;
  std::vector<std::string> BlockedAddresses_;
};

} // namespace heathercross::daemon
