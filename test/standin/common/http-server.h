// A small HTTP/1.1 server whose answers may come after their caller has left.
#pragma once

#include "standin/common/http.h"

#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>

#include <functional>
#include <set>

namespace heathercross::standin {

class HttpServer;

/// One caller's connection. Requests on it are answered one after the other.
class HttpConnection : public QObject {
public:
  HttpConnection(HttpServer &Server, QTcpSocket *Socket);

  /// Writes the answer to the request that is being handled.
  void respond(const HttpResponse &Response);
  /// Closes without an answer.
  void abort();
  /// True when the connection is above the server's limit.
  bool surplus() const { return Surplus_; }

private:
  friend class HttpServer;
  void read();
  void drop();

  HttpServer &Server_;
  QTcpSocket *Socket_;
  QByteArray Buffer_;
  bool Handling_ = false;
  bool Reading_ = false;
  bool Surplus_ = false;
};

/// Answers one request, at any time, from the server's thread. Does nothing
/// when the caller has left.
class Responder {
public:
  explicit Responder(HttpConnection *Connection) : Connection_(Connection) {}

  void operator()(const HttpResponse &Response) const {
    if (Connection_)
      Connection_->respond(Response);
  }
  bool surplus() const { return Connection_ && Connection_->surplus(); }

private:
  QPointer<HttpConnection> Connection_;
};

/// Handles one request; the answer may be given later.
using HttpHandler = std::function<void(const HttpRequest &, Responder)>;

/// Listens on one port of the loopback interface.
class HttpServer {
public:
  explicit HttpServer(HttpHandler Handler);
  ~HttpServer();
  HttpServer(const HttpServer &) = delete;
  HttpServer &operator=(const HttpServer &) = delete;

  /// Listens; port 0 picks a free one. Returns false when it is taken.
  bool listen(quint16 Port);
  quint16 port() const { return Port_; }
  /// Stops listening and closes every connection without an answer.
  void shut();
  /// Marks connections above this number as surplus.
  void limitConnections(std::size_t Limit) { Limit_ = Limit; }
  std::size_t connections() const { return Connections_.size(); }

private:
  friend class HttpConnection;
  void accept();

  HttpHandler Handler_;
  QTcpServer Listener_;
  quint16 Port_ = 0;
  std::size_t Limit_ = SIZE_MAX;
  std::set<HttpConnection *> Connections_;
};

} // namespace heathercross::standin
