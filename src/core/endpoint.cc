// Parses and formats endpoints.
#include "core/endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace heathercross {

namespace {

bool isIpAddress(int Family, const std::string &Host) {
  in6_addr Parsed{};
  // inet_pton() reads only up to the first zero byte.
  return Host.find('\0') == std::string::npos &&
         inet_pton(Family, Host.c_str(), &Parsed) == 1;
}

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Stop, Code] = std::from_chars(Text.data(), End, Port);
  if (Code != std::errc() || Stop != End || Port == 0)
    return std::nullopt;
  return Port;
}

} // namespace

std::string Endpoint::str() const {
  return (isV6() ? "[" + Host_ + "]" : Host_) + ":" + std::to_string(Port_);
}

std::optional<Endpoint> parseEndpoint(std::string_view Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const auto Port = parsePort(Text.substr(Colon + 1));
  if (!Port)
    return std::nullopt;
  std::string Host(Text.substr(0, Colon));
  const bool V6 = Host.starts_with('[') && Host.ends_with(']');
  if (V6)
    Host = Host.substr(1, Host.size() - 2);
  if (!isIpAddress(V6 ? AF_INET6 : AF_INET, Host))
    return std::nullopt;
  return Endpoint{Host, *Port};
}

} // namespace heathercross
