// Tests of the HTTP server's bounds and of callers that leave.
#include "http/http-server.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QTcpSocket>

using namespace heathercross;
using heathercross::test::runFor;
using heathercross::test::section;
using heathercross::test::waitFor;

namespace {

/// A server that keeps its responders until the test answers.
struct Holder {
  std::vector<http::Responder> Held_;
  std::vector<QByteArray> Bodies_;
  http::Server Server_;

  explicit Holder(http::ServerLimits Limits = {})
      : Server_(Limits, [this](http::Request &&R, http::Responder &&To) {
          Bodies_.push_back(R.Body_);
          Held_.push_back(To);
        }) {
    Server_.listen(QHostAddress::LocalHost, 0);
  }
};

std::unique_ptr<QTcpSocket> connectTo(const Holder &H) {
  auto S = std::make_unique<QTcpSocket>();
  S->connectToHost(QHostAddress::LocalHost, H.Server_.port());
  waitFor([&] { return S->state() == QAbstractSocket::ConnectedState; });
  return S;
}

QByteArray postOf(const QByteArray &Body) {
  return "POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: " +
         QByteArray::number(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

HEATHERCROSS_STORY(ServerLeaving, "a caller that has left is not answered") {
  test::startQt();
  Holder H;
  auto S = connectTo(H);
  S->write(postOf("a"));
  waitFor([&] { return H.Held_.size() == 1; });
  bool Gone = false;
  H.Held_[0].onGone([&] { Gone = true; });
  S->abort();
  waitFor([&] { return Gone; });
  section("the late answer is dropped", [&] {
    CPPUNIT_ASSERT(!H.Held_[0].respond({}));
    runFor(20);
  });
}

HEATHERCROSS_STORY(ServerOrder, "a connection carries one request at a time") {
  test::startQt();
  Holder H;
  auto S = connectTo(H);
  S->write(postOf("first") + postOf("second"));
  waitFor([&] { return !H.Held_.empty(); });
  runFor(50);
  CPPUNIT_ASSERT_EQUAL(std::size_t{1}, H.Held_.size());
  http::Response R;
  R.Body_ = "answer";
  H.Held_[0].respond(R);
  section("the connection ends after the answer", [&] {
    waitFor([&] { return S->state() == QAbstractSocket::UnconnectedState; });
    const QByteArray All = S->readAll();
    CPPUNIT_ASSERT(All.endsWith("answer"));
    CPPUNIT_ASSERT_EQUAL(qsizetype{1}, All.count("HTTP/1.1"));
  });
}

HEATHERCROSS_STORY(ServerBounds, "a stranger can't make the server grow") {
  test::startQt();
  http::ServerLimits Limits;
  Limits.MaxBody_ = {1000};
  Limits.MaxConnections_ = 2;
  Limits.ArrivalTimeout_ = Millis(300);
  Holder H(Limits);
  section("a body that is declared too long is refused at its head", [&] {
    auto S = connectTo(H);
    S->write("POST /x HTTP/1.1\r\nHost: t\r\nContent-Length: 5000\r\n\r\n");
    waitFor([&] { return S->readAll().contains("413"); });
  });
  section("a request that doesn't arrive is cut", [&] {
    auto S = connectTo(H);
    S->write("POST /x HTTP/1.1\r\nHo");
    waitFor([&] { return S->state() == QAbstractSocket::UnconnectedState; });
  });
  section("connections over the bound are refused", [&] {
    waitFor([&] { return H.Server_.connections() == 0; });
    auto First = connectTo(H);
    auto Second = connectTo(H);
    waitFor([&] { return H.Server_.connections() == 2; });
    QTcpSocket Third;
    Third.connectToHost(QHostAddress::LocalHost, H.Server_.port());
    waitFor([&] { return Third.readAll().contains("503"); });
  });
  CPPUNIT_ASSERT(H.Held_.empty());
}
