// HTTP handlers with which teams submit, read and cancel jobs.
#include "daemon/job-service.h"

#include "daemon/error-response.h"
#include "daemon/ticket-service.h"

#include <QJsonArray>
#include <QTimer>

#include <glog/logging.h>

#include <algorithm>
#include <ranges>

namespace heathercross::daemon {

namespace {

constexpr unsigned MaxTries = 8;
constexpr int RetryDelayMs = 60;
constexpr int Accepted = 202;
constexpr int GatewayTimeout = 504;
constexpr qsizetype MaxListed = 1000;

/// The platform table did not confirm the write. Calls are idempotent, so the
/// caller may repeat this one.
class JobUncertain : public Error {
public:
  JobUncertain()
      : Error("the platform didn't confirm the write; repeating the call is "
              "safe") {}
  const char *code() const noexcept override { return "job-uncertain"; }
};

QString text(std::string_view S) {
  return QString::fromUtf8(S.data(), static_cast<qsizetype>(S.size()));
}

std::string_view textOf(const QByteArray &Body) {
  return {Body.constData(), static_cast<std::size_t>(Body.size())};
}

QJsonObject summary(const job::JobRow &J) {
  return {{"id", text(J.Job_.str())},
          {"pool", text(J.Pool_.str())},
          {"state", text(job::name(J.State_))},
          {"worker", text(J.Worker_.str())},
          {"epoch", static_cast<qint64>(J.Epoch_.value())},
          {"bills", static_cast<int>(J.Bills_)},
          {"failed_on", static_cast<int>(J.FailedOn_.size())}};
}

/// Responds with the result of D, or with an error response if it throws.
template <class Decide> void respondWith(http::Responder &Responder, Decide D) {
  try {
    Responder.respond(D());
  } catch (const job::NoSuchJob &E) {
    Responder.respond(errorResponse(NotFound, E));
  } catch (const Error &E) {
    Responder.respond(errorResponse(Conflict, E));
  }
}

} // namespace

struct JobService::Submission {
  job::JobSpec Spec_;
  TeamId Team_;
  http::Responder Responder_;
  unsigned Tries_ = 0;
  bool WriteUncertain_ = false;
};

JobService::JobService(std::string Incarnation, History &H,
                       store::TableClient &Platform, FleetFeed &Feed,
                       JobIndex &Index)
    : Incarnation_(std::move(Incarnation)), History_(H), Platform_(Platform),
      Feed_(Feed), Index_(Index) {}

AttemptId JobService::nextAttempt() {
  return AttemptId(Incarnation_ + "-s" + std::to_string(++LastAttempt_));
}

void JobService::submit(const http::Request &R, http::Responder Responder,
                        const TeamId &Team) {
  auto S = std::make_shared<Submission>();
  S->Spec_ = job::decodeJobSpec(textOf(R.Body_));
  S->Team_ = Team;
  S->Responder_ = std::move(Responder);
  History_.write("job-submit", S->Spec_.Job_.str(),
                 {{"team", text(Team.str())}});
  readAndDecide(S);
}

void JobService::readAndDecide(const SubmissionPtr &S) {
  ++S->Tries_;
  Index_.refresh([this, S](bool Read, const std::vector<Row> &) {
    if (!Read)
      return retry(S);
    Platform_.readRow(job::rowKey(S->Spec_.Job_),
                      [this, S](const store::RowResult &R) { decide(S, R); });
  });
}

void JobService::decide(const SubmissionPtr &S, const store::RowResult &R) {
  if (!R.Answered_)
    return retry(S);
  job::SubmitContext Context{Feed_.view(), Feed_.sizesOf(S->Spec_.Pool_),
                             Index_.activeJobs(S->Team_)};
  try {
    const job::SubmitResult Step =
        job::submitJob(S->Spec_, S->Team_, R.Row_, Context, nextAttempt());
    if (!Step.Write_)
      return acknowledge(S, Step.Job_);
    Platform_.commit(*Step.Write_, [this, S, Step](const CommitResult &C) {
      if (C.Status_ == CommitStatus::Committed)
        return acknowledge(S, Step.Job_);
      S->WriteUncertain_ =
          S->WriteUncertain_ || C.Status_ == CommitStatus::Uncertain;
      retry(S);
    });
  } catch (const Error &E) {
    S->Responder_.respond(errorResponse(Conflict, E));
  }
}

void JobService::retry(const SubmissionPtr &S) {
  if (S->Tries_ < MaxTries)
    return QTimer::singleShot(RetryDelayMs * static_cast<int>(S->Tries_), this,
                              [this, S] { readAndDecide(S); });
  if (S->WriteUncertain_)
    S->Responder_.respond(errorResponse(GatewayTimeout, JobUncertain()));
  else
    S->Responder_.respond(errorResponse(Unavailable, PlatformUnreachable()));
}

void JobService::acknowledge(const SubmissionPtr &S, const job::JobRow &Job) {
  History_.write("job-accepted", Job.Job_.str(),
                 {{"team", text(S->Team_.str())}});
  LOG(INFO) << "event=job-accepted job=" << Job.Job_.str()
            << " team=" << S->Team_.str();
  S->Responder_.respond(jsonResponse(Accepted, summary(Job)));
  if (OnAccepted_)
    OnAccepted_();
}

void JobService::show(const JobId &Job, http::Responder Responder,
                      const TeamId &Team) {
  Platform_.readRow(job::rowKey(Job), [Job, Team, Responder](
                                          const store::RowResult &R) mutable {
    if (!R.Answered_) {
      Responder.respond(errorResponse(Unavailable, PlatformUnreachable()));
      return;
    }
    respondWith(Responder, [&] {
      return jsonResponse(200, summary(job::jobFor(Team, Job, R.Row_)));
    });
  });
}

void JobService::result(const JobId &Job, http::Responder Responder,
                        const TeamId &Team) {
  Platform_.readRow(job::rowKey(Job), [this, Job, Team, Responder](
                                          const store::RowResult &R) mutable {
    if (!R.Answered_) {
      Responder.respond(errorResponse(Unavailable, PlatformUnreachable()));
      return;
    }
    std::string Result;
    try {
      Result = job::resultFor(Team, Job, R.Row_);
    } catch (const job::NoSuchJob &E) {
      Responder.respond(errorResponse(NotFound, E));
      return;
    } catch (const Error &E) {
      Responder.respond(errorResponse(Conflict, E));
      return;
    }
    http::Response Response;
    Response.Type_ = "application/octet-stream";
    Response.Body_ = QByteArray::fromStdString(Result);
    if (!Result.starts_with(ObjectPrefix)) {
      Responder.respond(Response);
      return;
    }
    Platform_.getObject(
        Result.substr(ObjectPrefix.size()),
        [Responder, Response](const store::ObjectResult &O) mutable {
          if (!O.Exists_) {
            Responder.respond(
                errorResponse(Unavailable, PlatformUnreachable()));
            return;
          }
          Response.Body_ = O.Bytes_;
          Responder.respond(Response);
        });
  });
}

void JobService::list(const std::string &State, http::Responder Responder,
                      const TeamId &Team) {
  Index_.refresh([this, State, Team,
                  Responder](bool Read, const std::vector<Row> &) mutable {
    if (!Read) {
      Responder.respond(errorResponse(Unavailable, PlatformUnreachable()));
      return;
    }
    const auto Matches = [&](const auto &Entry) {
      return Entry.second.Team_ == Team &&
             (State.empty() || job::name(Entry.second.State_) == State);
    };
    QJsonArray Jobs;
    for (const auto &Entry : Index_.jobs()) {
      if (Jobs.size() >= MaxListed)
        break;
      if (Matches(Entry))
        Jobs.append(
            QJsonObject{{"id", text(Entry.first.str())},
                        {"pool", text(Entry.second.Pool_.str())},
                        {"state", text(job::name(Entry.second.State_))}});
    }
    Responder.respond(jsonResponse(200, {{"jobs", Jobs}}));
  });
}

void JobService::cancel(const http::Request &R, http::Responder Responder,
                        const TeamId &Team) {
  commitCancellations(job::decodeCancellation(textOf(R.Body_)), Team,
                      std::move(Responder), 1);
}

void JobService::commitCancellations(const std::vector<JobId> &Ids,
                                     const TeamId &Team,
                                     http::Responder Responder, unsigned Try) {
  Index_.refresh([this, Ids, Team, Responder,
                  Try](bool Read, const std::vector<Row> &) mutable {
    if (!Read) {
      Responder.respond(errorResponse(Unavailable, PlatformUnreachable()));
      return;
    }
    std::vector<Row> Rows;
    QJsonObject States;
    for (const JobId &Id : Ids) {
      const auto It = Index_.jobs().find(Id);
      if (It == Index_.jobs().end() || It->second.Team_ != Team)
        continue;
      States[text(Id.str())] = text(job::name(It->second.State_));
      if (!job::isFinal(It->second.State_))
        Rows.push_back(It->second.Row_);
    }
    const job::Cancellation C = job::cancelJobs(Team, Rows, nextAttempt());
    for (const auto &[Id, State] : C.States_)
      States[text(Id.str())] = text(job::name(State));
    auto Remaining = std::make_shared<std::size_t>(C.Writes_.size());
    auto Failed = std::make_shared<bool>(false);
    if (C.Writes_.empty()) {
      Responder.respond(jsonResponse(200, States));
      return;
    }
    for (const Transaction &T : C.Writes_)
      Platform_.commit(T, [this, Ids, Team, Responder, Try, States, Remaining,
                           Failed](const CommitResult &Result) mutable {
        *Failed = *Failed || Result.Status_ != CommitStatus::Committed;
        if (--*Remaining > 0)
          return;
        if (!*Failed) {
          Responder.respond(jsonResponse(200, States));
          return;
        }
        if (Try >= MaxTries) {
          Responder.respond(errorResponse(GatewayTimeout, JobUncertain()));
          return;
        }
        QTimer::singleShot(RetryDelayMs, this,
                           [this, Ids, Team, Responder, Try] {
                             commitCancellations(Ids, Team, Responder, Try + 1);
                           });
      });
  });
}

} // namespace heathercross::daemon
