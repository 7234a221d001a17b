// A link between two processes that can be cut.
#include "link.h"

#include <QHostAddress>

#include <algorithm>

namespace heathercross::review {

Link::Link(std::uint16_t Target) : Target_(Target) {
  connect(&Server_, &QTcpServer::newConnection, this, [this] { accept(); });
  Server_.listen(QHostAddress(QHostAddress::LocalHost), 0);
}

void Link::cut(bool Cut) {
  Cut_ = Cut;
  pass();
}

void Link::accept() {
  while (QTcpSocket *Near = Server_.nextPendingConnection()) {
    auto *Far = new QTcpSocket(this);
    Near->setParent(this);
    for (QTcpSocket *S : {Near, Far}) {
      S->setSocketOption(QAbstractSocket::LowDelayOption, 1);
      connect(S, &QTcpSocket::readyRead, this, [this] { pass(); });
      connect(S, &QTcpSocket::disconnected, this, [this] { pass(); });
    }
    connect(Far, &QTcpSocket::connected, this, [this] { pass(); });
    Far->connectToHost(QHostAddress(QHostAddress::LocalHost), Target_);
    Pairs_.push_back({Near, Far});
  }
}

void Link::pass() {
  if (Cut_)
    return;
  for (const Pair &P : Pairs_) {
    if (P.Far_->state() == QAbstractSocket::ConnectedState)
      P.Far_->write(P.Near_->readAll());
    if (P.Near_->state() == QAbstractSocket::ConnectedState)
      P.Near_->write(P.Far_->readAll());
  }
  std::erase_if(Pairs_, [](const Pair &P) {
    const bool NearGone = P.Near_->state() == QAbstractSocket::UnconnectedState;
    const bool FarGone = P.Far_->state() == QAbstractSocket::UnconnectedState;
    if (!NearGone && !FarGone)
      return false;
    for (QTcpSocket *S : {P.Near_, P.Far_}) {
      S->disconnectFromHost();
      S->deleteLater();
    }
    return true;
  });
}

} // namespace heathercross::review
