// Serves caller requests by forwarding each to the holder of its pool.
#include "entry/front.h"

#include "platform/ingress.h"

#include <QJsonDocument>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace heathercross::entry {

namespace {

using Kind = JobCall::Kind;
using AnswerKind = JobAnswer::Kind;

constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int Unauthorized = 401;
constexpr int Forbidden = 403;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Gone = 410;
constexpr int BodyTooLarge = 413;
constexpr int TooManyRequests = 429;
constexpr int Unavailable = 503;
constexpr int GatewayTimeout = 504;

/// Pause before a request is sent to a holder again.
constexpr Millis RetryPause{70};
/// How long a submission waits for a reachable holder. Another entry takes over
/// a duty within 2 s.
constexpr Millis HolderTimeout{2200};
/// A holder that hasn't answered for this long is pinged: a call usually takes
/// 30 ms, and several times that on a slow entry.
constexpr Millis PingAfter{250};
constexpr Millis PingTimeout{300};
/// While the store doesn't answer, an entry relies for this long on the last
/// success or failure to reach a holder.
constexpr Millis MaxContactAge{500};
/// Answers are sent at least this long before the caller's deadline.
constexpr Millis AnswerMargin{150};
/// A call to another entry that takes longer is repeated, which is safe because
/// job ids make calls idempotent.
constexpr Millis PeerTimeout{1600};
/// Used when the caller sends no deadline.
constexpr Millis DefaultDeadline{3000};
constexpr Millis RetryAfterTakeover{1000};
constexpr std::int64_t MsPerSecond = 1000;

const char *kindName(Kind K) {
  switch (K) {
  case Kind::Submit:
    return "submit";
  case Kind::State:
    return "state";
  case Kind::Cancel:
    return "cancel";
  case Kind::Queued:
    return "queued";
  }
  return "unknown";
}

QString toQString(const std::string &T) { return QString::fromStdString(T); }

/// Whether an attempt that got this answer changed nothing and never will.
bool hadNoEffect(const JobAnswer &A) {
  return !A.Uncertain_ &&
         (A.Kind_ == AnswerKind::Rejected || A.Kind_ == AnswerKind::NotHolder ||
          A.Kind_ == AnswerKind::AskFormer);
}

bool hadNoEffect(const PeerReply &R) {
  return R.Kind_ == PeerReply::Kind::Unreachable ||
         (R.Kind_ == PeerReply::Kind::Answered && hadNoEffect(R.Answer_));
}

} // namespace

Front::Front(Context &C, const ClusterState &K, Duties &D)
    : Context_(C), ClusterState_(K), Duties_(D) {}

void Front::serve(http::Request &&R, http::Responder &&To) {
  auto C = std::make_shared<Call>();
  C->To_ = std::move(To);
  C->Arrived_ = Context_.Clock_.now();
  ++Pending_;
  if (Closed_)
    return answer(C, Unavailable, {}, "stopping", RetryAfterTakeover);
  const auto &Configuration = ClusterState_.configuration();
  if (!Configuration)
    return answer(C, Unavailable, {}, "no-configuration", RetryAfterTakeover);
  C->ConfigurationVersion_ = Configuration->Version_;
  const auto Parsed = platform_api::parseCall(R, *Configuration);
  C->Deadline_ = C->Arrived_ + Parsed.Timeout_.value_or(DefaultDeadline);
  if (!Parsed.Route_)
    return answer(C, NotFound, {}, "no-route");
  if (Configuration->Accounts_ && !Parsed.Route_->Public_) {
    if (!keysTrusted())
      return answer(C, Unavailable, {}, "keys-unconfirmed", RetryAfterTakeover);
    const auto *Account = Configuration->Accounts_->findByKey(Parsed.Key_);
    if (!Account)
      return answer(C, Unauthorized, {}, "unknown-key");
    C->Request_.Account_ = Account->Id_;
  }
  C->RoutedPool_ = C->Request_.Pool_ = Parsed.Route_->Settings_.Pool_;
  C->Request_.Ingress_.Ingress_ = Parsed.Route_->Settings_.Ingress_;
  C->Request_.Queue_ = Parsed.Route_->Queue_;
  C->Request_.Job_ = Parsed.Job_;
  switch (Parsed.Verb_) {
  case platform_api::CallVerb::Submit:
    C->Request_.Kind_ = Kind::Submit;
    break;
  case platform_api::CallVerb::State:
    C->Request_.Kind_ = Parsed.Job_.empty() ? Kind::Queued : Kind::State;
    break;
  case platform_api::CallVerb::Cancel:
    C->Request_.Kind_ = Kind::Cancel;
    break;
  case platform_api::CallVerb::Other:
    return answer(C, MethodNotAllowed, {}, "method");
  }
  const bool NeedsJob = C->Request_.Kind_ != Kind::Queued;
  if (NeedsJob && !platform_api::isValidJobId(Parsed.Job_))
    return answer(C, NotFound, {}, "malformed-id");
  if (Configuration->MaxBodyBytes_ > 0 &&
      static_cast<std::uint64_t>(R.Body_.size()) > Configuration->MaxBodyBytes_)
    return answer(C, BodyTooLarge, {}, "body-too-large");
  if (C->Request_.Kind_ == Kind::Submit)
    C->Request_.Body_ = std::move(R.Body_);
  attempt(C);
}

