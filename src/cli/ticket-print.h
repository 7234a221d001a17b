// Prints tickets.
#pragma once

#include "cli/exit-code.h"
#include "cli/session.h"

#include <QJsonObject>

namespace heathercross::cli {

/// Prints a ticket with its state, votes and changes as text, or as JSON.
void printTicket(const Session &S, const QJsonObject &Ticket);

/// Prints a ticket after it was submitted or voted on. Returns Refused if the
/// ticket is conflicted and so can't be committed any more.
ExitCode printTicketResult(const Session &S, const QJsonObject &Ticket);

} // namespace heathercross::cli
