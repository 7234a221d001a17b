// A model of the platform's metadata store.
#include "model-store.h"

#include <QDateTime>
#include <QJsonDocument>
#include <QTimer>

#include <algorithm>
#include <chrono>

namespace heathercross::review {

namespace {

using standin::HttpRequest;
using standin::HttpResponse;
using standin::Responder;

constexpr int Conflict = 412;
constexpr int Unavailable = 503;
constexpr std::size_t MaxPageRows = 500;
constexpr int FeedCheckMs = 5;

std::string textOf(const QJsonValue &V) { return V.toString().toStdString(); }

Place placeOf(const QJsonValue &V) {
  return {textOf(V["table"]), textOf(V["part"]), textOf(V["key"])};
}

HttpResponse response(const QJsonObject &Body, int Status = 200) {
  return standin::jsonResponse(
      QJsonDocument(Body).toJson(QJsonDocument::Compact), Status);
}

QJsonObject rowObject(const Place &At, const QByteArray &Value,
                      std::int64_t Version, bool Removed) {
  QJsonObject O{{"table", QString::fromStdString(std::get<0>(At))},
                {"part", QString::fromStdString(std::get<1>(At))},
                {"key", QString::fromStdString(std::get<2>(At))},
                {"ver", static_cast<qint64>(Version)}};
  if (Removed)
    O["deleted"] = true;
  else
    O["value"] = QString::fromLatin1(Value.toBase64());
  return O;
}

} // namespace

Store::Store()
    : Server_(
          [this](const HttpRequest &R, const Responder &To) { serve(R, To); }) {
  Clock_.start();
  Server_.listen(0);
}

void Store::put(const Place &At, const QByteArray &Value) {
  Rows_[At] = {Value, ++Version_, false};
}

void Store::remove(const Place &At) { Rows_[At] = {{}, ++Version_, true}; }

std::optional<QByteArray> Store::value(const Place &At) const {
  const auto It = Rows_.find(At);
  if (It == Rows_.end() || It->second.Removed_)
    return std::nullopt;
  return It->second.Value_;
}

void Store::serve(const HttpRequest &R, const Responder &To) {
  if (R.Path_ != "/-/rows-tx" && Clock_.elapsed() < RefusesUntil_)
    return To(response({}, Unavailable));
  if (R.Path_ == "/-/rows-tx")
    return transact(QJsonDocument::fromJson(R.Body_).object(), To);
  if (R.Path_ == "/-/rows-get")
    return To(read(R));
  if (R.Path_ == "/-/rows-feed")
    return feed(R.parameter("table").toStdString(),
                R.parameter("after").toLongLong(),
                R.parameter("wait_ms").toLongLong(), To);
  if (R.Path_ == "/-/machines")
    return To(response(
        {{"machines", QJsonArray()}, {"next_token", QJsonValue::Null}}));
  To(response({}, 404));
}

void Store::transact(const QJsonObject &Body, const Responder &To) {
  const Fate F = Choose_ ? Choose_(Body) : Fate();
  if (Clock_.elapsed() < RefusesUntil_)
    return To(response({}, Unavailable));
  QTimer::singleShot(TransactionMs_ + F.DelayMs_, Qt::PreciseTimer, this,
                     [this, Body, To, Answered = F.Answered_] {
                       const HttpResponse R = apply(Body);
                       if (!Answered)
                         return;
                       To(R);
                       if (R.Status_ == 200 && OnAnswered_)
                         OnAnswered_(Body);
                     });
}

HttpResponse Store::apply(const QJsonObject &Body) {
  QJsonArray Current;
  bool Holds = true;
  for (const QJsonValue C : Body["precondition"].toArray()) {
    const Place At = placeOf(C);
    const auto It = Rows_.find(At);
    const bool Exists = It != Rows_.end() && !It->second.Removed_;
    const std::int64_t Version = Exists ? It->second.Version_ : 0;
    Holds = Holds && Version == C["ver"].toInteger();
    Current.append(rowObject(At, Exists ? It->second.Value_ : QByteArray(),
                             Version, !Exists));
  }
  if (!Holds)
    return rows(Current, false, Conflict);
  ++Version_;
  for (const QJsonValue P : Body["set_keys"].toArray())
    Rows_[placeOf(P)] = {
        QByteArray::fromBase64(P["value"].toString().toLatin1()), Version_,
        false};
  for (const QJsonValue P : Body["remove"].toArray())
    Rows_[placeOf(P)] = {{}, Version_, true};
  return rows({});
}

HttpResponse Store::read(const HttpRequest &R) const {
  const std::string Table = R.parameter("table").toStdString();
  const std::string Part = R.parameter("part").toStdString();
  const std::string To = R.parameter("to").toStdString();
  const auto Limit = std::min<std::size_t>(
      R.parameter("limit").isEmpty() ? MaxPageRows
                                     : R.parameter("limit").toULongLong(),
      MaxPageRows);
  QJsonArray Found;
  bool More = false;
  for (auto It =
           Rows_.lower_bound({Table, Part, R.parameter("from").toStdString()});
       It != Rows_.end(); ++It) {
    const auto &[RowTable, RowPart, Key] = It->first;
    if (RowTable != Table || RowPart != Part || (!To.empty() && Key >= To))
      break;
    if (It->second.Removed_)
      continue;
    if (static_cast<std::size_t>(Found.size()) == Limit) {
      More = true;
      break;
    }
    Found.append(
        rowObject(It->first, It->second.Value_, It->second.Version_, false));
  }
  return rows(Found, More);
}

void Store::feed(const std::string &Table, std::int64_t After,
                 std::int64_t WaitMs, const Responder &To) {
  std::vector<std::pair<Place, Row>> Changed;
  for (const auto &[At, R] : Rows_)
    if (std::get<0>(At) == Table && R.Version_ > After)
      Changed.emplace_back(At, R);
  if (Changed.empty() && WaitMs > 0) {
    QTimer::singleShot(FeedCheckMs, this, [this, Table, After, WaitMs, To] {
      feed(Table, After, WaitMs - FeedCheckMs, To);
    });
    return;
  }
  std::ranges::sort(Changed, {},
                    [](const auto &C) { return C.second.Version_; });
  QJsonArray Found;
  for (const auto &[At, R] : Changed)
    Found.append(rowObject(At, R.Value_, R.Version_, R.Removed_));
  To(rows(Found));
}

HttpResponse Store::rows(const QJsonArray &Found, bool More, int Status) const {
  const auto Now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::steady_clock::now().time_since_epoch());
  return response({{"rows", Found},
                   {"has_more", More},
                   {"ver", static_cast<qint64>(Version_)},
                   {"now_ms", static_cast<qint64>(Now.count())}},
                  Status);
}

} // namespace heathercross::review
