// An HTTP server with resource limits, based on Qt's HTTP library.
#pragma once

#include "heathercross/error.h"
#include "heathercross/units.h"

#include <QAbstractHttpServer>
#include <QByteArray>
#include <QHostAddress>
#include <QHttpServerRequest>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace heathercross::http {

/// Thrown when the server can't listen on an address.
class ListenFailed : public Error {
public:
  ListenFailed(const std::string &Address, const std::string &Reason)
      : Error("can't listen on " + Address + ": " + Reason) {}
  const char *code() const noexcept override { return "listen-failed"; }
};

/// Limits on the resources that callers can occupy, authenticated or not.
struct ServerLimits {
  Bytes MaxBody_ = 1_MiB;
  std::uint32_t MaxConnections_ = 2048;
  /// The longest time from the first to the last byte of a request.
  Millis ArrivalTimeout_{5000};
  /// The longest time that a connection may be idle between requests.
  Millis IdleTimeout_{60'000};
};

/// A header line of a response.
struct Header {
  QByteArray Name_;
  QByteArray Value_;
};

/// A response to a request.
struct Response {
  int Status_ = 200;
  QByteArray Type_ = "application/json";
  std::vector<Header> Headers_;
  QByteArray Body_;
};

namespace detail {
class Connection;
} // namespace detail

/// Responds to one request, at most once, at any later time. It may be used
/// after the caller has disconnected; the response is then dropped.
class Responder {
public:
  Responder() = default;
  Responder(QHttpServerResponder QtResponder, QPointer<QTcpSocket> Socket,
            std::weak_ptr<detail::Connection> Connection);

  /// Sends the response. Returns false without sending it when the caller has
  /// disconnected or was already answered.
  bool respond(const Response &R);
  /// Whether the caller is still connected and has no response yet.
  bool isOpen() const;
  /// Sets the handler that runs when the caller disconnects before the
  /// response.
  void onDisconnect(std::function<void()> Handler);

private:
  struct Shared;
  std::shared_ptr<Shared> Shared_;
};

/// A complete request from a caller.
struct Request {
  QByteArray Method_;
  QByteArray Path_;
  QByteArray Query_;
  QByteArray Body_;
  std::vector<std::pair<QByteArray, QByteArray>> Headers_;

  /// Returns the value of a header, or an empty one without it. Names are
  /// compared without regard to case.
  QByteArray header(std::string_view Name) const;
  /// Returns the decoded value of a query parameter, or an empty one without
  /// it.
  QByteArray parameter(std::string_view Name) const;
};

namespace detail {

/// Accepts connections and enforces the limits on each of them.
class Acceptor : public QTcpServer {
public:
  explicit Acceptor(const ServerLimits &Limits) : Limits_(Limits) {}
  QTcpSocket *nextPendingConnection() override;
  /// Closes connections whose request takes too long to arrive, and those that
  /// are idle for too long.
  void closeExpired();
  std::size_t connections() const { return Connections_.size(); }
  bool hasOpenRequests() const;
  std::uint64_t refused() const { return Refused_; }
  std::shared_ptr<Connection> connectionOf(QTcpSocket *Socket) const;

private:
  void addConnection(QTcpSocket *Socket);

  ServerLimits Limits_;
  std::vector<std::shared_ptr<Connection>> Connections_;
  std::uint64_t Refused_ = 0;
};

} // namespace detail

/// Serves HTTP on one address. A connection has one request at a time: when the
/// caller sends another before the response, it is ignored and the connection
/// is closed after the response.
class Server : public QAbstractHttpServer {
public:
  using Handler = std::function<void(Request &&, Responder &&)>;

  Server(ServerLimits Limits, Handler OnRequest);
  ~Server() override;

  /// Starts accepting connections. Throws ListenFailed.
  void listen(const QHostAddress &Address, std::uint16_t Port);
  std::uint16_t port() const;
  /// Stops accepting connections; established ones are still served.
  void stopAccepting();
  std::size_t connections() const;
  /// Whether any connection has an unanswered request, one that is still
  /// arriving, or a response that hasn't been sent out. A process that ends
  /// meanwhile cuts it off.
  bool hasOpenRequests() const;
  /// The number of connections refused or closed because of a limit. Closing
  /// an idle connection isn't counted.
  std::uint64_t refused() const;

protected:
  bool handleRequest(const QHttpServerRequest &Request,
                     QTcpSocket *Socket) override;
  void missingHandler(const QHttpServerRequest &Request,
                      QTcpSocket *Socket) override;

private:
  Handler OnRequest_;
  std::unique_ptr<detail::Acceptor> Acceptor_;
  QTimer ExpiryTimer_;
};

} // namespace heathercross::http