bool Front::keysTrusted() const {
  const auto &Limit = Context_.Settings_.KeyTrust_;
  return !Limit ||
         Context_.Clock_.now() - ClusterState_.configurationConfirmedAt() <=
             *Limit;
}

void Front::attempt(const CallPtr &C) {
  if (C->Answered_)
    return;
  ++C->Attempts_;
  const auto Known = ClusterState_.duties().holder(C->Request_.Pool_);
  PoolHolder *Local = Duties_.holder(C->Request_.Pool_);
  C->Holder_ = Known ? Known->Row_.Holder_.str() : std::string();
  if (Local) {
    const Attempt T = beginAttempt(C, Local->self().Epoch_);
    return callLocalHolder(*Local, C->Request_,
                           guarded(this, [this, C, T](const JobAnswer &A) {
                             handleAnswer(C, A, T);
                           }));
  }
  // While the store doesn't answer, no holder is expected to become known.
  if (!Known && !ClusterState_.storeAnswers())
    return giveUp(C);
  if (!Known || Known->Row_.Holder_ == Context_.Incarnation_)
    return retryLater(C);
  sendChecked(C, *Known);
}

void Front::callLocalHolder(PoolHolder &H, const JobCall &Job,
                            PoolHolder::AnswerHandler OnAnswer) {
  switch (Job.Kind_) {
  case Kind::Submit:
    return H.submit(Job.Job_, Job.Queue_, Job.Account_, Job.Body_, Job.Ingress_,
                    std::move(OnAnswer));
  case Kind::State:
    return H.state(Job.Job_, Job.Account_, Job.Ingress_, OnAnswer);
  case Kind::Cancel:
    return H.cancel(Job.Job_, Job.Account_, Job.Ingress_, std::move(OnAnswer));
  case Kind::Queued:
    return H.queued(Job.Queue_, Job.Ingress_, OnAnswer);
  }
}

void Front::onDuties() {
  std::vector<CallPtr> ToResend;
  std::erase_if(AwaitingReply_, [&](const std::weak_ptr<Call> &Weak) {
    const CallPtr C = Weak.lock();
    if (!C)
      return true;
    if (C->Answered_ || !C->AskedEpoch_) {
      C->Listed_ = false;
      return true;
    }
    const auto Known = ClusterState_.duties().holder(C->Request_.Pool_);
    if (!Known || Known->Row_.Epoch_ <= *C->AskedEpoch_)
      return false;
    ToResend.push_back(C);
    C->Listed_ = false;
    return true;
  });
  for (const CallPtr &C : ToResend) {
    C->AskedEpoch_.reset();
    attempt(C);
  }
}

void Front::pingHolder(const PoolId &Pool,
                       const schedule::StoredHolder &Holder) {
  Contact &Peer = Contacts_[Holder.Row_.Address_];
  if (std::exchange(Peer.PingInFlight_, true))
    return;
  ping(Context_, Holder.Row_.Address_, PingTimeout,
       guarded(this, [this, Pool, Holder](bool Answered) {
         handlePingReply(Pool, Holder, Answered);
       }));
}

void Front::handlePingReply(const PoolId &Pool,
                            const schedule::StoredHolder &Holder,
                            bool Answered) {
  const Instant Now = Context_.Clock_.now();
  Contact &Peer = Contacts_[Holder.Row_.Address_];
  Peer.PingInFlight_ = false;
  (Answered ? Peer.AnsweredAt_ : Peer.FailedAt_) = Now;
  std::vector<CallPtr> Waiting = std::exchange(Peer.Waiting_, {});
  if (Answered) {
    // The requests may be for other pools that the same process holds.
    for (const CallPtr &C : Waiting)
      attempt(C);
    return;
  }
  Context_.Log_.write(
      "holder-unreachable",
      {{"pool", toQString(Pool.str())},
       {"holder", toQString(Holder.Row_.Holder_.str())},
       {"epoch", static_cast<qint64>(Holder.Row_.Epoch_.value())},
       {"row_version", static_cast<qint64>(Holder.Version_.value())},
       {"store_answers", ClusterState_.storeAnswers()}});
  Duties_.unreachable(Pool);
  // If the store answers, another holder will be known soon. Otherwise this
  // entry can't serve these requests.
  if (ClusterState_.storeAnswers()) {
    for (const CallPtr &C : Waiting)
      retryLater(C);
    return;
  }
  for (const std::weak_ptr<Call> &Weak : AwaitingReply_)
    if (const CallPtr C = Weak.lock();
        C && C->AskedEpoch_ == Holder.Row_.Epoch_ && C->Request_.Pool_ == Pool)
      Waiting.push_back(C);
  for (const CallPtr &C : Waiting)
    giveUp(C);
}

