// A stand-in of the platform's metadata store: rows, reads and the feed.
#pragma once

#include "standin/common/http-server.h"

#include <QJsonObject>
#include <QObject>

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace heathercross::review {

/// Serves rows-tx, rows-get and rows-feed as the protocol page describes them.
class Store : public QObject {
public:
  Store();

  QString address() const;
  /// Writes or removes a row as the operator or a worker does.
  void put(const QString &Table, const QString &Key, const QJsonObject &Value);
  void remove(const QString &Table, const QString &Key);
  /// The value of a row; empty if there is none.
  QByteArray value(const QString &Table, const QString &Part,
                   const QString &Key) const;
  /// Transactions that were rejected because a row was larger than row_bytes.
  int oversized() const { return Oversized_; }

private:
  using Place = std::tuple<QString, QString, QString>;
  struct Row {
    QByteArray Value_;
    std::int64_t Version_ = 0;
    bool Removed_ = false;
  };
  struct Watcher {
    QString Table_;
    std::int64_t After_ = 0;
    standin::Responder To_;
  };

  void handle(const standin::HttpRequest &R, const standin::Responder &To);
  standin::HttpResponse transact(const QJsonObject &Body);
  standin::HttpResponse read(const standin::HttpRequest &R) const;
  void feed(const standin::HttpRequest &R, const standin::Responder &To);
  QJsonArray changes(const QString &Table, std::int64_t After) const;
  standin::HttpResponse answer(const QJsonArray &Rows, bool More,
                               int Status = 200) const;
  void wakeWatchers();
  static QJsonObject rowObject(const Place &P, const Row &R);

  std::map<Place, Row> Rows_;
  std::int64_t Version_ = 0;
  int Oversized_ = 0;
  std::map<int, Watcher> Watchers_;
  int LastWatcher_ = 0;
  standin::HttpServer Server_;
};

} // namespace heathercross::review
