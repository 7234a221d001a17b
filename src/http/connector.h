// Addresses of HTTP calls, and non-blocking connections to them.
#pragma once

#include <optional>
#include <string>

namespace heathercross::http {

/// Where a call goes.
struct Target {
  /// "IP:PORT"; an IPv6 address is in brackets.
  std::string Host_;
  /// Path and query, beginning with '/'.
  std::string Path_;
};

/// Parses an absolute http URL whose host is an IP address. Returns nothing for
/// any other text.
std::optional<Target> parseTarget(const std::string &Url);

/// Begins to connect to "IP:PORT". Returns the descriptor of a non-blocking
/// socket, or -1.
int connectTo(const std::string &Host);

/// Returns and clears the pending error of a socket; 0 for none.
int socketError(int Socket);

} // namespace heathercross::http