void Front::sendChecked(const CallPtr &C,
                        const schedule::StoredHolder &Holder) {
  if (ClusterState_.storeAnswers())
    return send(C, Holder);
  // An entry that can't reach the store may be cut off from the holder, too. A
  // request that was never sent can be answered as not carried out, so the
  // holder is pinged first.
  const Instant Now = Context_.Clock_.now();
  Contact &Peer = Contacts_[Holder.Row_.Address_];
  if (Now - Peer.AnsweredAt_ < MaxContactAge)
    return send(C, Holder);
  if (Now - Peer.FailedAt_ < MaxContactAge)
    return giveUp(C);
  Peer.Waiting_.push_back(C);
  pingHolder(C->Request_.Pool_, Holder);
}

void Front::send(const CallPtr &C, const schedule::StoredHolder &Holder) {
  if (C->Answered_)
    return;
  const Epoch E = Holder.Row_.Epoch_;
  C->AskedEpoch_ = E;
  C->Request_.Epoch_ = E;
  const Attempt T = beginAttempt(C, E);
  if (!std::exchange(C->Listed_, true))
    AwaitingReply_.push_back(C);
  QTimer::singleShot(PingAfter, this, [this, C, E, T, Holder] {
    if (!C->Answered_ && C->AskedEpoch_ == E && C->Stage_ == T.Stage_)
      pingHolder(C->Request_.Pool_, Holder);
  });
  const Millis Left = toMillis(C->Deadline_ - Context_.Clock_.now());
  const Millis Timeout =
      std::max(AnswerMargin, std::min(PeerTimeout, Left - AnswerMargin));
  sendJobCall(Context_, Holder.Row_.Address_, C->Request_, Timeout,
              guarded(this, [this, C, T, Address = Holder.Row_.Address_](
                                const PeerReply &R) {
                if (R.Kind_ == PeerReply::Kind::Answered)
                  Contacts_[Address].AnsweredAt_ = Context_.Clock_.now();
                handlePeerReply(C, R, T);
              }));
}

void Front::handlePeerReply(const CallPtr &C, const PeerReply &R,
                            const Attempt &T) {
  // The request may have been sent to another holder since. Then the reply
  // only counts if it says that this attempt had no effect.
  if (C->Stage_ != T.Stage_ || C->AskedEpoch_ != T.Epoch_) {
    if (hadNoEffect(R))
      ruleOut(C, T);
    return;
  }
  C->AskedEpoch_.reset();
  switch (R.Kind_) {
  case PeerReply::Kind::Answered:
    if (R.Answer_.Kind_ == AnswerKind::NotHolder)
      Duties_.notHeld();
    return handleAnswer(C, R.Answer_, T);
  case PeerReply::Kind::Unknown:
    return retryLater(C);
  case PeerReply::Kind::Unreachable:
    ruleOut(C, T);
    Duties_.unreachable(C->Request_.Pool_);
    return retryLater(C);
  }
}

void Front::handleAnswer(const CallPtr &C, const JobAnswer &A,
                         const Attempt &T) {
  if (hadNoEffect(A))
    ruleOut(C, T);
  if (C->Stage_ != T.Stage_ || C->Answered_)
    return;
  switch (A.Kind_) {
  case AnswerKind::Accepted:
    return answer(C, Ok, {}, "stored");
  case AnswerKind::Rejected:
    if (!C->Open_.excludedBy(T.Epoch_))
      return giveUp(C);
    return answer(C, A.Cause_ == "store-away" ? Unavailable : TooManyRequests,
                  {}, A.Cause_, A.RetryAfter_);
  case AnswerKind::NotHolder:
    return retryLater(C);
  case AnswerKind::Known:
    if (C->Request_.Kind_ == Kind::Queued)
      return handleQueued(C, A);
    return answer(C, Ok, platform_api::stateBody(A.State_), "");
  case AnswerKind::NoSuchJob:
    if (asksFormer(*C))
      return nextStage(C);
    return answer(C, Gone, {}, "no-such-job");
  case AnswerKind::AskFormer:
    return askFormer(C, A);
  case AnswerKind::Malformed:
    return answer(C, BadRequest, {}, "malformed");
  case AnswerKind::Forbidden:
    return answer(C, Forbidden, {}, "other-account");
  }
}

