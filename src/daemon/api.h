// The HTTP interface of an entry instance: routing, authorization and errors.
#pragma once

#include "access/access.h"
#include "heathercross/kernel.h"
#include "http/http-server.h"
#include "process/metrics.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::daemon {

/// No resource exists for this path and method.
class NoSuchResource : public Error {
public:
  explicit NoSuchResource(const std::string &Path)
      : Error("no resource at " + Path) {}
  const char *code() const noexcept override { return "no-such-resource"; }
};

/// This entry has not read the view and the instance rows yet.
class NotReady : public Error {
public:
  NotReady() : Error("this entry has no view of the fleet yet") {}
  const char *code() const noexcept override { return "not-ready"; }
};

/// A call that matched a route, with the path parts that matched "*".
struct ApiCall {
  http::Request Request_;
  http::Responder Responder_;
  access::Principal Caller_;
  std::vector<std::string> PathParts_;
};

/// Routes a call to its handler after checking that the caller has the required
/// right. A pattern is a path in which "*" matches one part.
class Api {
public:
  using Handler = std::function<void(ApiCall)>;

  Api(const access::Authenticator &Access, process::Metrics &M)
      : Access_(Access), Metrics_(M) {}

  /// Adds a route whose callers need a right.
  void add(const char *Method, std::string_view Pattern,
           access::Right RequiredRight, Handler H);
  /// Adds a route that needs no authentication.
  void addOpen(const char *Method, std::string_view Pattern, Handler H);
  void serve(http::Request R, http::Responder Responder);

private:
  struct Route {
    QByteArray Method_;
    std::vector<std::string> Pattern_;
    std::optional<access::Right> RequiredRight_;
    Handler Handler_;
  };

  void invoke(const Route &R, ApiCall Call);

  const access::Authenticator &Access_;
  process::Metrics &Metrics_;
  std::vector<Route> Routes_;
};

/// Returns the HTTP status for an error.
int statusOf(const Error &E);

} // namespace heathercross::daemon
