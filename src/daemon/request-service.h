// Connects the request dispatcher to callers, workers and the platform.
#pragma once

#include "daemon/history.h"
#include "daemon/worker-client.h"
#include "http/http-server.h"
#include "process/clock.h"
#include "process/metrics.h"
#include "request/claim-batch.h"
#include "request/claim-row.h"
#include "request/dispatcher.h"
#include "store/table-client.h"

#include <QObject>
#include <QTimer>

#include <memory>
#include <string>
#include <unordered_map>

namespace heathercross::daemon {

/// The services that the request service uses; all of them outlive it.
struct RequestDependencies {
  process::Clock &Clock_;
  History &History_;
  process::Metrics &Metrics_;
  store::TableClient &Platform_;
  WorkerClient &Workers_;
};

/// Bounds on what one request may ask for.
struct RequestLimits {
  Millis DefaultWindow_{10'000};
  Millis MaxWindow_{600'000};
  std::size_t MaxKeyLength_ = 128;
};

/// Receives callers' requests, passes events to the dispatcher and executes the
/// effects it returns as calls to workers, platform writes and responses.
class RequestService : public QObject {
public:
  RequestService(RequestDependencies Services, request::Config Config,
                 RequestLimits Limits, std::string Incarnation);

  /// Accepts a request whose caller was authenticated as a member of Team.
  void accept(http::Request R, http::Responder Responder, const TeamId &Team,
              const PoolId &Pool);
  /// Replaces the set of workers that requests are placed on.
  void setFleet(request::Fleet F);
  /// Passes a worker's status report to the dispatcher.
  void handleReport(const request::WorkerReport &Report);
  /// Sets the callback for worker reports that arrive with a worker's reply.
  void onReport(std::function<void(const request::WorkerReport &)> Callback) {
    OnReport_ = std::move(Callback);
  }
  /// Tells the dispatcher that a planned stop began.
  void beginStop();
  /// The number of requests without a response.
  std::size_t pending() const { return Pending_.size(); }
  const request::Dispatcher &dispatcher() const { return Dispatcher_; }
  std::string dump() const;

private:
  struct PendingRequest {
    request::RequestSpec Spec_;
    QByteArray Body_;
    QByteArray WorkMs_;
    std::vector<std::string> ForwardedHeaders_;
    http::Responder Responder_;
    Instant ArrivedAt_;
    /// Result bodies received from workers, by attempt.
    std::map<AttemptId, QByteArray> ResultBodies_;
    /// The answer stored in the idempotency record when it was last read.
    QByteArray StoredAnswer_;
  };
  using PendingPtr = std::shared_ptr<PendingRequest>;

  void handleEvent(const request::Event &E);
  void execute(const request::Send &S);
  void execute(const request::Answer &A);
  void execute(const request::WriteClaim &W);
  void execute(const request::ReadClaim &R);
  void execute(const request::Fence &F);
  void execute(const request::FetchAnswer &F);
  void execute(const request::Preempt &P);

  void handleWorkerReply(const RequestId &Request, const AttemptId &Attempt,
                         const InstanceId &Worker, const AttemptReply &T);
  void respond(const PendingPtr &P, const request::Answer &A,
               const QByteArray &Body);
  void handleClaimRow(const RequestId &Request, const store::RowResult &R);
  void queueWrite(const RequestId &Request, request::StoredClaim Claim);
  void writeClaims();
  void armWakeTimer();
  PendingPtr find(const RequestId &Request) const;
  RunCall runCall(const PendingRequest &P, const AttemptId &Attempt,
                  const InstanceId &Worker) const;

  RequestDependencies Services_;
  RequestLimits Limits_;
  std::string Incarnation_;
  request::Dispatcher Dispatcher_;
  request::ClaimBatch Claims_;
  std::unordered_map<RequestId, PendingPtr> Pending_;
  std::uint64_t LastRequestNumber_ = 0;
  std::uint64_t LastBatchNumber_ = 0;
  std::function<void(const request::WorkerReport &)> OnReport_;
  QTimer WakeTimer_;
};

} // namespace heathercross::daemon
