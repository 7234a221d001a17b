// A link between two processes that can be cut.
#pragma once

#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>

#include <vector>

namespace heathercross::review {

/// Passes the bytes of connections on to a port. While the link is cut, nothing
/// passes in either direction and no connection is reset.
class Link : public QObject {
public:
  explicit Link(std::uint16_t Target);
  std::uint16_t port() const { return Server_.serverPort(); }
  /// Cuts the link, or heals it: what was held up then passes.
  void cut(bool Cut);

private:
  struct Pair {
    QTcpSocket *Near_ = nullptr;
    QTcpSocket *Far_ = nullptr;
  };
  void accept();
  void pass();

  std::uint16_t Target_;
  bool Cut_ = false;
  QTcpServer Server_;
  std::vector<Pair> Pairs_;
};

} // namespace heathercross::review
