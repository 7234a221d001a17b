// An IP address and a port.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace heathercross::settings {

/// Where a process listens or is reached.
struct Endpoint {
  /// An IPv4 or IPv6 address, without brackets.
  std::string Host_;
  std::uint16_t Port_ = 0;

  /// The form used in settings: "IP:PORT", or "[IP]:PORT" for IPv6.
  std::string str() const;
  bool operator==(const Endpoint &) const = default;
};

/// The endpoint that a text stands for; nothing unless it is "IP:PORT" or
/// "[IP]:PORT" with a port from 1 to 65535. Host names aren't resolved.
std::optional<Endpoint> parseEndpoint(std::string_view Text);

} // namespace heathercross::settings
