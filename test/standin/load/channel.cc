// One kept-alive connection to a target, with at most one request on it.
#include "channel.h"

#include <QHostAddress>

#include <utility>

namespace heathercross::standin {

Channel::Channel(const Endpoint &To) : To_(To) {
  Timeout_.setSingleShot(true);
  connect(&Timeout_, &QTimer::timeout, this,
          [this] { finish(Transport::TimedOut, {}); });
  connect(&Socket_, &QTcpSocket::connected, this, [this] {
    Socket_.setSocketOption(QAbstractSocket::LowDelayOption, 1);
    Socket_.write(std::exchange(Pending_, {}));
  });
  connect(&Socket_, &QTcpSocket::readyRead, this, [this] { read(); });
  connect(&Socket_, &QTcpSocket::errorOccurred, this, [this] { fail(); });
}

void Channel::send(QByteArray Bytes, int TimeoutMs, ChannelDone Done) {
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
  const ParseStatus Status = takeResponse(Buffer_, Response);
  if (Status == ParseStatus::Incomplete)
    return;
  if (Status == ParseStatus::Malformed || !Done_) {
    close();
    return finish(Transport::Cut, {});
  }
  if (Response.Close_)
    close();
  finish(Transport::Answered, Response);
}

void Channel::fail() {
  const bool NeverSent = !Pending_.isEmpty();
  finish(NeverSent ? Transport::Refused : Transport::Cut, {});
}

void Channel::finish(Transport How, const HttpResponse &Response) {
  if (!Done_)
    return;
  Timeout_.stop();
  const ChannelDone Done = std::exchange(Done_, nullptr);
  if (How != Transport::Answered)
    close();
  Done(How, Response);
}

} // namespace heathercross::standin
