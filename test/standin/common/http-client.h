// One-shot HTTP calls of the stand-ins, on the event loop.
#pragma once

#include "standin/common/http.h"

#include <functional>
#include <string>

namespace heathercross::standin {

/// The address of a server on the loopback interface or elsewhere.
struct Endpoint {
  std::string Host_;
  std::uint16_t Port_ = 0;
};

/// Reads "IP:PORT"; the port is 0 when the text has another form.
Endpoint parseEndpoint(const std::string &Text);

/// What a call came to; status 0 when there was no whole answer.
using HttpDone = std::function<void(const HttpResponse &)>;

/// Sends one request on a connection of its own. Done is called once, also
/// when the call fails or takes longer than TimeoutMs.
void call(const Endpoint &To, const QByteArray &Method, const QByteArray &Path,
          const QByteArray &Body, const HttpHeaders &Headers, int TimeoutMs,
          HttpDone Done);

} // namespace heathercross::standin
