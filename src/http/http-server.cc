// An HTTP server with bounds, on Qt's HTTP library.
#include "http/http-server.h"

#include <QElapsedTimer>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>
#include <ranges>

namespace heathercross::http {

namespace detail {

/// What the server knows of one connection.
class Connection {
public:
  explicit Connection(QTcpSocket *Socket) : Socket_(Socket) { Since_.start(); }

  QPointer<QTcpSocket> Socket_;
  /// A request is with its handler and has no answer yet.
  bool Busy_ = false;
  /// Part of a request has arrived.
  bool Arriving_ = false;
  /// The connection ends after the answer that is due.
  bool CloseAfter_ = false;
  /// Since the last change of the flags above.
  QElapsedTimer Since_;
};

namespace {

constexpr qint64 HeaderPeekBytes = 8192;
constexpr qint64 HeaderAllowanceBytes = qint64{64} * 1024;

/// The length that a request's head declares, or -1 without one.
qint64 declaredLength(QTcpSocket &Socket) {
  const QByteArray Head = Socket.peek(HeaderPeekBytes).toLower();
  const qsizetype End = Head.indexOf("\r\n\r\n");
  const qsizetype At = Head.indexOf("\r\ncontent-length:");
  if (At < 0 || (End >= 0 && At > End))
    return -1;
  const qsizetype From = At + 17;
  const qsizetype To = Head.indexOf("\r\n", From);
  return Head.mid(From, To - From).trimmed().toLongLong();
}

void refuse(QTcpSocket &Socket, const QByteArray &Status,
            const QByteArray &Code) {
  const QByteArray Body = "{\"error\":\"" + Code + "\"}";
  Socket.write("HTTP/1.1 " + Status + "\r\nConnection: close\r\n" +
               "Content-Type: application/json\r\nContent-Length: " +
               QByteArray::number(Body.size()) + "\r\n\r\n" + Body);
  Socket.disconnectFromHost();
}

} // namespace

std::shared_ptr<Connection> Acceptor::of(QTcpSocket *Socket) const {
  const QVariant Place = Socket->property("heathercross");
  return Place.value<std::shared_ptr<Connection>>();
}

QTcpSocket *Acceptor::nextPendingConnection() {
  QTcpSocket *Socket = QTcpServer::nextPendingConnection();
  if (!Socket)
    return nullptr;
  if (Connections_.size() >= Limits_.MaxConnections_) {
    ++Refused_;
    connect(Socket, &QTcpSocket::disconnected, Socket, &QObject::deleteLater);
    refuse(*Socket, "503 Service Unavailable", "too-many-connections");
    return nullptr;
  }
  const auto Bound = static_cast<qint64>(Limits_.MaxBody_.Count_);
  Socket->setReadBufferSize(Bound + HeaderAllowanceBytes);
  Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  watch(Socket);
  return Socket;
}

void Acceptor::watch(QTcpSocket *Socket) {
  auto C = std::make_shared<Connection>(Socket);
  Connections_.push_back(C);
  Socket->setProperty("heathercross", QVariant::fromValue(C));
  connect(Socket, &QObject::destroyed, this,
          [this, C] { std::erase(Connections_, C); });
  connect(Socket, &QTcpSocket::readyRead, this, [this, C] {
    if (C->Arriving_ || C->Busy_ || !C->Socket_)
      return;
    C->Arriving_ = true;
    C->Since_.restart();
    const auto Bound = static_cast<qint64>(Limits_.MaxBody_.Count_);
    if (declaredLength(*C->Socket_) <= Bound)
      return;
    ++Refused_;
    C->Socket_->disconnect(SIGNAL(readyRead()));
    refuse(*C->Socket_, "413 Payload Too Large", "body-too-large");
  });
}

void Acceptor::sweep() {
  const auto Late = [this](const std::shared_ptr<Connection> &C) {
    if (C->Busy_ || !C->Socket_)
      return false;
    const Millis Limit =
        C->Arriving_ ? Limits_.ArrivalTimeout_ : Limits_.IdleTimeout_;
    return C->Since_.elapsed() > Limit.count();
  };
  std::vector<std::shared_ptr<Connection>> Due;
  std::ranges::copy_if(Connections_, std::back_inserter(Due), Late);
  for (const auto &C : Due) {
    Refused_ += C->Arriving_ ? 1 : 0;
    C->Socket_->abort();
  }
}

} // namespace detail

struct Responder::Shared {
  QHttpServerResponder Inner_;
  QPointer<QTcpSocket> Socket_;
  std::weak_ptr<detail::Connection> Connection_;
  bool Answered_ = false;
  QMetaObject::Connection Watch_;

