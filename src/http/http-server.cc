// An HTTP server with resource limits, based on Qt's HTTP library.
#include "http/http-server.h"

#include <QElapsedTimer>
#include <QUrl>
#include <QUrlQuery>

#include <algorithm>
#include <ranges>

namespace heathercross::http {

namespace detail {

/// The state of an accepted connection.
class Connection {
public:
  explicit Connection(QTcpSocket *Socket) : Socket_(Socket) {
    SinceStateChange_.start();
  }

  QPointer<QTcpSocket> Socket_;
  /// A request was passed to the handler and has no response yet.
  bool AwaitingResponse_ = false;
  /// Part of a request has been received, but not all of it.
  bool ReceivingRequest_ = false;
  /// The connection is closed after the pending response.
  bool CloseAfterResponse_ = false;
  /// Time since AwaitingResponse_ or ReceivingRequest_ changed last.
  QElapsedTimer SinceStateChange_;
};

namespace {

/// Length of "\r\ncontent-length:" in bytes.
constexpr qsizetype ContentLengthFieldSize = 17;
/// How much of a request is searched for its Content-Length.
constexpr qint64 MaxPeekedBytes = 8192;
/// Room in the read buffer for the request line and headers, beyond the body.
constexpr qint64 HeaderBufferBytes = qint64{64} * 1024;

/// The Content-Length of the buffered request, or -1 without one.
qint64 declaredBodyLength(QTcpSocket &Socket) {
  const QByteArray Head = Socket.peek(MaxPeekedBytes).toLower();
  const qsizetype HeadEnd = Head.indexOf("\r\n\r\n");
  const qsizetype FieldStart = Head.indexOf("\r\ncontent-length:");
  if (FieldStart < 0 || (HeadEnd >= 0 && FieldStart > HeadEnd))
    return -1;
  const qsizetype ValueStart = FieldStart + ContentLengthFieldSize;
  const qsizetype ValueEnd = Head.indexOf("\r\n", ValueStart);
  return Head.mid(ValueStart, ValueEnd - ValueStart).trimmed().toLongLong();
}

void sendErrorAndClose(QTcpSocket &Socket, const QByteArray &Status,
                       const QByteArray &Code) {
  const QByteArray Body = "{\"error\":\"" + Code + "\"}";
  Socket.write("HTTP/1.1 " + Status + "\r\nConnection: close\r\n" +
               "Content-Type: application/json\r\nContent-Length: " +
               QByteArray::number(Body.size()) + "\r\n\r\n" + Body);
  Socket.disconnectFromHost();
}

} // namespace

std::shared_ptr<Connection> Acceptor::connectionOf(QTcpSocket *Socket) const {
  const QVariant Property = Socket->property("heathercross");
  return Property.value<std::shared_ptr<Connection>>();
}

QTcpSocket *Acceptor::nextPendingConnection() {
  QTcpSocket *Socket = QTcpServer::nextPendingConnection();
  if (!Socket)
    return nullptr;
  if (Connections_.size() >= Limits_.MaxConnections_) {
    ++Refused_;
    connect(Socket, &QTcpSocket::disconnected, Socket, &QObject::deleteLater);
    sendErrorAndClose(*Socket, "503 Service Unavailable",
                      "too-many-connections");
    return nullptr;
  }
  const auto MaxBodyBytes = static_cast<qint64>(Limits_.MaxBody_.Count_);
  Socket->setReadBufferSize(MaxBodyBytes + HeaderBufferBytes);
  Socket->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  addConnection(Socket);
  return Socket;
}

void Acceptor::addConnection(QTcpSocket *Socket) {
  auto C = std::make_shared<Connection>(Socket);
  Connections_.push_back(C);
  Socket->setProperty("heathercross", QVariant::fromValue(C));
  connect(Socket, &QObject::destroyed, this,
          [this, C] { std::erase(Connections_, C); });
  connect(Socket, &QTcpSocket::readyRead, this, [this, C] {
    if (C->ReceivingRequest_ || C->AwaitingResponse_ || !C->Socket_)
      return;
    C->ReceivingRequest_ = true;
    C->SinceStateChange_.restart();
    const auto MaxBodyBytes = static_cast<qint64>(Limits_.MaxBody_.Count_);
    if (declaredBodyLength(*C->Socket_) <= MaxBodyBytes)
      return;
    ++Refused_;
    C->Socket_->disconnect(SIGNAL(readyRead()));
    sendErrorAndClose(*C->Socket_, "413 Payload Too Large", "body-too-large");
  });
}

bool Acceptor::hasOpenRequests() const {
  const auto IsOpen = [](const std::shared_ptr<Connection> &C) {
    return C->Socket_ &&
           C->Socket_->state() != QAbstractSocket::UnconnectedState &&
           (C->AwaitingResponse_ || C->ReceivingRequest_ ||
            C->Socket_->bytesAvailable() > 0 || C->Socket_->bytesToWrite() > 0);
  };
  return hasPendingConnections() || std::ranges::any_of(Connections_, IsOpen);
}

void Acceptor::closeExpired() {
  const auto IsExpired = [this](const std::shared_ptr<Connection> &C) {
    if (C->AwaitingResponse_ || !C->Socket_)
      return false;
    const Millis Limit =
        C->ReceivingRequest_ ? Limits_.ArrivalTimeout_ : Limits_.IdleTimeout_;
    return C->SinceStateChange_.elapsed() > Limit.count();
  };
  std::vector<std::shared_ptr<Connection>> Expired;
  std::ranges::copy_if(Connections_, std::back_inserter(Expired), IsExpired);
  for (const auto &C : Expired) {
    Refused_ += C->ReceivingRequest_ ? 1 : 0;
    C->Socket_->abort();
  }
}

} // namespace detail

struct Responder::Shared {
  QHttpServerResponder QtResponder_;
  QPointer<QTcpSocket> Socket_;
  std::weak_ptr<detail::Connection> Connection_;
  bool Answered_ = false;
  QMetaObject::Connection DisconnectConnection_;

