// One kept-alive connection to a target, with at most one request on it.
#pragma once

#include "standin/common/http-client.h"

#include <QTcpSocket>
#include <QTimer>

#include <functional>

namespace heathercross::standin {

/// How a request on a channel ended below HTTP.
enum class Transport : std::uint8_t {
  /// A whole answer came.
  Answered,
  /// The connection was never made; no byte of the request left.
  Refused,
  /// The connection ended before the whole answer.
  Cut,
  /// The answer didn't come in time; the channel was closed.
  TimedOut,
};

/// Ends one request.
using ChannelDone = std::function<void(Transport, const HttpResponse &)>;

/// A connection that is opened when it is first used.
class Channel : public QObject {
public:
  explicit Channel(const Endpoint &To);

  bool idle() const { return !Done_; }
  /// Sends one request; the channel must be idle.
  void send(QByteArray Bytes, int TimeoutMs, ChannelDone Done);
  /// Closes an idle connection, so that the next request opens a new one.
  void close();

private:
  void read();
  void fail();
  void finish(Transport How, const HttpResponse &Response);

  Endpoint To_;
  QTcpSocket Socket_;
  QTimer Timeout_;
  QByteArray Buffer_;
  /// What is still to be written once the connection is made.
  QByteArray Pending_;
  ChannelDone Done_;
};

} // namespace heathercross::standin
