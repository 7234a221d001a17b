// Ports for the servers that a test starts.
#pragma once

#include <QTcpServer>
#include <QUdpSocket>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>

namespace heathercross::test {

/// A range of ports that belongs to this process while it lives. The ranges lie
/// below the ports that the system gives to outgoing connections.
class PortRange {
public:
  PortRange() {
    constexpr int Ranges = 100;
    const int Start = ::getpid() % Ranges;
    for (int I = 0; I < Ranges && Lock_ < 0; ++I) {
      Base_ = FirstPort + (Start + I) % Ranges * Size;
      Lock_ = lock(static_cast<std::uint16_t>(Base_));
    }
  }
  ~PortRange() {
    if (Lock_ >= 0)
      ::close(Lock_);
  }
  PortRange(const PortRange &) = delete;
  PortRange &operator=(const PortRange &) = delete;

  /// Returns a port that is free for TCP and UDP, and the same one again only
  /// after all others of the range; 0 if there is none.
  std::uint16_t next() {
    for (int I = 1; I < Size && Lock_ >= 0; ++I) {
      const auto Port = static_cast<std::uint16_t>(Base_ + 1 + Next_);
      Next_ = (Next_ + 1) % (Size - 1);
      QTcpServer Tcp;
      QUdpSocket Udp;
      if (Tcp.listen(QHostAddress::LocalHost, Port) &&
          Udp.bind(QHostAddress::LocalHost, Port))
        return Port;
    }
    return 0;
  }

private:
  static constexpr int FirstPort = 10'000;
  static constexpr int Size = 100;

  /// Listens on the first port of a range, which marks it as taken. Returns the
  /// socket, or -1 if another process has the range. Programs that the test
  /// starts don't inherit it.
  static int lock(std::uint16_t Port) {
    const int Socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in Address = {};
    Address.sin_family = AF_INET;
    Address.sin_port = htons(Port);
    Address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    if (::bind(Socket, reinterpret_cast<const sockaddr *>(&Address),
               sizeof(Address)) == 0 &&
        ::listen(Socket, 1) == 0)
      return Socket;
    ::close(Socket);
    return -1;
  }

  int Base_ = 0;
  int Lock_ = -1;
  int Next_ = 0;
};

/// Returns a free port that no other test process gets, for TCP and UDP.
inline std::uint16_t freePort() {
  static PortRange Range;
  return Range.next();
}

} // namespace heathercross::test
