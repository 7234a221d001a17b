// A persistent connection to a target that carries one request at a time.
#include "channel.h"

#include <QHostAddress>

#include <utility>

namespace heathercross::standin {

Channel::Channel(const Endpoint &To) : To_(To) {
  Timeout_.setSingleShot(true);
  connect(&Timeout_, &QTimer::timeout, this,
          [this] { finish(TransportResult::TimedOut, {}); });
  connect(&Socket_, &QTcpSocket::connected, this, [this] {
    Socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    Socket_.write(std::exchange(Pending_, {}));
  });
  connect(&Socket_, &QTcpSocket::readyRead, this, [this] { read(); });
  connect(&Socket_, &QTcpSocket::errorOccurred, this, [this] { onError(); });
}

void Channel::send(QByteArray Bytes, int TimeoutMs, ChannelCallback Done) {
  Done_ = std::move(Done);
  Timeout_.start(TimeoutMs);
  if (Socket_.state() == QAbstractSocket::ConnectedState) {
    Socket_.write(Bytes);
    return;
  }
  Pending_ = std::move(Bytes);
  Buffer_.clear();
  Socket_.abort();
  Socket_.connectToHost(QHostAddress(QString::fromStdString(To_.Host_)),
                        To_.Port_);
}

void Channel::close() {
  Pending_.clear();
  Buffer_.clear();
  Socket_.abort();
}

void Channel::read() {
  Buffer_ += Socket_.readAll();
  HttpResponse Response;
  const ParseStatus Status = extractResponse(Buffer_, Response);
  if (Status == ParseStatus::Incomplete)
    return;
  if (Status == ParseStatus::Malformed || !Done_) {
    close();
    return finish(TransportResult::Cut, {});
  }
  if (Response.Close_)
    close();
  finish(TransportResult::Answered, Response);
}

void Channel::onError() {
  const bool NeverConnected = !Pending_.isEmpty();
  finish(NeverConnected ? TransportResult::Refused : TransportResult::Cut, {});
}

void Channel::finish(TransportResult Result, const HttpResponse &Response) {
  if (!Done_)
    return;
  Timeout_.stop();
  const ChannelCallback Done = std::exchange(Done_, nullptr);
  if (Result != TransportResult::Answered)
    close();
  Done(Result, Response);
}

} // namespace heathercross::standin