void Front::retryLater(const CallPtr &C) {
  const Instant Now = Context_.Clock_.now();
  const bool TimedOut = C->Request_.Kind_ == Kind::Submit && !C->Open_.any() &&
                        Now - C->Arrived_ > HolderTimeout;
  if (TimedOut || Now + RetryPause + AnswerMargin > C->Deadline_)
    return giveUp(C);
  QTimer::singleShot(RetryPause, this, [this, C] { attempt(C); });
}

void Front::giveUp(const CallPtr &C) {
  if (C->Open_.any())
    return answer(C, GatewayTimeout, {}, "outcome-unknown");
  answer(C, Unavailable, {}, "no-holder", RetryAfterTakeover);
}

void Front::answer(const CallPtr &C, int Status, const QJsonObject &Body,
                   const std::string &Cause, Millis RetryAfter) {
  if (std::exchange(C->Answered_, true))
    return;
  --Pending_;
  http::Response R;
  R.Status_ = Status;
  R.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  if (RetryAfter.count() > 0)
    R.Headers_.push_back(
        {"Retry-After",
         QByteArray::number(static_cast<qlonglong>(
             (RetryAfter.count() + MsPerSecond - 1) / MsPerSecond))});
  const bool Delivered = C->To_.respond(R);
  const Micros Took = Context_.Clock_.now() - C->Arrived_;
  Context_.Metrics_.observe("heathercross_call_duration_seconds",
                            "Time from a call's arrival to its answer.", Took);
  Context_.Metrics_.add("heathercross_calls_" + std::to_string(Status) +
                            "_total",
                        "Calls answered with this status.");
  const auto MakeFields = [&] {
    QJsonObject F{
        {"kind", kindName(C->Request_.Kind_)},
        {"job", toQString(C->Request_.Job_.str())},
        {"queue", toQString(C->Request_.Queue_.str())},
        {"account", toQString(C->Request_.Account_.str())},
        {"pool", toQString(C->Request_.Pool_.str())},
        {"status", Status},
        {"took_ms", static_cast<qint64>(toMillis(Took).count())},
        {"attempts", static_cast<qint64>(C->Attempts_)},
        {"holder", toQString(C->Holder_)},
        {"configuration", static_cast<qint64>(C->ConfigurationVersion_)}};
    if (!Cause.empty())
      F["cause"] = toQString(Cause);
    if (RetryAfter.count() > 0)
      F["retry_after_ms"] = static_cast<qint64>(RetryAfter.count());
    if (!Delivered)
      F["caller_gone"] = true;
    return F;
  };
  if (Status == Ok)
    Context_.Log_.writeRoutine("call-answered", MakeFields);
  else
    Context_.Log_.write("call-answered", MakeFields());
}

void Front::servePeer(http::Request &&R, http::Responder &&To) {
  auto Responder = std::make_shared<http::Responder>(std::move(To));
  if (const auto Evacuate = parseEvacuateCall(R)) {
    PoolHolder *H = Duties_.holder(Evacuate->Pool_);
    if (H && !Evacuate->Workers_.empty())
      H->evacuate(Evacuate->Workers_, EvacuationDuration);
    if (H)
      H->setOtherPools(Evacuate->OtherPools_);
    const auto Snapshot = H ? H->snapshot() : std::nullopt;
    http::Response NotFoundResponse;
    NotFoundResponse.Status_ = NotFound;
    Responder->respond(Snapshot ? snapshotResponse(*Snapshot)
                                : NotFoundResponse);
    return;
  }
  if (isPing(R)) {
    Responder->respond(http::Response());
    return;
  }
  if (isClusterStateCall(R)) {
    Responder->respond(clusterStateResponse(ClusterState_.shared()));
    return;
  }
  const auto Job = parseJobCall(R);
  if (!Job) {
    http::Response NotFoundResponse;
    NotFoundResponse.Status_ = NotFound;
    Responder->respond(NotFoundResponse);
    return;
  }
  Duties_.entrySeen(Job->Entry_, Job->CpuMilli_);
  PoolHolder *H = Duties_.holder(Job->Pool_);
  if (!H || H->self().Epoch_ != Job->Epoch_) {
    Responder->respond(jobAnswerResponse(AnswerKind::NotHolder));
    return;
  }
  callLocalHolder(*H, *Job, [Responder](const JobAnswer &A) {
    Responder->respond(jobAnswerResponse(A));
  });
}

} // namespace heathercross::entry
