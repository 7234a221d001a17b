// Asynchronous HTTP calls of the stand-ins, each on a new connection.
#pragma once

#include "standin/common/http.h"

#include <functional>
#include <string>

namespace heathercross::standin {

/// The address of a server.
struct Endpoint {
  std::string Host_;
  std::uint16_t Port_ = 0;
};

/// Parses "IP:PORT"; the port is 0 if the text has another form.
Endpoint parseEndpoint(const std::string &Text);

/// Receives the response; its status is 0 if there was no complete response.
using HttpCallback = std::function<void(const HttpResponse &)>;

/// Sends one request on a new connection. Done is called exactly once, also
/// when the call fails or takes longer than TimeoutMs.
void call(const Endpoint &To, const QByteArray &Method, const QByteArray &Path,
          const QByteArray &Body, const HttpHeaders &Headers, int TimeoutMs,
          HttpCallback Done);

} // namespace heathercross::standin
