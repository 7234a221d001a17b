// Submits tickets, records votes and shows both.
#pragma once

#include "daemon/view-service.h"
#include "http/http-server.h"
#include "store/table-client.h"
#include "view/ticket.h"

#include <functional>
#include <string>

namespace heathercross::daemon {

/// The table's answer to a change of a ticket never became certain; ask for
/// the ticket to see what happened.
class TicketUncertain : public Error {
public:
  explicit TicketUncertain(TicketNumber Number)
      : Error(
            "ticket " + std::to_string(Number.value()) +
            " may or may not have been changed: the platform didn't confirm") {}
  const char *code() const noexcept override { return "ticket-uncertain"; }
};

/// The platform can't be reached, and nothing was changed.
class PlatformUnreachable : public Error {
public:
  PlatformUnreachable()
      : Error("the platform can't be reached; nothing was changed") {}
  const char *code() const noexcept override { return "platform-away"; }
};

/// Runs the decisions about tickets against the table: reads what they need,
/// commits what they give, and reads again after a conflict or an uncertain
/// answer. The decisions are idempotent, so that this is safe.
class TicketService {
public:
  TicketService(std::string Incarnation, view::Committee Members, History &H,
                store::TableClient &Platform, ViewService &View);

  void submit(const http::Request &R, http::Responder To,
              const OperatorId &Author);
  void vote(TicketNumber Number, const http::Request &R, http::Responder To,
            const OperatorId &Voter);
  void show(TicketNumber Number, http::Responder To);
  void list(http::Responder To);

private:
  /// Decides anew from the rows as they are now.
  using Decide = std::function<view::Step(
      const std::optional<Row> &, const view::Agreed &, const AttemptId &)>;
  struct Change;
  using ChangePtr = std::shared_ptr<Change>;

  void begin(TicketNumber Number, http::Responder To, Decide D);
  void readHead(const ChangePtr &C);
  void readTicket(const ChangePtr &C, const view::Agreed &State);
  void decide(const ChangePtr &C, const std::optional<Row> &Existing,
              const view::Agreed &State);
  void committed(const ChangePtr &C, const view::Step &S,
                 const CommitResult &R);
  void again(const ChangePtr &C);
  void finish(const ChangePtr &C, const view::Ticket &T);

  std::string Incarnation_;
  view::Committee Members_;
  History &History_;
  store::TableClient &Platform_;
  ViewService &View_;
  std::uint64_t LastAttempt_ = 0;
};

} // namespace heathercross::daemon
