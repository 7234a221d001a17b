// Prints tickets.
#include "cli/ticket-print.h"

#include "cli/ticket-change.h"

#include <iostream>

namespace heathercross::cli {

namespace {

QJsonArray changeRows(const QJsonObject &Text) {
  QJsonArray Rows;
  const QJsonObject Against = Text["against"].toObject();
  for (const auto &Value : arrayField(Text, "changes")) {
    const QJsonObject Change = Value.toObject();
    const std::string Kind =
        Change.isEmpty() ? "" : Change.begin().key().toStdString();
    const QJsonObject Object = Change[QString::fromStdString(Kind)].toObject();
    const auto Key = QString::fromStdString(objectKey(Kind, Object));
    Rows.append(QJsonObject{{"object", Key},
                            {"against", Against[Key].toInteger()},
                            {"new_state", Object}});
  }
  return Rows;
}

std::string votesText(const QJsonObject &Votes) {
  std::string Text;
  for (auto I = Votes.begin(); I != Votes.end(); ++I)
    Text += (Text.empty() ? "" : ", ") + I.key().toStdString() + "=" +
            I.value().toString().toStdString();
  return Text.empty() ? "none" : Text;
}

} // namespace

void printTicket(const Session &S, const QJsonObject &Ticket) {
  if (S.options().Json_)
    return S.printObject(Ticket);
  std::cout << "ticket " << Ticket["number"].toInteger() << " "
            << Ticket["state"].toString().toStdString() << ", by "
            << Ticket["author"].toString().toStdString()
            << "\nvotes: " << votesText(Ticket["votes"].toObject()) << "\n";
  const std::string Reason = Ticket["reason"].toString().toStdString();
  if (!Reason.empty())
    std::cout << "reason: " << Reason << "\n";
  std::cout << formatTable(changeRows(Ticket["text"].toObject()),
                           {"object", "against", "new_state"});
}

ExitCode printTicketResult(const Session &S, const QJsonObject &Ticket) {
  printTicket(S, Ticket);
  return Ticket["state"] == "conflicted" ? ExitCode::Refused : ExitCode::Done;
}

} // namespace heathercross::cli
