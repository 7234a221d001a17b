// Tests of the machine API's client against a server that closes connections
// without a response.
#include "platform/machines.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

using namespace heathercross;
using namespace heathercross::platform_api;
using heathercross::test::waitFor;

namespace {

/// Answers the first order, and closes the connection after each later one.
class ClosingPlatform {
public:
  ClosingPlatform() {
    Server_.listen(QHostAddress::LocalHost);
    QObject::connect(&Server_, &QTcpServer::newConnection, &Server_, [this] {
      while (QTcpSocket *Socket = Server_.nextPendingConnection())
        QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                         [this, Socket] { read(Socket); });
    });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.serverPort());
  }
  int received() const { return Received_; }

private:
  void read(QTcpSocket *Socket) {
    if (!Socket->readAll().endsWith("}"))
      return;
    if (++Received_ == 1)
      Socket->write("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
    else
      Socket->abort();
  }

  QTcpServer Server_;
  int Received_ = 0;
};

MachineOutcome move(Machines &M, std::uint64_t Token) {
  std::optional<MachineOutcome> Outcome;
  M.move({EntryId("e1"), schedule::OrderToken(Token)},
         schedule::MachineId("m1"), PoolId("quotes"), Millis(3000),
         [&](MachineOutcome O) { Outcome = O; });
  waitFor([&] { return Outcome.has_value(); });
  return *Outcome;
}

} // namespace

// Guards against two copies of an order with one token: an answer to the second
// doesn't make the first one void.
HEATHERCROSS_STORY(OrderSentOnce, "an order is sent only once") {
  test::startQt();
  http::Client Http;
  ClosingPlatform P;
  Machines M(Http, P.address());
  CPPUNIT_ASSERT(move(M, 1) == MachineOutcome::Ok);
  CPPUNIT_ASSERT(move(M, 2) == MachineOutcome::Unknown);
  CPPUNIT_ASSERT_EQUAL(2, P.received());
}
