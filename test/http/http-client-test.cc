// Tests of the HTTP client against a server that closes connections without a
// response: a request that may have arrived must be reported as lost, never as
// unsent, because the caller would send it again.
#include "http/http-client.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

using namespace heathercross;
using heathercross::test::section;
using heathercross::test::waitFor;

namespace {

/// Answers the first Answered_ requests. Closes the connection after reading
/// each later one, and optionally stops accepting connections at that point.
class ClosingServer {
public:
  explicit ClosingServer(int Answered, bool StopsAccepting = false)
      : Answered_(Answered), StopsAccepting_(StopsAccepting) {
    Server_.listen(QHostAddress::LocalHost);
    QObject::connect(&Server_, &QTcpServer::newConnection, &Server_,
                     [this] { accept(); });
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server_.serverPort()) + "/";
  }
  int received() const { return Received_; }

private:
  void accept() {
    while (QTcpSocket *Socket = Server_.nextPendingConnection())
      QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                       [this, Socket] { read(Socket); });
  }

  void read(QTcpSocket *Socket) {
    if (!Socket->readAll().endsWith("body"))
      return;
    if (++Received_ <= Answered_) {
      Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return;
    }
    if (StopsAccepting_)
      Server_.close();
    Socket->abort();
  }

  QTcpServer Server_;
  int Answered_;
  bool StopsAccepting_;
  int Received_ = 0;
};

http::Reply post(http::Client &Client, const std::string &Url,
                 bool NewConnection) {
  http::Call C;
  C.Method_ = "POST";
  C.Url_ = Url;
  C.Body_ = "body";
  C.Timeout_ = Millis(3000);
  C.NewConnection_ = NewConnection;
  std::optional<http::Reply> Result;
  Client.send(C, [&](const http::Reply &R) { Result = R; });
  waitFor([&] { return Result.has_value(); });
  return *Result;
}

} // namespace

HEATHERCROSS_STORY(ClientDelivery,
                   "a possibly received request is never reported as unsent") {
  test::startQt();
  section("a new connection transmits a request only once", [] {
    http::Client Client;
    ClosingServer Server(1);
    CPPUNIT_ASSERT(post(Client, Server.url(), false).Delivery_ ==
                   http::Delivery::Answered);
    const auto R = post(Client, Server.url(), true);
    CPPUNIT_ASSERT(R.Delivery_ == http::Delivery::Lost);
    CPPUNIT_ASSERT_EQUAL(2, Server.received());
    CPPUNIT_ASSERT_EQUAL(1U, R.Sent_);
  });
  section("a request that libcurl sends again counts as sent twice", [] {
    http::Client Client;
    ClosingServer Server(1);
    post(Client, Server.url(), false);
    const auto R = post(Client, Server.url(), false);
    CPPUNIT_ASSERT_EQUAL(3, Server.received());
    CPPUNIT_ASSERT_EQUAL(2U, R.Sent_);
  });
  section("what was transmitted on a reused connection is reported as lost, "
          "even when libcurl then fails to reconnect",
          [] {
            http::Client Client;
            ClosingServer Server(1, true);
            post(Client, Server.url(), false);
            const auto R = post(Client, Server.url(), false);
            CPPUNIT_ASSERT_EQUAL(2, Server.received());
            CPPUNIT_ASSERT(R.Delivery_ == http::Delivery::Lost);
          });
  section("a refused connection is reported as unsent", [] {
    http::Client Client;
    CPPUNIT_ASSERT(post(Client, "http://127.0.0.1:1/", false).Delivery_ ==
                   http::Delivery::NeverSent);
  });
}

// Guards against a call to an invalid address that throws, never ends or is
// reported as possibly received.
HEATHERCROSS_STORY(OddUrls, "a call to an invalid address is never sent") {
  test::startQt();
  http::Client Client;
  for (const char *Odd :
       {"", ":80", "127.0.0.1:99999", "127.0.0.1:-1", "127.0.0.1:8x",
        "127.0.0.1:1@", "127.0.0.1 :80", "127.0.0.1:80\n", "127.0.0.1\r\nX: y",
        "[::1", "[::1]x:80", "\xff:80"})
    CPPUNIT_ASSERT_MESSAGE(
        Odd,
        post(Client, std::string("http://") + Odd + "/", false).Delivery_ ==
            http::Delivery::NeverSent);
  CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Client.inFlight());
}
