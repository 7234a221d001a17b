// A persistent connection to a target that carries one request at a time.
#pragma once

#include "standin/common/http-client.h"

#include <QTcpSocket>
#include <QTimer>

#include <functional>

namespace heathercross::standin {

/// How a request ended at the transport level.
enum class TransportResult : std::uint8_t {
  /// A complete response arrived.
  Answered,
  /// The connection could not be established; nothing was sent.
  Refused,
  /// The connection closed before the response was complete.
  Cut,
  /// The response didn't arrive within the timeout; the connection was closed.
  TimedOut,
};

/// Called once when a request has ended.
using ChannelCallback =
    std::function<void(TransportResult, const HttpResponse &)>;

/// A connection that is opened on first use.
class Channel : public QObject {
public:
  explicit Channel(const Endpoint &To);

  bool idle() const { return !Done_; }
  /// Sends one request; the channel must be idle.
  void send(QByteArray Bytes, int TimeoutMs, ChannelCallback Done);
  /// Closes an idle connection, so that the next request opens a new one.
  void close();

private:
  void read();
  void onError();
  void finish(TransportResult Result, const HttpResponse &Response);

  Endpoint To_;
  QTcpSocket Socket_;
  QTimer Timeout_;
  QByteArray Buffer_;
  /// Bytes to write once the connection is established.
  QByteArray Pending_;
  ChannelCallback Done_;
};

} // namespace heathercross::standin