  bool connected() const {
    return Socket_ && Socket_->state() == QAbstractSocket::ConnectedState;
  }
};

Responder::Responder(QHttpServerResponder QtResponder,
                     QPointer<QTcpSocket> Socket,
                     std::weak_ptr<detail::Connection> Connection)
    : Shared_(std::make_shared<Shared>(Shared{std::move(QtResponder),
                                              std::move(Socket),
                                              std::move(Connection),
                                              false,
                                              {}})) {}

bool Responder::isOpen() const {
  return Shared_ && !Shared_->Answered_ && Shared_->connected();
}

void Responder::onDisconnect(std::function<void()> Handler) {
  if (!isOpen())
    return;
  const std::weak_ptr<Shared> Weak = Shared_;
  Shared_->DisconnectConnection_ =
      QObject::connect(Shared_->Socket_, &QTcpSocket::disconnected,
                       [Weak, Handler = std::move(Handler)] {
                         const auto S = Weak.lock();
                         if (S && !S->Answered_)
                           Handler();
                       });
}

bool Responder::respond(const Response &R) {
  if (!isOpen())
    return false;
  Shared_->Answered_ = true;
  QObject::disconnect(Shared_->DisconnectConnection_);
  const auto C = Shared_->Connection_.lock();
  const bool Close = C && C->CloseAfterResponse_;
  if (C) {
    C->AwaitingResponse_ = false;
    C->SinceStateChange_.restart();
  }
  QHttpServerResponder &Writer = Shared_->QtResponder_;
  Writer.writeStatusLine(
      static_cast<QHttpServerResponder::StatusCode>(R.Status_));
  Writer.writeHeader("Content-Type", R.Type_);
  Writer.writeHeader("Content-Length", QByteArray::number(R.Body_.size()));
  for (const Header &H : R.Headers_)
    Writer.writeHeader(H.Name_, H.Value_);
  if (Close)
    Writer.writeHeader("Connection", "close");
  Writer.writeBody(R.Body_);
  if (Close)
    Shared_->Socket_->disconnectFromHost();
  return true;
}

QByteArray Request::header(std::string_view Name) const {
  const QByteArrayView NameBytes(Name.data(),
                                 static_cast<qsizetype>(Name.size()));
  const auto It = std::ranges::find_if(Headers_, [&](const auto &H) {
    return NameBytes.compare(H.first, Qt::CaseInsensitive) == 0;
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

constexpr int ExpiryCheckIntervalMs = 250;

} // namespace

Server::Server(ServerLimits Limits, Handler OnRequest)
    : OnRequest_(std::move(OnRequest)),
      Acceptor_(std::make_unique<detail::Acceptor>(Limits)) {
  connect(&ExpiryTimer_, &QTimer::timeout, this,
          [this] { Acceptor_->closeExpired(); });
  ExpiryTimer_.start(ExpiryCheckIntervalMs);
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
bool Server::hasOpenRequests() const { return Acceptor_->hasOpenRequests(); }
std::uint64_t Server::refused() const { return Acceptor_->refused(); }

bool Server::handleRequest(const QHttpServerRequest &Incoming,
                           QTcpSocket *Socket) {
  const auto C = Acceptor_->connectionOf(Socket);
  if (!C || !OnRequest_)
    return false;
  if (C->AwaitingResponse_) {
    C->CloseAfterResponse_ = true;
    return true;
  }
  C->ReceivingRequest_ = false;
  C->AwaitingResponse_ = true;
  C->SinceStateChange_.restart();
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
