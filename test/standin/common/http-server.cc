// A small HTTP/1.1 server with asynchronous handlers.
#include "standin/common/http-server.h"

namespace heathercross::standin {

HttpConnection::HttpConnection(HttpServer &Server, QTcpSocket *Socket)
    : Server_(Server), Socket_(Socket) {
  Socket_->setParent(this);
  Socket_->setSocketOption(QAbstractSocket::LowDelayOption, 1);
  connect(Socket_, &QTcpSocket::readyRead, this, [this] { read(); });
  connect(Socket_, &QTcpSocket::disconnected, this,
          [this] { onDisconnected(); });
}

void HttpConnection::read() {
  Buffer_ += Socket_->readAll();
  if (Reading_)
    return;
  // A handler may respond before it returns; the loop then continues with the
  // next request, which avoids recursion through respond().
  Reading_ = true;
  while (!Handling_) {
    HttpRequest Request;
    const ParseStatus Status = extractRequest(Buffer_, Request);
    if (Status == ParseStatus::Malformed)
      return abort();
    if (Status == ParseStatus::Incomplete)
      break;
    Handling_ = true;
    Server_.Handler_(Request, Responder(this));
  }
  Reading_ = false;
}

void HttpConnection::respond(const HttpResponse &Response) {
  if (!Handling_ || Socket_->state() != QAbstractSocket::ConnectedState)
    return;
  Handling_ = false;
  if (Response.Fault_ == ResponseFault::CloseWithoutResponse)
    return abort();
  const QByteArray Bytes = encode(Response);
  if (Response.Fault_ == ResponseFault::Truncate) {
    Socket_->write(Bytes.left(Bytes.size() - 1 - Response.Body_.size() / 2));
    Socket_->disconnectFromHost();
    return;
  }
  Socket_->write(Bytes);
  if (Response.Fault_ == ResponseFault::SendTwice)
    Socket_->write(Bytes);
  if (Response.Close_) {
    Handling_ = true;
    Socket_->disconnectFromHost();
    return;
  }
  if (!Reading_ && !Buffer_.isEmpty())
    read();
}

void HttpConnection::abort() {
  Handling_ = true;
  Socket_->abort();
}

void HttpConnection::onDisconnected() {
  if (Server_.Connections_.erase(this) != 0)
    deleteLater();
}

HttpServer::HttpServer(HttpHandler Handler) : Handler_(std::move(Handler)) {
  QObject::connect(&Listener_, &QTcpServer::newConnection, &Listener_,
                   [this] { accept(); });
}

HttpServer::~HttpServer() { close(); }

bool HttpServer::listen(quint16 Port) {
  Listener_.setListenBacklogSize(1024);
  if (!Listener_.listen(QHostAddress::LocalHost, Port))
    return false;
  Port_ = Listener_.serverPort();
  return true;
}

void HttpServer::close() {
  Listener_.close();
  const std::set<HttpConnection *> Open = std::move(Connections_);
  Connections_.clear();
  for (HttpConnection *C : Open) {
    C->abort();
    C->deleteLater();
  }
}

void HttpServer::accept() {
  while (QTcpSocket *Socket = Listener_.nextPendingConnection()) {
    auto *C = new HttpConnection(*this, Socket);
    C->OverLimit_ = Connections_.size() >= ConnectionLimit_;
    Connections_.insert(C);
    C->read();
  }
}

} // namespace heathercross::standin
