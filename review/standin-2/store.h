// The platform's store and its list of machines, in memory.
#pragma once

#include "http/http-server.h"

#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <tuple>
#include <vector>

namespace heathercross::review {

/// Serves rows-tx, rows-get, rows-feed and machines as PROTOCOL.md describes
/// them, on one port. It answers at once and loses nothing.
class Store : public QObject {
public:
  Store();

  std::uint16_t port() const { return Server_.port(); }
  /// Writes a row as the operator or a worker does.
  void write(const QString &Table, const QString &Key, const QByteArray &Value);
  /// Removes a row of a worker that has left.
  void remove(const QString &Table, const QString &Key);
  /// The value of a row with an empty part; empty if it doesn't exist.
  QByteArray value(const QString &Table, const QString &Key) const;

  /// Returns the rows of the list of machines.
  std::function<QJsonArray()> ListMachines_;
  /// Answers an order for a machine.
  std::function<void(http::Request &&, http::Responder &&)> OnMachineOrder_;

private:
  /// Table, part and key.
  using Place = std::tuple<QString, QString, QString>;
  struct Row {
    QString Value_;
    qint64 Version_ = 0;
    bool Deleted_ = false;
  };
  struct Waiting {
    QString Table_;
    qint64 After_ = 0;
    qint64 DeadlineMs_ = 0;
    http::Responder To_;
  };

  void handle(http::Request &&R, http::Responder &&To);
  http::Response transact(const QJsonObject &Body);
  http::Response read(const http::Request &R) const;
  QJsonArray changes(const QString &Table, qint64 After) const;
  void answerFeeds();
  QJsonObject rowObject(const Place &P, const Row &R) const;
  QJsonObject withVersion(QJsonObject O) const;
  qint64 versionOf(const Place &P) const;

  std::map<Place, Row> Rows_;
  qint64 Version_ = 0;
  std::vector<Waiting> Feeds_;
  QElapsedTimer Clock_;
  QTimer FeedTimer_;
  http::Server Server_;
};

} // namespace heathercross::review
