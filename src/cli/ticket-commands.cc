// Commands that submit, show and vote on tickets.
#include "cli/command.h"
#include "cli/errors.h"
#include "cli/ticket-change.h"
#include "cli/ticket-print.h"

#include <QFile>
#include <QJsonDocument>

namespace heathercross::cli {

namespace {

const Columns TicketColumns{"number", "state", "author", "votes"};

QByteArray readFileOrInput(const std::string &Name) {
  QFile File(QString::fromStdString(Name));
  const bool Open = Name == "-" ? File.open(stdin, QIODevice::ReadOnly)
                                : File.open(QIODevice::ReadOnly);
  if (!Open)
    raise(UsageError("can't read " + Name));
  return File.readAll();
}

QJsonObject readTicketText(const std::string &Name) {
  const QJsonDocument Text = QJsonDocument::fromJson(readFileOrInput(Name));
  if (!Text.isObject() || !Text.object()["changes"].isArray())
    raise(UsageError(Name + R"( isn't {"changes":[...],"against":{...}})"));
  return Text.object();
}

std::string ticketPath(const std::string &Number) {
  return "/v1/tickets/" + std::to_string(parseNumber(Number, "the ticket"));
}

ExitCode submit(Session &S, const Arguments &A) {
  const auto Number = static_cast<qint64>(parseNumber(A[0], "the ticket"));
  return printTicketResult(
      S, S.post("/v1/tickets",
                {{"number", Number}, {"text", readTicketText(A[1])}}));
}

ExitCode vote(Session &S, const Arguments &A) {
  if (A[1] != "yes" && A[1] != "no")
    raise(UsageError("a vote is yes or no"));
  return printTicketResult(S, S.post(ticketPath(A[0]) + "/votes",
                                     {{"vote", QString::fromStdString(A[1])}}));
}

ExitCode show(Session &S, const Arguments &A) {
  printTicket(S, S.get(ticketPath(A[0])));
  return ExitCode::Done;
}

ExitCode list(Session &S, const Arguments &) {
  const QJsonArray Tickets = arrayField(S.get("/v1/tickets"), "tickets");
  QJsonArray Rows;
  for (const auto &Value : Tickets) {
    QJsonObject Row = Value.toObject();
    // The digest would make the table too wide.
    if (!S.options().Json_)
      Row.remove("digest");
    Rows.append(Row);
  }
  S.printRows("tickets", Rows, TicketColumns);
  return ExitCode::Done;
}

/// Returns a row for each field of an object's new state that differs from the
/// state in force.
QJsonArray fieldDifferences(const std::string &Object,
                            const QJsonObject &Current,
                            const QJsonObject &NewState) {
  QJsonArray Rows;
  for (auto I = NewState.begin(); I != NewState.end(); ++I)
    if (Current[I.key()] != I.value())
      Rows.append(QJsonObject{{"object", QString::fromStdString(Object)},
                              {"field", I.key()},
                              {"in_force", Current[I.key()]},
                              {"ticket", I.value()}});
  return Rows;
}

/// Returns the differences of one change of a ticket. The first row shows the
/// versions if the change was written against another version than the one in
/// force, except if this ticket itself made that version.
QJsonArray changeDifferences(const CurrentView &View, const QJsonObject &Ticket,
                             const QString &Kind, const QJsonObject &NewState) {
  const QJsonValue Against = Ticket["text"]["against"];
  const std::string Object = objectKey(Kind.toStdString(), NewState);
  const QString Key = QString::fromStdString(Object);
  QJsonArray Rows;
  const auto Version = static_cast<qint64>(View.versionOf(Object));
  const bool MadeByThisTicket = Ticket["number"].toInteger() == Version;
  if (Against[Key].toInteger() != Version && !MadeByThisTicket)
    Rows.append(QJsonObject{{"object", Key},
                            {"field", "(version)"},
                            {"in_force", Version},
                            {"ticket", Against[Key].toInteger()}});
  const QJsonObject Current =
      View.find(Kind.toStdString(), nameOf(Kind.toStdString(), NewState));
  for (const auto &Row : fieldDifferences(Object, Current, NewState))
    Rows.append(Row);
  return Rows;
}

ExitCode diff(Session &S, const Arguments &A) {
  const QJsonObject Ticket = S.get(ticketPath(A[0]));
  const CurrentView View(S);
  QJsonArray Rows;
  for (const auto &Value : arrayField(Ticket["text"].toObject(), "changes")) {
    const QJsonObject Change = Value.toObject();
    for (auto I = Change.begin(); I != Change.end(); ++I)
      for (const auto &Row :
           changeDifferences(View, Ticket, I.key(), I.value().toObject()))
        Rows.append(Row);
  }
  S.printRows("differences", Rows, {"object", "field", "in_force", "ticket"});
  return ExitCode::Done;
}

} // namespace

CommandList ticketCommands() {
  return {
      {"ticket",
       "submit",
       "NUMBER FILE|-",
       2,
       2,
       "Submits a change ticket, with its text as JSON.",
       "heathercross ticket submit 12 grow-quotes.json",
       {},
       submit},
      {"ticket",
       "vote",
       "NUMBER yes|no",
       2,
       2,
       "Votes on a ticket; the vote that decides commits it.",
       "heathercross ticket vote 12 yes",
       {},
       vote},
      {"ticket",
       "show",
       "NUMBER",
       1,
       1,
       "Shows a ticket with its votes.",
       "heathercross ticket show 12",
       {},
       show},
      {"ticket",
       "list",
       "",
       0,
       0,
       "Lists the tickets.",
       "heathercross ticket list",
       {},
       list},
      {"ticket",
       "diff",
       "NUMBER",
       1,
       1,
       "Shows what a ticket would change in the view in force.",
       "heathercross ticket diff 12",
       {},
       diff},
  };
}

} // namespace heathercross::cli
