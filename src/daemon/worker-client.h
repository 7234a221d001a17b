// Calls to workers, and what their answers mean.
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

/// How a try on a worker ended, with the answer when there is one.
struct AttemptReply {
  request::TryResult Result_ = request::TryResult::Lost;
  request::Refusal Refusal_ = request::Refusal::None;
  Micros Took_{0};
  QByteArray Body_;
  /// What the worker said of its load beside the answer.
  std::optional<request::WorkerReport> Report_;
};

/// One request as it goes to a worker.
struct RunCall {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
  std::int64_t StartByMs_ = 0;
  bool Fresh_ = false;
  Millis Timeout_{0};
  std::string Digest_;
  QByteArray WorkMs_;
  QByteArray Body_;
  /// Further header lines that the caller's request asks to pass on.
  std::vector<std::string> ForwardedHeaders_;
};

/// A worker's status, as far as the duties need it.
struct StatusReply {
  bool Answered_ = false;
  QJsonObject Status_;
};

/// Talks to workers by instance id; addresses come from the fleet feed.
class WorkerClient {
public:
  explicit WorkerClient(http::Client &Http) : Http_(Http) {}

  void setAddresses(std::map<InstanceId, std::string> Addresses);
  bool knows(const InstanceId &Worker) const;
  /// Addresses to which every call fails unsent; for tests of cuts.
  void setCut(std::vector<std::string> Addresses) {
    Cut_ = std::move(Addresses);
  }

  void run(const RunCall &Call,
           std::function<void(const AttemptReply &)> OnDone);
  /// Asks for the answer that the worker kept for an attempt.
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
  std::vector<std::string> Cut_;
};

} // namespace heathercross::daemon
