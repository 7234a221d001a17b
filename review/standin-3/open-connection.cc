// A connection that a client keeps open to one entry.
#include "world.h"

namespace heathercross::review {

OpenConnection::OpenConnection(World &W, std::size_t Entry)
    : World_(W), Entry_(Entry) {
  QObject::connect(&Socket_, &QTcpSocket::readyRead, [this] { read(); });
  Socket_.connectToHost(QHostAddress(QHostAddress::LocalHost),
                        W.frontPort(Entry));
  Socket_.waitForConnected(1000);
}

void OpenConnection::send(const char *Method, const QString &Path) {
  Status_ = 0;
  Received_.clear();
  Sent_ = QString("%1 %2").arg(Method, Path);
  World_.record(QString("sent on the open connection to entry %1: %2")
                    .arg(Entry_)
                    .arg(Sent_));
  Socket_.write(Sent_.toUtf8() + " HTTP/1.1\r\nHost: trade.example\r\n"
                                 "Heathercross-Deadline-Ms: 3000\r\n"
                                 "Content-Length: 0\r\n\r\n");
}

void OpenConnection::read() {
  constexpr qsizetype StatusAt = 9;
  constexpr qsizetype StatusDigits = 3;
  Received_ += Socket_.readAll();
  if (Status_ != 0 || !Received_.contains("\r\n\r\n"))
    return;
  Status_ = Received_.mid(StatusAt, StatusDigits).toInt();
  World_.record(QString("answer of entry %1 to %2: %3")
                    .arg(Entry_)
                    .arg(Sent_)
                    .arg(Status_));
}

} // namespace heathercross::review
