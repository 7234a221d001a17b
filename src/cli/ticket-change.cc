// Submits changes as tickets.
#include "cli/ticket-change.h"

#include "cli/errors.h"
#include "cli/flags.h"
#include "cli/ticket-print.h"

#include <algorithm>

namespace heathercross::cli {

namespace {

/// Returns the JSON field that identifies an object of this kind.
const char *nameField(const std::string &Kind) {
  if (Kind == "budget")
    return "pool";
  return Kind == "quota" ? "team" : "name";
}

} // namespace

std::uint64_t CurrentView::head() const {
  return static_cast<std::uint64_t>(View_["head"].toInteger());
}

QJsonObject CurrentView::find(const std::string &Kind,
                              const std::string &Name) const {
  const QJsonArray Objects = arrayField(View_, (Kind + "s").c_str());
  const auto I = std::ranges::find_if(Objects, [&](const QJsonValue &V) {
    return nameOf(Kind, V.toObject()) == Name;
  });
  return I == Objects.end() ? QJsonObject() : (*I).toObject();
}

std::uint64_t CurrentView::versionOf(const std::string &Key) const {
  if (!View_["versions"].isObject())
    raise(CallFailed(ExitCode::Refused, "bad-answer",
                     "the view has no versions"));
  const QJsonValue Version =
      View_["versions"].toObject()[QString::fromStdString(Key)];
  return static_cast<std::uint64_t>(Version.toInteger());
}

std::string nameOf(const std::string &Kind, const QJsonObject &Object) {
  return Object[nameField(Kind)].toString().toStdString();
}

std::string objectKey(const std::string &Kind, const QJsonObject &Object) {
  return Kind + "/" + nameOf(Kind, Object);
}

ExitCode submitChange(Session &S, const CurrentView &View,
                      const std::string &Kind, const QJsonObject &Object) {
  const std::string Key = objectKey(Kind, Object);
  const std::uint64_t Number =
      FLAGS_ticket == 0 ? View.head() + 1 : FLAGS_ticket;
  const QJsonObject Change{{QString::fromStdString(Kind), Object}};
  const QJsonObject Against{
      {QString::fromStdString(Key), static_cast<qint64>(View.versionOf(Key))}};
  const QJsonObject Text{{"changes", QJsonArray{Change}}, {"against", Against}};
  const QJsonObject Ticket = S.post(
      "/v1/tickets", {{"number", static_cast<qint64>(Number)}, {"text", Text}});
  return printTicketResult(S, Ticket);
}

} // namespace heathercross::cli
