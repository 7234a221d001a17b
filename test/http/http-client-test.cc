// Tests of the HTTP client against a server that closes connections without a
// response: a request that may have arrived must be reported as lost, never as
// unsent, because the caller would send it again.
#include "http/http-client.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <optional>
#include <utility>
#include <vector>

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
  section("a request that is sent again counts as sent twice", [] {
    http::Client Client;
    ClosingServer Server(1);
    post(Client, Server.url(), false);
    const auto R = post(Client, Server.url(), false);
    CPPUNIT_ASSERT_EQUAL(3, Server.received());
    CPPUNIT_ASSERT_EQUAL(2U, R.Sent_);
  });
  section("what was transmitted on a reused connection is reported as lost, "
          "even when the client then fails to reconnect",
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

namespace {

/// Reads requests and answers none until answer() is called.
class SilentServer {
public:
  SilentServer() {
    Server_.listen(QHostAddress::LocalHost);
    QObject::connect(&Server_, &QTcpServer::newConnection, &Server_, [this] {
      while (QTcpSocket *Socket = Server_.nextPendingConnection()) {
        ++Accepted_;
        QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                         [this, Socket] { read(Socket); });
      }
    });
  }

  std::string url() const {
    return "http://127.0.0.1:" + std::to_string(Server_.serverPort()) + "/";
  }
  std::size_t received() const { return Received_; }
  int accepted() const { return Accepted_; }
  /// Answers all requests, and from now on each at once.
  void answer() {
    Answers_ = true;
    for (QTcpSocket *Socket : std::exchange(Unanswered_, {}))
      respond(Socket);
  }
  void stopAnswering() { Answers_ = false; }

private:
  static void respond(QTcpSocket *Socket) {
    Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  }
  void read(QTcpSocket *Socket) {
    if (!Socket->readAll().endsWith("body"))
      return;
    ++Received_;
    if (Answers_)
      return respond(Socket);
    Unanswered_.push_back(Socket);
  }

  QTcpServer Server_;
  std::vector<QTcpSocket *> Unanswered_;
  std::size_t Received_ = 0;
  int Accepted_ = 0;
  bool Answers_ = false;
};

http::Call bodyCall(const std::string &Url, Millis Timeout) {
  http::Call C;
  C.Method_ = "POST";
  C.Url_ = Url;
  C.Body_ = "body";
  C.Timeout_ = Timeout;
  return C;
}

} // namespace

HEATHERCROSS_STORY(ClientLimits,
                   "calls beyond the connections of a host wait") {
  test::startQt();
  http::Client Client(2);
  SilentServer Server;
  std::vector<http::Reply> Replies;
  const auto Send = [&](Millis Timeout) {
    Client.send(bodyCall(Server.url(), Timeout),
                [&](const http::Reply &R) { Replies.push_back(R); });
  };
  section("as many calls as connections are sent", [&] {
    for (int I = 0; I < 3; ++I)
      Send(Millis(5000));
    Send(Millis(100));
    waitFor([&] { return Server.received() == 2; });
  });
  section("one that waits until its timeout was never sent", [&] {
    waitFor([&] { return Replies.size() == 1; });
    CPPUNIT_ASSERT(Replies[0].Delivery_ == http::Delivery::NeverSent);
    CPPUNIT_ASSERT_EQUAL(std::size_t{2}, Server.received());
  });
  section("the others follow on the same connections", [&] {
    Server.answer();
    waitFor([&] { return Replies.size() == 4; });
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Server.received());
    CPPUNIT_ASSERT_EQUAL(2, Server.accepted());
    CPPUNIT_ASSERT_EQUAL(std::size_t{0}, Client.inFlight());
  });
}

// Guards against calls that fail one after the other on connections that went
// silent together.
HEATHERCROSS_STORY(ClientTimeouts,
                   "after a timeout idle connections are closed") {
  test::startQt();
  http::Client Client;
  SilentServer Server;
  std::vector<http::Reply> Replies;
  const auto Send = [&](Millis Timeout) {
    Client.send(bodyCall(Server.url(), Timeout),
                [&](const http::Reply &R) { Replies.push_back(R); });
  };
  for (int I = 0; I < 3; ++I)
    Send(Millis(5000));
  waitFor([&] { return Server.received() == 3; });
  Server.answer();
  waitFor([&] { return Replies.size() == 3; });
  section("a request without an answer is lost", [&] {
    Server.stopAnswering();
    Send(Millis(100));
    waitFor([&] { return Replies.size() == 4; });
    CPPUNIT_ASSERT(Replies[3].Delivery_ == http::Delivery::Lost);
    CPPUNIT_ASSERT_EQUAL(1U, Replies[3].Sent_);
  });
  section("the next one opens a connection", [&] {
    Server.answer();
    Send(Millis(5000));
    waitFor([&] { return Replies.size() == 5; });
    CPPUNIT_ASSERT(Replies[4].Delivery_ == http::Delivery::Answered);
    CPPUNIT_ASSERT_EQUAL(4, Server.accepted());
  });
}
