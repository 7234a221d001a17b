// HTTP handlers that submit change tickets, record votes and show both.
#pragma once

#include "daemon/view-service.h"
#include "http/http-server.h"
#include "store/table-client.h"
#include "view/ticket.h"

#include <functional>
#include <string>

namespace heathercross::daemon {

/// No attempt to change a ticket was confirmed, and a write may have taken
/// effect. Reading the ticket shows its state.
class TicketUncertain : public Error {
public:
  explicit TicketUncertain(TicketNumber Number)
      : Error("ticket " + std::to_string(Number.value()) +
              " may or may not have been changed: the platform didn't confirm "
              "the write") {}
  const char *code() const noexcept override { return "ticket-uncertain"; }
};

/// The platform cannot be reached, and nothing was changed.
class PlatformUnreachable : public Error {
public:
  PlatformUnreachable()
      : Error("the platform can't be reached; nothing was changed") {}
  const char *code() const noexcept override { return "platform-away"; }
};

/// Applies the ticket functions of the view module to the platform table: reads
/// their inputs, commits the write they return, and starts over after a
/// conflict or an uncertain commit, which is safe because they are idempotent.
class TicketService {
public:
  TicketService(std::string Incarnation, view::Committee Members, History &H,
                store::TableClient &Platform, ViewService &View);

  void submit(const http::Request &R, http::Responder Responder,
              const OperatorId &Author);
  void vote(TicketNumber Number, const http::Request &R,
            http::Responder Responder, const OperatorId &Voter);
  void show(TicketNumber Number, http::Responder Responder);
  void list(http::Responder Responder);

private:
  /// Computes the new ticket and its write from the current rows.
  using Decide = std::function<view::TicketUpdate(const std::optional<Row> &,
                                                  const view::AgreedState &,
                                                  const AttemptId &)>;
  struct Change;
  using ChangePtr = std::shared_ptr<Change>;

  void startChange(TicketNumber Number, http::Responder Responder, Decide D);
  void readHead(const ChangePtr &C);
  void readTicket(const ChangePtr &C, const view::AgreedState &State);
  void decide(const ChangePtr &C, const std::optional<Row> &Existing,
              const view::AgreedState &State);
  void handleCommit(const ChangePtr &C, const view::TicketUpdate &S,
                    const CommitResult &R);
  void retry(const ChangePtr &C);
  void finish(const ChangePtr &C, const view::Ticket &T);

  std::string Incarnation_;
  view::Committee Members_;
  History &History_;
  store::TableClient &Platform_;
  ViewService &View_;
  std::uint64_t LastAttempt_ = 0;
};

} // namespace heathercross::daemon
