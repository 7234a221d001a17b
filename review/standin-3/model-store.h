// A model of the platform's metadata store.
#pragma once

#include "standin/common/http-server.h"

#include <QElapsedTimer>
#include <QJsonArray>
#include <QJsonObject>
#include <QObject>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace heathercross::review {

/// Table, partition and key of a row.
using Place = std::tuple<std::string, std::string, std::string>;

/// What becomes of one transaction.
struct Fate {
  /// Time until the transaction is carried out.
  int DelayMs_ = 0;
  /// Whether the caller gets an answer.
  bool Answered_ = true;
};

/// Rows, transactions and the change feed, on one loopback port. The same port
/// serves a machine API that lists no machines.
class Store : public QObject {
public:
  Store();

  quint16 port() const { return Server_.port(); }
  /// Chooses what becomes of each transaction; all are carried out and
  /// answered without it.
  void onTransaction(std::function<Fate(const QJsonObject &)> Choose) {
    Choose_ = std::move(Choose);
  }
  /// Is called after each transaction that was answered with 200.
  void onAnswered(std::function<void(const QJsonObject &)> Handler) {
    OnAnswered_ = std::move(Handler);
  }
  /// Answers every call with 503 for a time, from now on.
  void refuseFor(int Ms) { RefusesUntil_ = Clock_.elapsed() + Ms; }
  /// Sets the duration of a transaction.
  void setTransactionMs(int Ms) { TransactionMs_ = Ms; }

  void put(const Place &At, const QByteArray &Value);
  void remove(const Place &At);
  std::optional<QByteArray> value(const Place &At) const;

private:
  struct Row {
    QByteArray Value_;
    std::int64_t Version_ = 0;
    bool Removed_ = false;
  };

  void serve(const standin::HttpRequest &R, const standin::Responder &To);
  void transact(const QJsonObject &Body, const standin::Responder &To);
  standin::HttpResponse apply(const QJsonObject &Body);
  standin::HttpResponse read(const standin::HttpRequest &R) const;
  void feed(const std::string &Table, std::int64_t After, std::int64_t WaitMs,
            const standin::Responder &To);
  standin::HttpResponse rows(const QJsonArray &Found, bool More = false,
                             int Status = 200) const;

  std::function<Fate(const QJsonObject &)> Choose_;
  std::function<void(const QJsonObject &)> OnAnswered_;
  QElapsedTimer Clock_;
  qint64 RefusesUntil_ = 0;
  int TransactionMs_ = 6;
  std::int64_t Version_ = 0;
  std::map<Place, Row> Rows_;
  standin::HttpServer Server_;
};

} // namespace heathercross::review
