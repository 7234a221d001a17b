// What teams ask of their jobs, over HTTP.
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
constexpr int RetryMs = 60;
constexpr int Accepted = 202;
constexpr int GatewayTimeout = 504;
constexpr qsizetype MaxListed = 1000;

/// The table didn't confirm the write; the same submission may be repeated.
class JobUncertain : public Error {
public:
  JobUncertain()
      : Error("the platform didn't confirm; repeat the same call safely") {}
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

/// Answers with what a decision gives, or with its failure.
template <class Decide> void answer(http::Responder &To, Decide D) {
  try {
    To.respond(D());
  } catch (const job::NoSuchJob &E) {
    To.respond(errorResponse(NotFound, E));
  } catch (const Error &E) {
    To.respond(errorResponse(Conflict, E));
  }
}

} // namespace

struct JobService::Submission {
  job::JobSpec Spec_;
  TeamId Team_;
  http::Responder To_;
  unsigned Tries_ = 0;
  bool Uncertain_ = false;
};

JobService::JobService(std::string Incarnation, History &H,
                       store::TableClient &Platform, FleetFeed &Feed,
                       JobIndex &Index)
    : Incarnation_(std::move(Incarnation)), History_(H), Platform_(Platform),
      Feed_(Feed), Index_(Index) {}

AttemptId JobService::nextAttempt() {
  return AttemptId(Incarnation_ + "-s" + std::to_string(++LastAttempt_));
}

void JobService::submit(const http::Request &R, http::Responder To,
                        const TeamId &Team) {
  auto S = std::make_shared<Submission>();
  S->Spec_ = job::decodeJobSpec(textOf(R.Body_));
  S->Team_ = Team;
  S->To_ = std::move(To);
  History_.write("job-submit", S->Spec_.Job_.str(),
                 {{"team", text(Team.str())}});
  readAndDecide(S);
}

void JobService::readAndDecide(const SubmissionPtr &S) {
  ++S->Tries_;
  Index_.refresh([this, S](bool Read, const std::vector<Row> &) {
    if (!Read)
      return tryAgain(S);
    Platform_.readRow(job::rowKey(S->Spec_.Job_),
                      [this, S](const store::RowResult &R) { decide(S, R); });
  });
}

void JobService::decide(const SubmissionPtr &S, const store::RowResult &R) {
  if (!R.Answered_)
    return tryAgain(S);
  job::JobContext Context{Feed_.view(), Feed_.sizesOf(S->Spec_.Pool_),
                          Index_.activeOf(S->Team_)};
  try {
    const job::JobStep Step =
        job::submitJob(S->Spec_, S->Team_, R.Row_, Context, nextAttempt());
    if (!Step.Write_)
      return accepted(S, Step.Job_);
    Platform_.commit(*Step.Write_, [this, S, Step](const CommitResult &C) {
      if (C.Status_ == CommitStatus::Committed)
        return accepted(S, Step.Job_);
      S->Uncertain_ = S->Uncertain_ || C.Status_ == CommitStatus::Uncertain;
      tryAgain(S);
    });
  } catch (const Error &E) {
    S->To_.respond(errorResponse(Conflict, E));
  }
}

void JobService::tryAgain(const SubmissionPtr &S) {
  if (S->Tries_ < MaxTries)
    return QTimer::singleShot(RetryMs * static_cast<int>(S->Tries_), this,
                              [this, S] { readAndDecide(S); });
  if (S->Uncertain_)
    S->To_.respond(errorResponse(GatewayTimeout, JobUncertain()));
  else
    S->To_.respond(errorResponse(Unavailable, PlatformUnreachable()));
}

void JobService::accepted(const SubmissionPtr &S, const job::JobRow &Job) {
  History_.write("job-accepted", Job.Job_.str(),
                 {{"team", text(S->Team_.str())}});
  LOG(INFO) << "event=job-accepted job=" << Job.Job_.str()
            << " team=" << S->Team_.str();
  S->To_.respond(jsonResponse(Accepted, summary(Job)));
  if (OnAccepted_)
    OnAccepted_();
}

