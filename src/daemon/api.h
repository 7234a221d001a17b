// The HTTP interface of an entry instance: paths, rights and answers.
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

/// No resource under this path and method.
class NoSuchResource : public Error {
public:
  explicit NoSuchResource(const std::string &Path)
      : Error("no resource at " + Path) {}
  const char *code() const noexcept override { return "no-such-resource"; }
};

/// This entry has no view of the fleet yet.
class NotReady : public Error {
public:
  NotReady() : Error("this entry has no view of the fleet yet") {}
  const char *code() const noexcept override { return "not-ready"; }
};

/// A call whose path matched, with the parts that the pattern left open.
struct ApiCall {
  http::Request Request_;
  http::Responder Responder_;
  access::Principal Caller_;
  std::vector<std::string> Parts_;
};

/// Finds the handler for a call, after checking that its caller may make it.
/// A pattern is a path in which "*" stands for one part.
class Api {
public:
  using Handler = std::function<void(ApiCall)>;

  Api(const access::Access &Access, process::Metrics &M)
      : Access_(Access), Metrics_(M) {}

  /// A path that needs a right.
  void add(const char *Method, std::string_view Pattern, access::Right Needed,
           Handler H);
  /// A path that anyone may get.
  void addOpen(const char *Method, std::string_view Pattern, Handler H);
  void serve(http::Request R, http::Responder To);

private:
  struct Route {
    QByteArray Method_;
    std::vector<std::string> Pattern_;
    std::optional<access::Right> Needed_;
    Handler Handler_;
  };

  void call(const Route &R, ApiCall Call);

  const access::Access &Access_;
  process::Metrics &Metrics_;
  std::vector<Route> Routes_;
};

/// The status of an answer that reports a failure.
int statusOf(const Error &E);

} // namespace heathercross::daemon
