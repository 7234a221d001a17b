// An HTTP client on libcurl's multi interface in Qt's event loop.
#pragma once

#include "heathercross/error.h"
#include "heathercross/units.h"

#include <QByteArray>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathercross::http {

/// libcurl can't be set up.
class ClientSetupFailed : public Error {
public:
  ClientSetupFailed() : Error("libcurl can't be set up") {}
  const char *code() const noexcept override { return "client-setup-failed"; }
};

/// A request to send.
struct Call {
  std::string Method_ = "GET";
  /// The whole URL, with an IP number as its host.
  std::string Url_;
  /// Header lines, "Name: value".
  std::vector<std::string> Headers_;
  QByteArray Body_;
  Millis Timeout_{1000};
  /// Use a connection that was never used before, and close it after the
  /// answer. libcurl repeats a request by itself on a connection that it kept
  /// alive; a fresh one is never repeated.
  bool Fresh_ = false;
  /// A longer answer ends the call as lost.
  Bytes MaxAnswer_ = 16_MiB;
};

/// How far a call got.
enum class Delivery : std::uint8_t {
  /// An answer came, whole as far as HTTP can tell.
  Answered,
  /// No connection was made: nothing of the request left.
  NeverSent,
  /// The request may have arrived; its answer didn't, or not whole.
  Lost,
};

struct Reply {
  Delivery Delivery_ = Delivery::Lost;
  int Status_ = 0;
  QByteArray Body_;
  std::vector<std::pair<std::string, std::string>> Headers_;
  Micros Took_{0};

  /// The value of a header, or an empty text; names match without case.
  std::string_view header(std::string_view Name) const;
};

/// Sends requests without blocking. Answers come through the event loop.
class Client {
public:
  using Done = std::function<void(const Reply &)>;

  /// MaxPerHost bounds the connections to one address, beyond which calls wait
  /// in line; 0 is no bound. Throws ClientSetupFailed.
  explicit Client(long MaxPerHost = 0);
  ~Client();
  Client(const Client &) = delete;
  Client &operator=(const Client &) = delete;

  /// Starts a call; Done runs once, never from inside send.
  void send(Call C, Done OnDone);
  std::size_t inFlight() const;
  /// Bytes sent and received so far, with headers.
  std::uint64_t bytes() const;

private:
  class Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace heathercross::http
