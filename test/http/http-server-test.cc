// Tests of the HTTP server: resource limits, pipelined requests, callers that
// disconnect, and what a stop would cut off.
#include "http/http-server.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QTcpSocket>

using namespace heathercross;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::waitFor;

namespace {

/// A server that leaves every request unanswered until the test responds.
struct DeferringServer {
  std::vector<http::Responder> Responders_;
  std::vector<QByteArray> Bodies_;
  http::Server HttpServer_;

  explicit DeferringServer(http::ServerLimits Limits = {})
      : HttpServer_(Limits,
                    [this](http::Request &&R, http::Responder &&Respond) {
                      Bodies_.push_back(R.Body_);
                      Responders_.push_back(Respond);
                    }) {
    HttpServer_.listen(QHostAddress::LocalHost, 0);
  }
};

std::unique_ptr<QTcpSocket> connectTo(const DeferringServer &Server) {
  auto Socket = std::make_unique<QTcpSocket>();
  Socket->connectToHost(QHostAddress::LocalHost, Server.HttpServer_.port());
  waitFor([&] { return Socket->state() == QAbstractSocket::ConnectedState; });
  return Socket;
}

QByteArray postRequest(const QByteArray &Body) {
  return "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: " +
         QByteArray::number(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

HEATHERCROSS_STORY(ServerDisconnectedCaller,
                   "a disconnected caller is not answered") {
  test::startQt();
  DeferringServer Server;
  auto Socket = connectTo(Server);
  Socket->write(postRequest("a"));
  waitFor([&] { return Server.Responders_.size() == 1; });
  bool Disconnected = false;
  Server.Responders_[0].onDisconnect([&] { Disconnected = true; });
  Socket->abort();
  waitFor([&] { return Disconnected; });
  section("the late answer is dropped", [&] {
    CPPUNIT_ASSERT(!Server.Responders_[0].respond({}));
    runFor(20);
  });
}

HEATHERCROSS_STORY(ServerPipelinedRequests,
                   "a connection carries one request at a time") {
  test::startQt();
  DeferringServer Server;
  auto Socket = connectTo(Server);
  Socket->write(postRequest("first") + postRequest("second"));
  waitFor([&] { return !Server.Responders_.empty(); });
  runFor(50);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Server.Responders_.size());
  http::Response R;
  R.Body_ = "answer";
  Server.Responders_[0].respond(R);
  section("the connection is closed after the answer", [&] {
    waitFor(
        [&] { return Socket->state() == QAbstractSocket::UnconnectedState; });
    const QByteArray Received = Socket->readAll();
    CPPUNIT_ASSERT(Received.endsWith("answer"));
    CPPUNIT_ASSERT_EQUAL(qsizetype{1}, Received.count("HTTP/1.1"));
  });
}

HEATHERCROSS_STORY(ServerResourceLimits,
                   "a caller can't use unbounded resources") {
  test::startQt();
  http::ServerLimits Limits;
  Limits.MaxBody_ = {1000};
  Limits.MaxConnections_ = 2;
  Limits.ArrivalTimeout_ = Millis(300);
  DeferringServer Server(Limits);
  section("a body with an excessive declared length is refused at its head",
          [&] {
            auto Socket = connectTo(Server);
            Socket->write(
                "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 5000\r\n\r\n");
            waitFor([&] { return Socket->readAll().contains("413"); });
          });
  section("a request that doesn't arrive in time is cut short", [&] {
    auto Socket = connectTo(Server);
    Socket->write("POST /x HTTP/1.1\r\nHo");
    waitFor(
        [&] { return Socket->state() == QAbstractSocket::UnconnectedState; });
  });
  section("connections over the maximum are refused", [&] {
    waitFor([&] { return Server.HttpServer_.connections() == 0; });
    auto First = connectTo(Server);
    auto Second = connectTo(Server);
    waitFor([&] { return Server.HttpServer_.connections() == 2; });
    QTcpSocket Third;
    Third.connectToHost(QHostAddress::LocalHost, Server.HttpServer_.port());
    waitFor([&] { return Third.readAll().contains("503"); });
  });
  CPPUNIT_ASSERT(Server.Responders_.empty());
}

// Guards against a process that ends while a response is in the socket's write
// buffer: the caller's connection would end without an answer.
HEATHERCROSS_STORY(ServerOpenRequests,
                   "a request is open until its response has left") {
  test::startQt();
  DeferringServer Server;
  auto Socket = connectTo(Server);
  section("an idle connection has none", [&] {
    runFor(20);
    CPPUNIT_ASSERT(!Server.HttpServer_.hasOpenRequests());
  });
  section("a request that is still arriving is open", [&] {
    Socket->write(postRequest("body").chopped(1));
    waitFor([&] { return Server.HttpServer_.hasOpenRequests(); });
    Socket->write("y");
    waitFor([&] { return Server.Responders_.size() == 1; });
    CPPUNIT_ASSERT(Server.HttpServer_.hasOpenRequests());
  });
  section("an answered one is open until the event loop has sent it", [&] {
    CPPUNIT_ASSERT(Server.Responders_[0].respond({}));
    CPPUNIT_ASSERT(Server.HttpServer_.hasOpenRequests());
    waitFor([&] { return !Server.HttpServer_.hasOpenRequests(); });
    waitFor([&] { return Socket->bytesAvailable() > 0; });
  });
}
