// How a ticket is shown.
#pragma once

#include "cli/exit-code.h"
#include "cli/session.h"

#include <QJsonObject>

namespace heathercross::cli {

/// Prints a ticket: its state, votes and changes for people, or as JSON.
void printTicket(const Session &S, const QJsonObject &Ticket);

/// Prints a ticket that a change of it left. Refused when it can't be
/// committed any more.
ExitCode finishTicket(const Session &S, const QJsonObject &Ticket);

} // namespace heathercross::cli
