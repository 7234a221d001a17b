// Addresses of HTTP calls, and non-blocking connections to them.
#include "http/connector.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <cerrno>
#include <charconv>
#include <cstdint>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string_view>
#include <sys/socket.h>
#include <unistd.h>

namespace heathercross::http {

namespace {

constexpr std::string_view Scheme = "http://";
constexpr std::uint32_t MaxPort = 65'535;

/// A socket address of either family.
struct SocketAddress {
  sockaddr_storage Storage_{};
  socklen_t Length_ = 0;
};

std::optional<std::uint16_t> parsePort(std::string_view Text) {
  std::uint32_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Port);
  if (Text.empty() || Result.ec != std::errc() || Result.ptr != End ||
      Port > MaxPort)
    return std::nullopt;
  return static_cast<std::uint16_t>(Port);
}

std::optional<SocketAddress> parseAddress(const std::string &Host) {
  const std::size_t Colon = Host.rfind(':');
  if (Colon == std::string::npos)
    return std::nullopt;
  const auto Port = parsePort(std::string_view(Host).substr(Colon + 1));
  if (!Port)
    return std::nullopt;
  SocketAddress A;
  const std::string Ip = Host.substr(0, Colon);
  if (Ip.starts_with('[') && Ip.ends_with(']')) {
    auto &V6 = reinterpret_cast<sockaddr_in6 &>(A.Storage_);
    V6.sin6_family = AF_INET6;
    V6.sin6_port = htons(*Port);
    A.Length_ = sizeof(V6);
    const std::string Bare = Ip.substr(1, Ip.size() - 2);
    return inet_pton(AF_INET6, Bare.c_str(), &V6.sin6_addr) == 1
               ? std::optional(A)
               : std::nullopt;
  }
  auto &V4 = reinterpret_cast<sockaddr_in &>(A.Storage_);
  V4.sin_family = AF_INET;
  V4.sin_port = htons(*Port);
  A.Length_ = sizeof(V4);
  return inet_pton(AF_INET, Ip.c_str(), &V4.sin_addr) == 1 ? std::optional(A)
                                                           : std::nullopt;
}

} // namespace

std::optional<Target> parseTarget(const std::string &Url) {
  // A control character or a space would end the request line early.
  const bool Printable = std::ranges::all_of(
      Url, [](unsigned char C) { return C > ' ' && C != 0x7f; });
  if (!Printable || !Url.starts_with(Scheme))
    return std::nullopt;
  const std::size_t HostEnd =
      std::min(Url.find('/', Scheme.size()), Url.size());
  Target T{Url.substr(Scheme.size(), HostEnd - Scheme.size()),
           Url.substr(HostEnd)};
  if (!parseAddress(T.Host_))
    return std::nullopt;
  if (T.Path_.empty())
    T.Path_ += '/';
  return T;
}

int connectTo(const std::string &Host) {
  const auto Address = parseAddress(Host);
  if (!Address)
    return -1;
  const auto *To = reinterpret_cast<const sockaddr *>(&Address->Storage_);
  const int Socket =
      socket(To->sa_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (Socket < 0)
    return -1;
  const int NoDelay = 1;
  setsockopt(Socket, IPPROTO_TCP, TCP_NODELAY, &NoDelay, sizeof(NoDelay));
  if (connect(Socket, To, Address->Length_) == 0 || errno == EINPROGRESS)
    return Socket;
  close(Socket);
  return -1;
}

int socketError(int Socket) {
  int Error = 0;
  socklen_t Length = sizeof(Error);
  if (getsockopt(Socket, SOL_SOCKET, SO_ERROR, &Error, &Length) != 0)
    return errno;
  return Error;
}

} // namespace heathercross::http
