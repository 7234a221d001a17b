// An HTTP server with bounds, on Qt's HTTP library.
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

/// The address can't be listened on.
class ListenFailed : public Error {
public:
  ListenFailed(const std::string &Address, const std::string &Why)
      : Error("can't listen on " + Address + ": " + Why) {}
  const char *code() const noexcept override { return "listen-failed"; }
};

/// What a stranger may make the server hold.
struct ServerLimits {
  Bytes MaxBody_ = 1_MiB;
  std::uint32_t MaxConnections_ = 2048;
  /// How long a request may take to arrive whole.
  Millis ArrivalTimeout_{5000};
  /// How long a connection may stand idle between requests.
  Millis IdleTimeout_{60'000};
};

/// One header line of an answer.
struct Header {
  QByteArray Name_;
  QByteArray Value_;
};

struct Response {
  int Status_ = 200;
  QByteArray Type_ = "application/json";
  std::vector<Header> Headers_;
  QByteArray Body_;
};

namespace detail {
class Connection;
} // namespace detail

/// Answers one request, at most once, now or later. It is safe to use after
/// the caller has gone: the answer is then dropped.
class Responder {
public:
  Responder() = default;
  Responder(QHttpServerResponder Inner, QPointer<QTcpSocket> Socket,
            std::weak_ptr<detail::Connection> Connection);

  /// Sends the answer. Returns false when the caller had gone.
  bool respond(const Response &R);
  /// Whether the caller is still there and hasn't been answered.
  bool open() const;
  /// Sets what to do when the caller leaves before the answer.
  void onGone(std::function<void()> Gone);

private:
  struct Shared;
  std::shared_ptr<Shared> Shared_;
};

/// A whole request from a caller.
struct Request {
  QByteArray Method_;
  QByteArray Path_;
  QByteArray Query_;
  QByteArray Body_;
  std::vector<std::pair<QByteArray, QByteArray>> Headers_;

  /// The value of a header, or nothing; names match without case.
  QByteArray header(std::string_view Name) const;
  /// The decoded value of a parameter of the query, or nothing.
  QByteArray parameter(std::string_view Name) const;
};

namespace detail {

/// The socket acceptor: sets the bounds on every accepted socket.
class Acceptor : public QTcpServer {
public:
  explicit Acceptor(const ServerLimits &Limits) : Limits_(Limits) {}
  QTcpSocket *nextPendingConnection() override;
  /// Closes connections whose request is late or that stand idle too long.
  void sweep();
  std::size_t connections() const { return Connections_.size(); }
  std::uint64_t refused() const { return Refused_; }
  std::shared_ptr<Connection> of(QTcpSocket *Socket) const;

private:
  void watch(QTcpSocket *Socket);

  ServerLimits Limits_;
  std::vector<std::shared_ptr<Connection>> Connections_;
  std::uint64_t Refused_ = 0;
};

} // namespace detail

/// Serves HTTP on one address. Each connection carries one request at a time;
/// a caller that sends the next one before the answer is closed after it.
class Server : public QAbstractHttpServer {
public:
  using Handler = std::function<void(Request &&, Responder &&)>;

  Server(ServerLimits Limits, Handler OnRequest);
  ~Server() override;

  /// Starts to accept. Throws ListenFailed.
  void listen(const QHostAddress &Address, std::uint16_t Port);
  std::uint16_t port() const;
  /// Stops to accept; connections that stand go on.
  void stopAccepting();
  std::size_t connections() const;
  /// Connections refused or closed because of a limit.
  std::uint64_t refused() const;

protected:
  bool handleRequest(const QHttpServerRequest &Request,
                     QTcpSocket *Socket) override;
  void missingHandler(const QHttpServerRequest &Request,
                      QTcpSocket *Socket) override;

private:
  Handler OnRequest_;
  std::unique_ptr<detail::Acceptor> Acceptor_;
  QTimer Sweep_;
};

} // namespace heathercross::http
