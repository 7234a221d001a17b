// An asynchronous HTTP client on Qt's event loop.
#pragma once

#include "heathercross/error.h"
#include "heathercross/units.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathercross::http {

/// Thrown when the client can't watch its sockets.
class ClientSetupFailed : public Error {
public:
  ClientSetupFailed() : Error("the HTTP client can't be set up") {}
  const char *code() const noexcept override { return "client-setup-failed"; }
};

/// An outgoing request.
struct Call {
  std::string Method_ = "GET";
  /// The absolute URL; its host is an IP address.
  std::string Url_;
  /// Header lines in the form "Name: value".
  std::vector<std::string> Headers_;
  QByteArray Body_;
  Millis Timeout_{1000};
  /// Sends the request on a new connection and closes it after the response. A
  /// request may be sent again if a reused connection turns out to be closed,
  /// but never on a new one.
  bool NewConnection_ = false;
  /// A response with a longer body fails the call as Delivery::Lost.
  Bytes MaxResponseBody_ = 16_MiB;
};

/// How far a call got before it ended.
enum class Delivery : std::uint8_t {
  /// A response arrived, complete as far as HTTP can tell.
  Answered,
  /// No connection was established, so no byte of the request was sent.
  NeverSent,
  /// The request may have been received, but no complete response arrived.
  Lost,
};

/// The outcome of a call; status, body and headers are those of the response.
struct Reply {
  Delivery Delivery_ = Delivery::Lost;
  int Status_ = 0;
  QByteArray Body_;
  std::vector<std::pair<std::string, std::string>> Headers_;
  Micros Elapsed_{0};
  /// How often the request was sent, wholly or in part. It is sent a second
  /// time if a reused connection turns out to be closed.
  std::uint32_t Sent_ = 0;

  /// Returns the value of a header, or an empty string without one. Names are
  /// compared without regard to case.
  std::string_view header(std::string_view Name) const;
};

/// Sends requests without blocking; replies are delivered by the event loop.
/// Connections are kept and reused.
class Client {
public:
  using Done = std::function<void(const Reply &)>;

  /// MaxPerHost limits the connections to one address; calls beyond it are
  /// queued, and 0 means no limit. Throws ClientSetupFailed.
  explicit Client(long MaxPerHost = 0);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Starts a call. OnDone is called exactly once, never from within send().
  void send(Call C, Done OnDone);
  /// The number of calls that haven't ended.
  std::size_t inFlight() const;
  /// Bytes sent and received so far, including headers.
  std::uint64_t transferredBytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace heathercross::http
