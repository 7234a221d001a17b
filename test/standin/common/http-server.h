// A small HTTP/1.1 server with asynchronous handlers.
#pragma once

#include "standin/common/http.h"

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <set>

namespace heathercross::standin {

class HttpServer;

/// The connection of one client. Its requests are handled one after the other.
class HttpConnection : public QObject {
public:
  HttpConnection(HttpServer &Server, QTcpSocket *Socket);

  /// Sends the response to the request that is being handled.
  void respond(const HttpResponse &Response);
  /// Closes the connection without a response.
  void abort();
  /// Returns true if the connection exceeded the server's limit when it was
  /// accepted.
  bool overLimit() const { return OverLimit_; }

private:
  friend class HttpServer;
  void read();
  void onDisconnected();

  HttpServer &Server_;
  QTcpSocket *Socket_;
  QByteArray Buffer_;
  bool Handling_ = false;
  bool Reading_ = false;
  bool OverLimit_ = false;
};

/// Sends the response to one request, at any time, on the server's thread. Does
/// nothing if the client has disconnected.
class Responder {
public:
  explicit Responder(HttpConnection *Connection) : Connection_(Connection) {}

  void operator()(const HttpResponse &Response) const {
    if (Connection_)
      Connection_->respond(Response);
  }
  bool overLimit() const { return Connection_ && Connection_->overLimit(); }

private:
  QPointer<HttpConnection> Connection_;
};

/// Handles one request; it may respond after it has returned.
using HttpHandler = std::function<void(const HttpRequest &, Responder)>;

/// An HTTP server on one port of the loopback interface.
class HttpServer {
public:
  explicit HttpServer(HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Starts listening; port 0 picks a free one. Returns false if the port is
  /// taken.
  bool listen(quint16 Port);
  quint16 port() const { return Port_; }
  /// Stops listening and closes every connection without a response.
  void close();
  /// Marks connections beyond this number as over the limit. They are still
  /// served, so that the handler can answer with a refusal.
  void setConnectionLimit(std::size_t Limit) { ConnectionLimit_ = Limit; }
  std::size_t connections() const { return Connections_.size(); }

private:
  friend class HttpConnection;
  void accept();

  HttpHandler Handler_;
  QTcpServer Listener_;
  quint16 Port_ = 0;
  std::size_t ConnectionLimit_ = SIZE_MAX;
  std::set<HttpConnection *> Connections_;
};

} // namespace heathercross::standin
