// An IP address with a port, and its text form.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heathercross {

/// The IP address and port at which a process listens or can be reached.
struct Endpoint {
  /// An IPv4 or IPv6 address, without brackets.
  std::string Host_;
  std::uint16_t Port_ = 0;

  bool isV6() const { return Host_.find(':') != std::string::npos; }
  /// Returns the form used in settings: "IP:PORT", or "[IP]:PORT" for IPv6.
  std::string str() const;
  bool operator==(const Endpoint &) const = default;
};

/// Parses "IP:PORT" or "[IP]:PORT" with a port from 1 to 65535. Returns nullopt
/// for anything else; host names aren't resolved.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace heathercross
