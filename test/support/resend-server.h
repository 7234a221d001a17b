// A server that makes a client send a request twice.
#pragma once

#include <QHostAddress>
#include <QTcpServer>
#include <QTcpSocket>

#include <map>
#include <string>

namespace heathercross::test {

/// Answers the first request with 200. Reads the second one, which arrives on
/// the same connection, and closes the connection without an answer. Gives
/// every later request the answer of its members.
class ResendServer {
public:
  int Status_ = 200;
  /// Header lines, each with its end.
  QByteArray Headers_;
  QByteArray Body_ = "{}";

  ResendServer() {
    Server_.listen(QHostAddress::LocalHost);
    QObject::connect(&Server_, &QTcpServer::newConnection, &Server_,
                     [this] { accept(); });
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Server_.serverPort());
  }
  int received() const { return Received_; }

private:
  void accept() {
    while (QTcpSocket *Socket = Server_.nextPendingConnection())
      QObject::connect(Socket, &QTcpSocket::readyRead, Socket,
                       [this, Socket] { read(Socket); });
  }

  static bool isComplete(const QByteArray &Request) {
    constexpr QByteArrayView LengthName = "content-length:";
    const qsizetype HeadEnd = Request.indexOf("\r\n\r\n");
    if (HeadEnd < 0)
      return false;
    const QByteArray Head = Request.left(HeadEnd).toLower() + "\r\n";
    const qsizetype Name = Head.indexOf(LengthName);
    if (Name < 0)
      return true;
    const qsizetype From = Name + LengthName.size();
    const auto Length = Head.mid(From, Head.indexOf("\r\n", From) - From)
                            .trimmed()
                            .toLongLong();
    return Request.size() >= HeadEnd + 4 + Length;
  }

  void read(QTcpSocket *Socket) {
    QByteArray &Request = Requests_[Socket];
    Request += Socket->readAll();
    if (!isComplete(Request))
      return;
    Request.clear();
    switch (++Received_) {
    case 1:
      return respond(Socket, 200, "", "{}");
    case 2:
      return Socket->abort();
    default:
      return respond(Socket, Status_, Headers_, Body_);
    }
  }

  static void respond(QTcpSocket *Socket, int Status, const QByteArray &Headers,
                      const QByteArray &Body) {
    Socket->write("HTTP/1.1 " + QByteArray::number(Status) + " Answer\r\n" +
                  Headers + "Content-Length: " +
                  QByteArray::number(Body.size()) + "\r\n\r\n" + Body);
  }

  QTcpServer Server_;
  std::map<QTcpSocket *, QByteArray> Requests_;
  int Received_ = 0;
};

} // namespace heathercross::test
