// Carries out what the request decisions say.
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

/// The services that requests need; all outlive the request service.
struct RequestParts {
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

/// Takes callers' requests, feeds the dispatcher with events and turns its
/// effects into calls and answers.
class RequestService : public QObject {
public:
  RequestService(RequestParts Parts, request::Config Config,
                 RequestLimits Limits, std::string Incarnation);

  /// Takes a request that has been authenticated as a team's.
  void accept(http::Request R, http::Responder To, const TeamId &Team,
              const PoolId &Pool);
  /// Replaces the fleet that requests are placed on.
  void setFleet(request::Fleet F);
  /// Passes on what a worker said of itself.
  void report(const request::WorkerReport &Report);
  /// Runs for each report that came beside an answer.
  void onReport(std::function<void(const request::WorkerReport &)> Done) {
    OnReport_ = std::move(Done);
  }
  /// Begins a planned stop.
  void beginStop();
  /// Requests that have no answer yet.
  std::size_t pending() const { return Pending_.size(); }
  const request::Dispatcher &dispatcher() const { return Dispatcher_; }
  std::string dump() const;

private:
  struct PendingRequest {
    request::Spec Spec_;
    QByteArray Body_;
    QByteArray WorkMs_;
    std::vector<std::string> Passed_;
    http::Responder To_;
    Instant Since_;
    /// The answers that tries brought, by attempt.
    std::map<AttemptId, QByteArray> Answers_;
    /// The stored answer that was read last.
    QByteArray Stored_;
  };
  using PendingPtr = std::shared_ptr<PendingRequest>;

  void feed(const request::Event &E);
  void carryOut(const request::Send &S);
  void carryOut(const request::Answer &A);
  void carryOut(const request::WriteClaim &W);
  void carryOut(const request::ReadClaim &R);
  void carryOut(const request::Fence &F);
  void carryOut(const request::FetchAnswer &F);
  void carryOut(const request::Preempt &P);

  void endTry(const RequestId &Request, const AttemptId &Attempt,
              const InstanceId &Worker, const TryReply &T);
  void respond(const PendingPtr &P, const request::Answer &A,
               const QByteArray &Body);
  void claimRead(const RequestId &Request, const store::RowResult &R);
  void queueWrite(const RequestId &Request, request::StoredClaim Claim);
  void writeClaims();
  void armTick();
  PendingPtr find(const RequestId &Request) const;
  RunCall runCall(const PendingRequest &P, const AttemptId &Attempt,
                  const InstanceId &Worker) const;

  RequestParts Parts_;
  RequestLimits Limits_;
  std::string Incarnation_;
  request::Dispatcher Dispatcher_;
  request::ClaimBatch Claims_;
  std::unordered_map<RequestId, PendingPtr> Pending_;
  std::uint64_t LastRequest_ = 0;
  std::uint64_t LastBatch_ = 0;
  std::function<void(const request::WorkerReport &)> OnReport_;
  QTimer Tick_;
};

} // namespace heathercross::daemon
