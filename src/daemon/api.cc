// The HTTP interface of an entry instance: paths, rights and answers.
#include "daemon/api.h"

#include "daemon/error-response.h"
#include "view/ticket.h"

#include <glog/logging.h>

#include <QUrl>

#include <algorithm>
#include <ranges>

namespace heathercross::daemon {

namespace {

std::vector<std::string> partsOf(std::string_view Path) {
  std::vector<std::string> Parts;
  const QByteArray Whole(Path.data(), static_cast<qsizetype>(Path.size()));
  for (const QByteArray &Part : Whole.split('/'))
    if (!Part.isEmpty())
      Parts.push_back(QUrl::fromPercentEncoding(Part).toStdString());
  return Parts;
}

bool matches(const std::vector<std::string> &Pattern,
             const std::vector<std::string> &Parts) {
  return std::ranges::equal(
      Pattern, Parts, [](const std::string &Want, const std::string &Have) {
        return Want == "*" || Want == Have;
      });
}

} // namespace

int statusOf(const Error &E) {
  if (dynamic_cast<const access::Unauthenticated *>(&E))
    return Unauthorized;
  if (dynamic_cast<const access::Forbidden *>(&E))
    return Forbidden;
  if (dynamic_cast<const NoSuchResource *>(&E))
    return NotFound;
  if (dynamic_cast<const FormatError *>(&E))
    return BadRequest;
  if (dynamic_cast<const NotReady *>(&E))
    return Unavailable;
  return Conflict;
}

void Api::add(const char *Method, std::string_view Pattern,
              access::Right Needed, Handler H) {
  Routes_.push_back({Method, partsOf(Pattern), Needed, std::move(H)});
}

void Api::addOpen(const char *Method, std::string_view Pattern, Handler H) {
  Routes_.push_back({Method, partsOf(Pattern), std::nullopt, std::move(H)});
}

void Api::serve(http::Request R, http::Responder To) {
  std::vector<std::string> Parts = partsOf(R.Path_.toStdString());
  ApiCall Call{std::move(R), To, {}, std::move(Parts)};
  const auto It = std::ranges::find_if(Routes_, [&](const Route &One) {
    return One.Method_ == Call.Request_.Method_ &&
           matches(One.Pattern_, Call.Parts_);
  });
  if (It == Routes_.end()) {
    const NoSuchResource E(Call.Request_.Path_.toStdString());
    To.respond(errorResponse(NotFound, E));
    return;
  }
  try {
    call(*It, std::move(Call));
  } catch (const Error &E) {
    const int Status = statusOf(E);
    if (Status == Unauthorized || Status == Forbidden)
      Metrics_.add("heathercross_access_refused_total",
                   "Calls refused for want of a known token or a right.");
    To.respond(errorResponse(Status, E));
  }
}

void Api::call(const Route &R, ApiCall Call) {
  if (R.Needed_) {
    const std::string Header =
        Call.Request_.header("Authorization").toStdString();
    Call.Caller_ = Access_.require(Header, *R.Needed_);
  }
  std::vector<std::string> Open;
  for (std::size_t I = 0; I != R.Pattern_.size(); ++I)
    if (R.Pattern_[I] == "*")
      Open.push_back(std::move(Call.Parts_[I]));
  Call.Parts_ = std::move(Open);
  R.Handler_(std::move(Call));
}

} // namespace heathercross::daemon
