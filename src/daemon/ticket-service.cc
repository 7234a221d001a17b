// HTTP handlers that submit change tickets, record votes and show both.
#include "daemon/ticket-service.h"

#include "daemon/api.h"
#include "daemon/error-response.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

#include <glog/logging.h>

#include <algorithm>
#include <span>

namespace heathercross::daemon {

namespace {

constexpr unsigned MaxTries = 12;
/// Maximum number of tickets in one response, oldest first.
constexpr std::size_t MaxListed = 500;
/// Delay before the first retry; the n-th retry waits n times as long.
constexpr int RetryDelayMs = 40;

http::Response conflictResponse(const view::VersionConflict &E) {
  return jsonResponse(Conflict,
                      {{"error", E.code()},
                       {"message", E.what()},
                       {"object", QString::fromStdString(E.object().str())},
                       {"expected", static_cast<qint64>(E.expected().value())},
                       {"actual", static_cast<qint64>(E.actual().value())}});
}

std::string_view textOf(const QByteArray &Body) {
  return {Body.constData(), static_cast<std::size_t>(Body.size())};
}

} // namespace

/// A change of a ticket that is in progress.
struct TicketService::Change {
  TicketNumber Number_;
  http::Responder Responder_;
  Decide Decide_;
  unsigned Tries_ = 0;
  /// Whether an unconfirmed write may have taken effect.
  bool WriteUncertain_ = false;
};

TicketService::TicketService(std::string Incarnation, view::Committee Members,
                             History &H, store::TableClient &Platform,
                             ViewService &View)
    : Incarnation_(std::move(Incarnation)), Members_(std::move(Members)),
      History_(H), Platform_(Platform), View_(View) {}

void TicketService::submit(const http::Request &R, http::Responder Responder,
                           const OperatorId &Author) {
  const view::Submission S = view::decodeSubmission(textOf(R.Body_));
  History_.write("ticket-submit", std::to_string(S.Number_.value()),
                 {{"operator", QString::fromStdString(Author.str())}});
  startChange(S.Number_, std::move(Responder),
              [S, Author](const std::optional<Row> &Existing,
                          const view::AgreedState &State,
                          const AttemptId &Attempt) {
                return view::submit(S, Author, Existing, State, Attempt);
              });
}

void TicketService::vote(TicketNumber Number, const http::Request &R,
                         http::Responder Responder, const OperatorId &Voter) {
  const view::Vote Cast = view::decodeVote(textOf(R.Body_));
  startChange(Number, std::move(Responder),
              [this, Number, Cast, Voter](const std::optional<Row> &Existing,
                                          const view::AgreedState &State,
                                          const AttemptId &Attempt) {
                return view::vote(Number, Existing, Voter, Cast, Members_,
                                  State, Attempt);
              });
}

void TicketService::startChange(TicketNumber Number, http::Responder Responder,
                                Decide D) {
  auto C = std::make_shared<Change>();
  C->Number_ = Number;
  C->Responder_ = std::move(Responder);
  C->Decide_ = std::move(D);
  readHead(C);
}

void TicketService::readHead(const ChangePtr &C) {
  ++C->Tries_;
  View_.readNow([this, C](bool Read) {
    if (!Read)
      return retry(C);
    Platform_.readRow(
        std::string(view::HeadKey), [this, C](const store::RowResult &R) {
          const auto State =
              R.Answered_ ? View_.store().agreedState(R.Row_) : std::nullopt;
          if (!State)
            return retry(C);
          readTicket(C, *State);
        });
  });
}

void TicketService::readTicket(const ChangePtr &C,
                               const view::AgreedState &State) {
  Platform_.readRow(view::rowKey(C->Number_),
                    [this, C, State](const store::RowResult &R) {
                      if (!R.Answered_)
                        return retry(C);
                      decide(C, R.Row_, State);
                    });
}

void TicketService::decide(const ChangePtr &C,
                           const std::optional<Row> &Existing,
                           const view::AgreedState &State) {
  const AttemptId Attempt(Incarnation_ + "-t" + std::to_string(++LastAttempt_));
  try {
    const view::TicketUpdate S = C->Decide_(Existing, State, Attempt);
    if (!S.Write_)
      return finish(C, S.Ticket_);
    Platform_.commit(*S.Write_, [this, C, S](const CommitResult &R) {
      handleCommit(C, S, R);
    });
  } catch (const view::VersionConflict &E) {
    C->Responder_.respond(conflictResponse(E));
  } catch (const view::NoSuchTicket &E) {
    C->Responder_.respond(errorResponse(NotFound, E));
  } catch (const view::NotOnCommittee &E) {
    C->Responder_.respond(errorResponse(Forbidden, E));
  } catch (const Error &E) {
    C->Responder_.respond(errorResponse(Conflict, E));
  }
}

void TicketService::handleCommit(const ChangePtr &C,
                                 const view::TicketUpdate &S,
                                 const CommitResult &R) {
  if (R.Status_ == CommitStatus::Committed)
    return finish(C, S.Ticket_);
  C->WriteUncertain_ =
      C->WriteUncertain_ || R.Status_ == CommitStatus::Uncertain;
  retry(C);
}

void TicketService::retry(const ChangePtr &C) {
  if (!C->Responder_.isOpen())
    return;
  if (C->Tries_ < MaxTries) {
    QTimer::singleShot(RetryDelayMs * static_cast<int>(C->Tries_), &View_,
                       [this, C] { readHead(C); });
    return;
  }
  if (C->WriteUncertain_)
    C->Responder_.respond(errorResponse(504, TicketUncertain(C->Number_)));
  else
    C->Responder_.respond(errorResponse(Unavailable, PlatformUnreachable()));
}

void TicketService::finish(const ChangePtr &C, const view::Ticket &T) {
  const std::string Id = std::to_string(T.Number_.value());
  LOG(INFO) << "event=ticket ticket=" << Id << " state=" << name(T.State_);
  History_.write("ticket", Id,
                 {{"state", QString::fromUtf8(name(T.State_).data())}});
  C->Responder_.respond(jsonResponse(200, view::toJson(T)));
  if (T.State_ == view::TicketState::Accepted)
    View_.readNow([](bool) {});
}

void TicketService::show(TicketNumber Number, http::Responder Responder) {
  Platform_.readRow(
      view::rowKey(Number),
      [Responder, Number](const store::RowResult &R) mutable {
        if (!R.Answered_)
          Responder.respond(errorResponse(Unavailable, PlatformUnreachable()));
        else if (!R.Row_)
          Responder.respond(
              errorResponse(NotFound, view::NoSuchTicket(Number)));
        else
          Responder.respond(jsonResponse(
              200, view::toJson(view::decodeTicket(R.Row_->Value_))));
      });
}

void TicketService::list(http::Responder Responder) {
  Platform_.scan(
      std::string(view::TicketPrefix), RowVersion(),
      [Responder](const store::ScanResult &R) mutable {
        if (!R.Answered_) {
          Responder.respond(errorResponse(Unavailable, PlatformUnreachable()));
          return;
        }
        QJsonArray All;
        const bool More = R.Rows_.size() > MaxListed;
        for (const Row &TicketRow :
             std::span(R.Rows_).first(std::min(MaxListed, R.Rows_.size())))
          All.append(view::toJson(view::decodeTicket(TicketRow.Value_)));
        Responder.respond(
            jsonResponse(200, {{"tickets", All}, {"more", More}}));
      });
}

} // namespace heathercross::daemon
