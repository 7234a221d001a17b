// The HTTP interface of an entry instance: routing, authorization and errors.
#include "daemon/api.h"

#include "daemon/error-response.h"
#include "view/ticket.h"

#include <glog/logging.h>

#include <QUrl>

#include <algorithm>
#include <ranges>

namespace heathercross::daemon {

namespace {

std::vector<std::string> splitPath(std::string_view Path) {
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
      Pattern, Parts,
      [](const std::string &Expected, const std::string &Actual) {
        return Expected == "*" || Expected == Actual;
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
              access::Right RequiredRight, Handler H) {
  Routes_.push_back({Method, splitPath(Pattern), RequiredRight, std::move(H)});
}

void Api::addOpen(const char *Method, std::string_view Pattern, Handler H) {
  Routes_.push_back({Method, splitPath(Pattern), std::nullopt, std::move(H)});
}

void Api::serve(http::Request R, http::Responder Responder) {
  std::vector<std::string> Parts = splitPath(R.Path_.toStdString());
  ApiCall Call{std::move(R), Responder, {}, std::move(Parts)};
  const auto It = std::ranges::find_if(Routes_, [&](const Route &Candidate) {
    return Candidate.Method_ == Call.Request_.Method_ &&
           matches(Candidate.Pattern_, Call.PathParts_);
  });
  if (It == Routes_.end()) {
    const NoSuchResource E(Call.Request_.Path_.toStdString());
    Responder.respond(errorResponse(NotFound, E));
    return;
  }
  try {
    invoke(*It, std::move(Call));
  } catch (const Error &E) {
    const int Status = statusOf(E);
    if (Status == Unauthorized || Status == Forbidden)
      Metrics_.add("heathercross_access_refused_total",
                   "Calls refused for want of a known token or a right.");
    Responder.respond(errorResponse(Status, E));
  }
}

void Api::invoke(const Route &R, ApiCall Call) {
  if (R.RequiredRight_) {
    const std::string Header =
        Call.Request_.header("Authorization").toStdString();
    Call.Caller_ = Access_.authorize(Header, *R.RequiredRight_);
  }
  std::vector<std::string> Wildcards;
  for (std::size_t I = 0; I != R.Pattern_.size(); ++I)
    if (R.Pattern_[I] == "*")
      Wildcards.push_back(std::move(Call.PathParts_[I]));
  Call.PathParts_ = std::move(Wildcards);
  R.Handler_(std::move(Call));
}

} // namespace heathercross::daemon
