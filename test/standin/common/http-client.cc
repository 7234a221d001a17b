// Asynchronous HTTP calls of the stand-ins, each on a new connection.
#include "standin/common/http-client.h"

#include <QHostAddress>
#include <QTcpSocket>
#include <QTimer>

namespace heathercross::standin {
namespace {

/// A pending call, which deletes itself when it completes.
class PendingCall : public QObject {
public:
  PendingCall(const Endpoint &To, const QByteArray &Bytes, int TimeoutMs,
              HttpCallback Done)
      : Done_(std::move(Done)) {
    connect(&Socket_, &QTcpSocket::connected, this,
            [this, Bytes] { Socket_.write(Bytes); });
    connect(&Socket_, &QTcpSocket::readyRead, this, [this] { read(); });
    connect(&Socket_, &QTcpSocket::errorOccurred, this, [this] { finish({}); });
    QTimer::singleShot(TimeoutMs, this, [this] { finish({}); });
    Socket_.connectToHost(QHostAddress(QString::fromStdString(To.Host_)),
                          To.Port_);
  }

private:
  void read() {
    Buffer_ += Socket_.readAll();
    HttpResponse Response;
    const ParseStatus Status = extractResponse(Buffer_, Response);
    if (Status == ParseStatus::Complete)
      finish(Response);
    if (Status == ParseStatus::Malformed)
      finish({});
  }

  void finish(HttpResponse Response) {
    if (!Done_)
      return;
    if (Response.Headers_.empty())
      Response.Status_ = 0;
    const HttpCallback Done = std::exchange(Done_, nullptr);
    Socket_.abort();
    deleteLater();
    Done(Response);
  }

  QTcpSocket Socket_;
  QByteArray Buffer_;
  HttpCallback Done_;
};

} // namespace

Endpoint parseEndpoint(const std::string &Text) {
  const auto Colon = Text.rfind(':');
  if (Colon == std::string::npos)
    return {};
  const auto Port = QByteArray::fromStdString(Text.substr(Colon + 1));
  return {Text.substr(0, Colon), Port.toUShort()};
}

void call(const Endpoint &To, const QByteArray &Method, const QByteArray &Path,
          const QByteArray &Body, const HttpHeaders &Headers, int TimeoutMs,
          HttpCallback Done) {
  QByteArray Bytes = Method + ' ' + Path + " HTTP/1.1\r\nHost: " +
                     QByteArray::fromStdString(To.Host_) + "\r\n";
  for (const auto &[Name, Value] : Headers)
    Bytes += Name + ": " + Value + "\r\n";
  Bytes += "Content-Length: " + QByteArray::number(Body.size()) + "\r\n\r\n";
  new PendingCall(To, Bytes + Body, TimeoutMs, std::move(Done));
}

} // namespace heathercross::standin
