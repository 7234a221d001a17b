// Tests of the HTTP client against a server that closes without an answer.
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

/// Answers the first Answered_ requests and closes after reading each later
/// one; it may also stop to accept connections then.
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
    while (QTcpSocket *S = Server_.nextPendingConnection())
      QObject::connect(S, &QTcpSocket::readyRead, S, [this, S] { read(S); });
  }

  void read(QTcpSocket *S) {
    if (!S->readAll().endsWith("body"))
      return;
    if (++Received_ <= Answered_) {
      S->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
      return;
    }
    if (StopsAccepting_)
      Server_.close();
    S->abort();
  }

  QTcpServer Server_;
  int Answered_;
  bool StopsAccepting_;
  int Received_ = 0;
};

http::Reply post(http::Client &Client, const std::string &Url, bool Fresh) {
  http::Call C;
  C.Method_ = "POST";
  C.Url_ = Url;
  C.Body_ = "body";
  C.Timeout_ = Millis(3000);
  C.Fresh_ = Fresh;
  std::optional<http::Reply> Got;
  Client.send(C, [&](const http::Reply &R) { Got = R; });
  waitFor([&] { return Got.has_value(); });
  return *Got;
}

} // namespace

HEATHERCROSS_STORY(ClientStory, "a lost request is never called unsent") {
  test::startQt();
  section("a fresh connection carries a request once", [] {
    http::Client Client;
    ClosingServer Server(1);
    CPPUNIT_ASSERT(post(Client, Server.url(), false).Delivery_ ==
                   http::Delivery::Answered);
    const auto R = post(Client, Server.url(), true);
    CPPUNIT_ASSERT(R.Delivery_ == http::Delivery::Lost);
    CPPUNIT_ASSERT_EQUAL(2, Server.received());
  });
  section("what left on a kept-alive connection stays lost, even when the "
          "library then fails to connect anew",
          [] {
            http::Client Client;
            ClosingServer Server(1, true);
            post(Client, Server.url(), false);
            const auto R = post(Client, Server.url(), false);
            CPPUNIT_ASSERT_EQUAL(2, Server.received());
            CPPUNIT_ASSERT(R.Delivery_ == http::Delivery::Lost);
          });
  section("a refused connection is unsent", [] {
    http::Client Client;
    CPPUNIT_ASSERT(post(Client, "http://127.0.0.1:1/", false).Delivery_ ==
                   http::Delivery::NeverSent);
  });
}