  bool connected() const {
    return Socket_ && Socket_->state() == QAbstractSocket::ConnectedState;
  }
};

Responder::Responder(QHttpServerResponder Inner, QPointer<QTcpSocket> Socket,
                     std::weak_ptr<detail::Connection> Connection)
    : Shared_(std::make_shared<Shared>(Shared{std::move(Inner),
                                              std::move(Socket),
                                              std::move(Connection),
                                              false,
                                              {}})) {}

bool Responder::open() const {
  return Shared_ && !Shared_->Answered_ && Shared_->connected();
}

void Responder::onGone(std::function<void()> Gone) {
  if (!open())
    return;
  const std::weak_ptr<Shared> Weak = Shared_;
  Shared_->Watch_ =
      QObject::connect(Shared_->Socket_, &QTcpSocket::disconnected,
                       [Weak, Gone = std::move(Gone)] {
                         const auto S = Weak.lock();
                         if (S && !S->Answered_)
                           Gone();
                       });
}

bool Responder::respond(const Response &R) {
  if (!open())
    return false;
  Shared_->Answered_ = true;
  QObject::disconnect(Shared_->Watch_);
  const auto C = Shared_->Connection_.lock();
  const bool Close = C && C->CloseAfter_;
  if (C) {
    C->Busy_ = false;
    C->Since_.restart();
  }
  QHttpServerResponder &Out = Shared_->Inner_;
  Out.writeStatusLine(static_cast<QHttpServerResponder::StatusCode>(R.Status_));
  Out.writeHeader("Content-Type", R.Type_);
  Out.writeHeader("Content-Length", QByteArray::number(R.Body_.size()));
  for (const Header &H : R.Headers_)
    Out.writeHeader(H.Name_, H.Value_);
  if (Close)
    Out.writeHeader("Connection", "close");
  Out.writeBody(R.Body_);
  if (Close)
    Shared_->Socket_->disconnectFromHost();
  return true;
}

QByteArray Request::header(std::string_view Name) const {
  const QByteArrayView Wanted(Name.data(), static_cast<qsizetype>(Name.size()));
  const auto It = std::ranges::find_if(Headers_, [&](const auto &H) {
    return Wanted.compare(H.first, Qt::CaseInsensitive) == 0;
  });
  return It == Headers_.end() ? QByteArray() : It->second;
}

QByteArray Request::parameter(std::string_view Name) const {
  const QUrlQuery Parsed{QString::fromUtf8(Query_)};
  const QString Key =
      QString::fromUtf8(Name.data(), static_cast<qsizetype>(Name.size()));
  return Parsed.queryItemValue(Key, QUrl::FullyDecoded).toUtf8();
}

namespace {

QByteArray methodName(QHttpServerRequest::Method M) {
  switch (M) {
  case QHttpServerRequest::Method::Get:
    return "GET";
  case QHttpServerRequest::Method::Post:
    return "POST";
  case QHttpServerRequest::Method::Put:
    return "PUT";
  case QHttpServerRequest::Method::Delete:
    return "DELETE";
  default:
    return "OTHER";
  }
}

constexpr int SweepIntervalMs = 250;

} // namespace

Server::Server(ServerLimits Limits, Handler OnRequest)
    : OnRequest_(std::move(OnRequest)),
      Acceptor_(std::make_unique<detail::Acceptor>(Limits)) {
  connect(&Sweep_, &QTimer::timeout, this, [this] { Acceptor_->sweep(); });
  Sweep_.start(SweepIntervalMs);
}

Server::~Server() { OnRequest_ = nullptr; }

void Server::listen(const QHostAddress &Address, std::uint16_t Port) {
  constexpr int Backlog = 1024;
  Acceptor_->setListenBacklogSize(Backlog);
  if (!Acceptor_->listen(Address, Port)) {
    const QString Name = Address.toString() + ":" + QString::number(Port);
    raise(ListenFailed(Name.toStdString(),
                       Acceptor_->errorString().toStdString()));
  }
  bind(Acceptor_.get());
}

std::uint16_t Server::port() const { return Acceptor_->serverPort(); }
void Server::stopAccepting() { Acceptor_->close(); }
std::size_t Server::connections() const { return Acceptor_->connections(); }
std::uint64_t Server::refused() const { return Acceptor_->refused(); }

bool Server::handleRequest(const QHttpServerRequest &Incoming,
                           QTcpSocket *Socket) {
  const auto C = Acceptor_->of(Socket);
  if (!C || !OnRequest_)
    return false;
  if (C->Busy_) {
    C->CloseAfter_ = true;
    return true;
  }
  C->Arriving_ = false;
  C->Busy_ = true;
  C->Since_.restart();
  Request R;
  R.Method_ = methodName(Incoming.method());
  const QUrl Url = Incoming.url();
  R.Path_ = Url.path().toUtf8();
  R.Query_ = Url.query(QUrl::FullyEncoded).toUtf8();
  R.Body_ = Incoming.body();
  for (const auto &H : Incoming.headers())
    R.Headers_.emplace_back(H.first, H.second);
  OnRequest_(std::move(R),
             Responder(makeResponder(Incoming, Socket), Socket, C));
  return true;
}

void Server::missingHandler(const QHttpServerRequest &, QTcpSocket *Socket) {
  Socket->disconnectFromHost();
}

} // namespace heathercross::http