void JobService::show(const JobId &Job, http::Responder To,
                      const TeamId &Team) {
  Platform_.readRow(
      job::rowKey(Job), [Job, Team, To](const store::RowResult &R) mutable {
        if (!R.Answered_) {
          To.respond(errorResponse(Unavailable, PlatformUnreachable()));
          return;
        }
        answer(To, [&] {
          return jsonResponse(200, summary(job::jobFor(Team, Job, R.Row_)));
        });
      });
}

void JobService::result(const JobId &Job, http::Responder To,
                        const TeamId &Team) {
  Platform_.readRow(job::rowKey(Job), [this, Job, Team,
                                       To](const store::RowResult &R) mutable {
    if (!R.Answered_) {
      To.respond(errorResponse(Unavailable, PlatformUnreachable()));
      return;
    }
    std::string Result;
    try {
      Result = job::resultFor(Team, Job, R.Row_);
    } catch (const job::NoSuchJob &E) {
      To.respond(errorResponse(NotFound, E));
      return;
    } catch (const Error &E) {
      To.respond(errorResponse(Conflict, E));
      return;
    }
    http::Response Whole;
    Whole.Type_ = "application/octet-stream";
    Whole.Body_ = QByteArray::fromStdString(Result);
    if (!Result.starts_with(ObjectPrefix)) {
      To.respond(Whole);
      return;
    }
    Platform_.getObject(
        Result.substr(ObjectPrefix.size()),
        [To, Whole](const store::ObjectResult &O) mutable {
          if (!O.Exists_) {
            To.respond(errorResponse(Unavailable, PlatformUnreachable()));
            return;
          }
          Whole.Body_ = O.Bytes_;
          To.respond(Whole);
        });
  });
}

void JobService::list(const std::string &State, http::Responder To,
                      const TeamId &Team) {
  Index_.refresh([this, State, Team, To](bool Read,
                                         const std::vector<Row> &) mutable {
    if (!Read) {
      To.respond(errorResponse(Unavailable, PlatformUnreachable()));
      return;
    }
    const auto Wanted = [&](const auto &One) {
      return One.second.Team_ == Team &&
             (State.empty() || job::name(One.second.State_) == State);
    };
    QJsonArray Jobs;
    for (const auto &One : Index_.jobs()) {
      if (Jobs.size() >= MaxListed)
        break;
      if (Wanted(One))
        Jobs.append(QJsonObject{{"id", text(One.first.str())},
                                {"pool", text(One.second.Pool_.str())},
                                {"state", text(job::name(One.second.State_))}});
    }
    To.respond(jsonResponse(200, {{"jobs", Jobs}}));
  });
}

void JobService::cancel(const http::Request &R, http::Responder To,
                        const TeamId &Team) {
  commitCancels(job::decodeCancellation(textOf(R.Body_)), Team, std::move(To),
                1);
}

void JobService::commitCancels(const std::vector<JobId> &Ids,
                               const TeamId &Team, http::Responder To,
                               unsigned Try) {
  Index_.refresh(
      [this, Ids, Team, To, Try](bool Read, const std::vector<Row> &) mutable {
        if (!Read) {
          To.respond(errorResponse(Unavailable, PlatformUnreachable()));
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
          To.respond(jsonResponse(200, States));
          return;
        }
        for (const Transaction &T : C.Writes_)
          Platform_.commit(T, [this, Ids, Team, To, Try, States, Remaining,
                               Failed](const CommitResult &Result) mutable {
            *Failed = *Failed || Result.Status_ != CommitStatus::Committed;
            if (--*Remaining > 0)
              return;
            if (!*Failed) {
              To.respond(jsonResponse(200, States));
              return;
            }
            if (Try >= MaxTries) {
              To.respond(errorResponse(GatewayTimeout, JobUncertain()));
              return;
            }
            QTimer::singleShot(RetryMs, this, [this, Ids, Team, To, Try] {
              commitCancels(Ids, Team, To, Try + 1);
            });
          });
      });
}

} // namespace heathercross::daemon
