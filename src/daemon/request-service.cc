// Connects the request dispatcher to callers, workers and the platform.
#include "daemon/request-service.h"

#include "daemon/error-response.h"

#include <QCryptographicHash>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <glog/logging.h>

#include <algorithm>

namespace heathercross::daemon {

namespace {

/// A larger answer goes to the object store, not into the idempotency record.
constexpr std::uint64_t MaxInlineAnswerBytes = std::uint64_t{32} * 1024;
constexpr Millis FetchAnswerTimeout{1000};

/// Headers of a caller's request that are forwarded to the worker unchanged.
constexpr const char *ForwardedHeaderNames[] = {"X-Fail", "Content-Type"};

int httpStatus(Outcome O) {
  switch (O) {
  case Outcome::Done:
    return 200;
  case Outcome::Failed:
    return 502;
  case Outcome::NotRun:
    return 503;
  case Outcome::Unknown:
    return 504;
  }
  return 500;
}

std::string hexDigest(const QByteArray &Body) {
  return QCryptographicHash::hash(Body, QCryptographicHash::Sha256)
      .toHex()
      .toStdString();
}

/// Reads a header that holds a number of milliseconds from 0 to Max. Throws
/// FormatError.
Millis millisHeader(const http::Request &R, const char *Name, Millis Default,
                    Millis Max) {
  const QByteArray Text = R.header(Name);
  if (Text.isEmpty())
    return Default;
  bool Ok = false;
  const qlonglong Value = Text.toLongLong(&Ok);
  if (!Ok || Value < 0 || Value > Max.count())
    raise(FormatError(Name, "must be a number of milliseconds up to " +
                                std::to_string(Max.count())));
  return Millis(Value);
}

Urgency urgencyHeader(const http::Request &R) {
  const QByteArray Text = R.header("X-Urgency");
  if (Text.isEmpty())
    return Urgency::Normal;
  const auto U =
      parseUrgency({Text.constData(), static_cast<std::size_t>(Text.size())});
  if (!U)
    raise(FormatError("X-Urgency", "must be urgent, normal or batch"));
  return *U;
}

std::optional<IdempotencyKey> keyHeader(const http::Request &R,
                                        std::size_t MaxLength) {
  const QByteArray Text = R.header("Idempotency-Key");
  if (Text.isEmpty())
    return std::nullopt;
  const bool Printable =
      std::ranges::all_of(Text, [](char C) { return C > ' ' && C < '\x7f'; });
  if (!Printable || static_cast<std::size_t>(Text.size()) > MaxLength)
    raise(FormatError("Idempotency-Key", "must be up to " +
                                             std::to_string(MaxLength) +
                                             " printable ASCII characters"));
  return IdempotencyKey(Text.toStdString());
}

std::vector<std::string> forwardedHeaders(const http::Request &R) {
  std::vector<std::string> Lines;
  for (const char *Name : ForwardedHeaderNames) {
    const QByteArray Value = R.header(Name);
    if (!Value.isEmpty())
      Lines.push_back(std::string(Name) + ": " + Value.toStdString());
  }
  return Lines;
}

} // namespace

RequestService::RequestService(RequestDependencies Services,
                               request::Config Config, RequestLimits Limits,
                               std::string Incarnation)
    : Services_(Services), Limits_(Limits),
      Incarnation_(std::move(Incarnation)), Dispatcher_(std::move(Config)) {
  WakeTimer_.setSingleShot(true);
  WakeTimer_.setTimerType(Qt::PreciseTimer);
  connect(&WakeTimer_, &QTimer::timeout, this,
          [this] { handleEvent(request::Tick{}); });
}

void RequestService::armWakeTimer() {
  const auto WakeAt = Dispatcher_.nextWake();
  if (!WakeAt)
    return WakeTimer_.stop();
  const auto Remaining =
      std::chrono::ceil<Millis>(*WakeAt - Services_.Clock_.now());
  const int WaitMs = std::max<int>(0, static_cast<int>(Remaining.count()));
  if (!WakeTimer_.isActive() || WakeTimer_.remainingTime() > WaitMs)
    WakeTimer_.start(WaitMs);
}

RequestService::PendingPtr
RequestService::find(const RequestId &Request) const {
  const auto It = Pending_.find(Request);
  return It == Pending_.end() ? nullptr : It->second;
}

void RequestService::accept(http::Request R, http::Responder Responder,
                            const TeamId &Team, const PoolId &Pool) {
  auto P = std::make_shared<PendingRequest>();
  P->ArrivedAt_ = Services_.Clock_.now();
  try {
    request::RequestSpec &S = P->Spec_;
    S.Team_ = Team;
    S.Pool_ = Pool;
    S.Key_ = keyHeader(R, Limits_.MaxKeyLength_);
    S.Urgency_ = urgencyHeader(R);
    S.Deadline_ =
        P->ArrivedAt_ + millisHeader(R, "X-Window-Ms", Limits_.DefaultWindow_,
                                     Limits_.MaxWindow_);
    S.DeclaredWork_ =
        millisHeader(R, "X-Work-Ms", Millis(0), Limits_.MaxWindow_);
  } catch (const FormatError &E) {
    Responder.respond(errorResponse(BadRequest, E));
    return;
  }
  P->Spec_.Request_ =
      RequestId(Incarnation_ + "-" + std::to_string(++LastRequestNumber_));
  P->Spec_.Digest_ = hexDigest(R.Body_);
  P->WorkMs_ = R.header("X-Work-Ms");
  P->ForwardedHeaders_ = forwardedHeaders(R);
  P->Body_ = std::move(R.Body_);
  P->Responder_ = std::move(Responder);
  const RequestId Id = P->Spec_.Request_;
  P->Responder_.onDisconnect(
      [this, Id] { handleEvent(request::CallerLeft{Id}); });
  Pending_.emplace(Id, P);
  handleEvent(request::Arrived{P->Spec_});
}

void RequestService::setFleet(request::Fleet F) {
  handleEvent(request::FleetChanged{std::move(F)});
}

void RequestService::handleReport(const request::WorkerReport &Report) {
  handleEvent(request::Reported{Report});
}

void RequestService::beginStop() { handleEvent(request::StopBegan{}); }

void RequestService::handleEvent(const request::Event &E) {
  const request::Effects Effects = Dispatcher_.on(E, Services_.Clock_.now());
  for (const request::Effect &Effect : Effects)
    std::visit([this](const auto &Alternative) { execute(Alternative); },
               Effect);
  armWakeTimer();
}

RunCall RequestService::runCall(const PendingRequest &P,
                                const AttemptId &Attempt,
                                const InstanceId &Worker) const {
  RunCall Call;
  Call.Request_ = P.Spec_.Request_;
  Call.Attempt_ = Attempt;
  Call.Worker_ = Worker;
  Call.Digest_ = P.Spec_.Digest_;
  Call.WorkMs_ = P.WorkMs_;
  Call.ForwardedHeaders_ = P.ForwardedHeaders_;
  return Call;
}

void RequestService::execute(const request::Send &S) {
  const PendingPtr P = find(S.Request_);
  if (!P)
    return;
  RunCall Call = runCall(*P, S.Attempt_, S.Worker_);
  Call.StartByMs_ = S.StartByMs_;
  Call.Fresh_ = S.NewConnection_;
  Call.Timeout_ = toMillis(S.Timeout_);
  Call.Body_ = P->Body_;
  if (P->Spec_.Key_)
    Call.ForwardedHeaders_.push_back(
        "X-Key: " + request::claimKey(P->Spec_.Team_, *P->Spec_.Key_));
  if (Services_.History_.enabled())
    Services_.History_.write(
        "send", S.Request_.str(),
        {{"attempt", QString::fromStdString(S.Attempt_.str())},
         {"worker", QString::fromStdString(S.Worker_.str())}});
  Services_.Workers_.run(Call, [this, S](const AttemptReply &T) {
    handleWorkerReply(S.Request_, S.Attempt_, S.Worker_, T);
  });
}

void RequestService::handleWorkerReply(const RequestId &Request,
                                       const AttemptId &Attempt,
                                       const InstanceId &Worker,
                                       const AttemptReply &T) {
  if (T.Report_) {
    handleEvent(request::Reported{*T.Report_});
    if (OnReport_)
      OnReport_(*T.Report_);
  }
  const bool HasAnswer = T.Result_ == request::TryResult::Answered ||
                         T.Result_ == request::TryResult::WorkFailed;
  if (const PendingPtr P = find(Request); P && HasAnswer)
    P->ResultBodies_[Attempt] = T.Body_;
  handleEvent(request::TryEnded{Request, Attempt, Worker, T.Result_, T.Refusal_,
                                T.Took_});
}

void RequestService::execute(const request::Answer &A) {
  const PendingPtr P = find(A.Request_);
  if (!P)
    return;
  Pending_.erase(A.Request_);
  if (A.StoredAnswer_.empty()) {
    const auto It = P->ResultBodies_.find(A.Attempt_);
    respond(P, A, It == P->ResultBodies_.end() ? QByteArray() : It->second);
    return;
  }
  if (A.StoredAnswer_ == request::InlineAnswer) {
    respond(P, A, P->StoredAnswer_);
    return;
  }
  Services_.Platform_.getObject(A.StoredAnswer_,
                                [this, P, A](const store::ObjectResult &R) {
                                  request::Answer Final = A;
                                  if (!R.Exists_) {
                                    Final.Outcome_ = Outcome::Unknown;
                                    Final.Reason_ = Reason::AnswerLost;
                                  }
                                  respond(P, Final, R.Bytes_);
                                });
}

void RequestService::respond(const PendingPtr &P, const request::Answer &A,
                             const QByteArray &Body) {
  const Micros Took = Services_.Clock_.now() - P->ArrivedAt_;
  Services_.Metrics_.recordAnswer(A.Outcome_, A.Reason_, Took);
  const std::string &Id = P->Spec_.Request_.str();
  if (A.Outcome_ != Outcome::Done)
    LOG(INFO) << "event=answer request=" << Id
              << " outcome=" << name(A.Outcome_)
              << " reason=" << name(A.Reason_) << " took_us=" << Took.count();
  http::Response R;
  R.Status_ = httpStatus(A.Outcome_);
  R.Type_ = "application/octet-stream";
  R.Headers_ = {{"X-Outcome", name(A.Outcome_).data()},
                {"X-Reason", name(A.Reason_).data()},
                {"X-Request", QByteArray::fromStdString(Id)}};
  R.Body_ = Body;
  const bool Delivered = P->Responder_.respond(R);
  if (Services_.History_.enabled())
    Services_.History_.write("answer", Id,
                             {{"outcome", name(A.Outcome_).data()},
                              {"reason", name(A.Reason_).data()},
                              {"delivered", Delivered}});
}

void RequestService::execute(const request::WriteClaim &W) {
  const PendingPtr P = find(W.Request_);
  if (!P)
    return;
  request::StoredClaim Claim{W.Row_, {}};
  const auto Answer = P->ResultBodies_.find(W.Row_.Attempt_);
  const bool IsFinal = W.Row_.State_ == request::ClaimState::Done ||
                       W.Row_.State_ == request::ClaimState::Failed;
  if (!IsFinal || Answer == P->ResultBodies_.end())
    return queueWrite(W.Request_, std::move(Claim));
  const QByteArray Body = Answer->second;
  if (static_cast<std::uint64_t>(Body.size()) <= MaxInlineAnswerBytes) {
    Claim.Row_.Answer_ = request::InlineAnswer;
    Claim.Body_ = Body;
    return queueWrite(W.Request_, std::move(Claim));
  }
  Claim.Row_.Answer_ = "answer/" + W.Row_.Attempt_.str();
  Services_.Platform_.putObject(
      Claim.Row_.Answer_, Body,
      [this, Id = W.Request_, Claim](const store::ObjectResult &R) {
        if (R.Exists_)
          return queueWrite(Id, Claim);
        handleEvent(request::ClaimWritten{Id, CommitStatus::Refused, {}});
      });
}

void RequestService::queueWrite(const RequestId &Request,
                                request::StoredClaim Claim) {
  const PendingPtr P = find(Request);
  if (!P)
    return;
  Claims_.add(
      {Request,
       {request::claimKey(P->Spec_.Team_, *P->Spec_.Key_), Claim.Row_.Version_},
       request::serializeClaim(Claim)});
  QTimer::singleShot(0, this, [this] { writeClaims(); });
}

void RequestService::writeClaims() {
  const AttemptId Attempt(Incarnation_ + "-b" +
                          std::to_string(++LastBatchNumber_));
  const auto Next = Claims_.next(Attempt);
  if (!Next)
    return;
  Services_.Platform_.commit(*Next, [this, Attempt](const CommitResult &R) {
    for (const request::ClaimWriteResult &E : Claims_.commitEnded(Attempt, R))
      handleEvent(request::ClaimWritten{E.Request_, E.Status_, E.Version_});
    writeClaims();
  });
}

void RequestService::execute(const request::ReadClaim &R) {
  const PendingPtr P = find(R.Request_);
  if (!P)
    return;
  Services_.Platform_.readRow(
      request::claimKey(P->Spec_.Team_, *P->Spec_.Key_),
      [this, Id = R.Request_](const store::RowResult &Result) {
        handleClaimRow(Id, Result);
      });
}

void RequestService::handleClaimRow(const RequestId &Request,
                                    const store::RowResult &R) {
  request::ClaimRead Event{Request, std::nullopt, !R.Answered_};
  if (R.Row_) {
    try {
      request::StoredClaim Claim = request::parseClaim(*R.Row_);
      Event.Row_ = Claim.Row_;
      if (const PendingPtr P = find(Request))
        P->StoredAnswer_ = Claim.Body_;
    } catch (const FormatError &E) {
      LOG(ERROR) << "event=bad-row request=" << Request.str() << " problem=\""
                 << E.what() << "\"";
      Event.Failed_ = true;
    }
  }
  handleEvent(Event);
}

void RequestService::execute(const request::Fence &F) {
  Services_.Workers_.fence(
      F.Worker_, F.Attempt_, [this, F](request::FenceResult Result) {
        handleEvent(
            request::FenceEnded{F.Request_, F.Attempt_, F.Worker_, Result});
      });
}

void RequestService::execute(const request::FetchAnswer &F) {
  const PendingPtr P = find(F.Request_);
  if (!P)
    return;
  RunCall Call = runCall(*P, F.Attempt_, F.Worker_);
  Call.Timeout_ = FetchAnswerTimeout;
  Services_.Workers_.fetchAnswer(Call, [this, F](const AttemptReply &T) {
    handleWorkerReply(F.Request_, F.Attempt_, F.Worker_, T);
  });
}

void RequestService::execute(const request::Preempt &P) {
  Services_.Workers_.status(P.Worker_, [this, P](const StatusReply &S) {
    const QJsonArray Tasks = S.Status_["tasks"].toArray();
    if (Tasks.isEmpty())
      return;
    const QJsonObject Task = Tasks.first().toObject();
    LOG(INFO) << "event=preempt instance=" << P.Worker_.str()
              << " job=" << Task["job"].toString().toStdString();
    Services_.Metrics_.add(
        "heathercross_preemptions_total",
        "Batch tasks checkpointed to make room for urgent work.");
    Services_.Workers_.post(P.Worker_, "/tasks/checkpoint",
                            {{"job", Task["job"]}, {"epoch", Task["epoch"]}},
                            [](const http::Reply &) {});
  });
}

std::string RequestService::dump() const { return Dispatcher_.dump(); }

} // namespace heathercross::daemon
