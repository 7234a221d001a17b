// The platform's store and its list of machines, in memory.
#include "store.h"

#include "json.h"

#include <algorithm>
#include <utility>

namespace heathercross::review {

namespace {

constexpr int FeedIntervalMs = 10;
/// Limits of the store (PROTOCOL.md).
constexpr qsizetype MaxEntries = 100;
constexpr qsizetype MaxRowBytes = 65'536;
constexpr qsizetype MaxPageRows = 500;

QString text(const QJsonObject &O, const char *Name) {
  return O.value(QLatin1String(Name)).toString();
}

} // namespace

Store::Store()
    : Server_({}, [this](http::Request &&R, http::Responder &&To) {
        handle(std::move(R), std::move(To));
      }) {
  Clock_.start();
  Server_.listen(QHostAddress(QHostAddress::LocalHost), 0);
  connect(&FeedTimer_, &QTimer::timeout, this, [this] { answerFeeds(); });
  FeedTimer_.start(FeedIntervalMs);
}

void Store::write(const QString &Table, const QString &Key,
                  const QByteArray &Value) {
  Rows_[{Table, "", Key}] = {QString::fromLatin1(Value.toBase64()), ++Version_,
                             false};
}

void Store::remove(const QString &Table, const QString &Key) {
  Rows_[{Table, "", Key}] = {QString(), ++Version_, true};
}

QByteArray Store::value(const QString &Table, const QString &Key) const {
  const auto It = Rows_.find({Table, "", Key});
  return It == Rows_.end() || It->second.Deleted_
             ? QByteArray()
             : QByteArray::fromBase64(It->second.Value_.toLatin1());
}

void Store::handle(http::Request &&R, http::Responder &&To) {
  if (R.Path_ == "/-/rows-tx") {
    To.respond(transact(objectOf(R.Body_)));
  } else if (R.Path_ == "/-/rows-get") {
    To.respond(read(R));
  } else if (R.Path_ == "/-/rows-feed") {
    Feeds_.push_back({QString::fromUtf8(R.parameter("table")),
                      R.parameter("after").toLongLong(),
                      Clock_.elapsed() + R.parameter("wait_ms").toLongLong(),
                      std::move(To)});
    answerFeeds();
  } else if (R.Path_ == "/-/machines") {
    To.respond(jsonResponse(200, {{"machines", ListMachines_()}}));
  } else if (R.Path_ == "/-/machine-move" || R.Path_ == "/-/machine-upkeep") {
    OnMachineOrder_(std::move(R), std::move(To));
  } else {
    To.respond(jsonResponse(404, {}));
  }
}

qint64 Store::versionOf(const Place &P) const {
  const auto It = Rows_.find(P);
  return It == Rows_.end() || It->second.Deleted_ ? 0 : It->second.Version_;
}

QJsonObject Store::withVersion(QJsonObject O) const {
  O["ver"] = Version_;
  O["now_ms"] = Clock_.elapsed();
  return O;
}

QJsonObject Store::rowObject(const Place &P, const Row &R) const {
  QJsonObject O{{"table", std::get<0>(P)},
                {"part", std::get<1>(P)},
                {"key", std::get<2>(P)},
                {"ver", R.Version_}};
  if (R.Deleted_)
    O["deleted"] = true;
  else
    O["value"] = R.Value_;
  return O;
}

http::Response Store::transact(const QJsonObject &Body) {
  const QJsonArray Conditions = Body["precondition"].toArray();
  const QJsonArray Sets = Body["set_keys"].toArray();
  const QJsonArray Removals = Body["remove"].toArray();
  if (Conditions.size() + Sets.size() + Removals.size() > MaxEntries)
    return jsonResponse(400, {});
  const auto PlaceOf = [](const QJsonObject &O) {
    return Place(text(O, "table"), text(O, "part"), text(O, "key"));
  };
  QJsonArray Current;
  bool Holds = true;
  for (const auto V : Conditions) {
    const QJsonObject O = V.toObject();
    const Place P = PlaceOf(O);
    Holds = Holds && versionOf(P) == O["ver"].toInteger();
    if (versionOf(P) > 0)
      Current.append(rowObject(P, Rows_.at(P)));
  }
  if (!Holds)
    return jsonResponse(412, withVersion({{"rows", Current}}));
  for (const QJsonArray &Entries : {Sets, Removals})
    for (const auto V : Entries) {
      const QJsonObject O = V.toObject();
      const QString Table = text(O, "table");
      if (Table == "op" || Table == "servers")
        return jsonResponse(403, {});
      if (QByteArray::fromBase64(text(O, "value").toLatin1()).size() >
          MaxRowBytes)
        return jsonResponse(400, {});
    }
  ++Version_;
  for (const auto V : Sets)
    Rows_[PlaceOf(V.toObject())] = {text(V.toObject(), "value"), Version_,
                                    false};
  for (const auto V : Removals)
    Rows_[PlaceOf(V.toObject())] = {QString(), Version_, true};
  return jsonResponse(200, withVersion({}));
}

http::Response Store::read(const http::Request &R) const {
  const QString Table = QString::fromUtf8(R.parameter("table"));
  const QString Part = QString::fromUtf8(R.parameter("part"));
  const QString From = QString::fromUtf8(R.parameter("from"));
  const qsizetype Limit = R.parameter("limit").toInt();
  const qsizetype Max = Limit > 0 ? std::min(Limit, MaxPageRows) : MaxPageRows;
  QJsonArray Found;
  bool More = false;
  for (auto It = Rows_.lower_bound({Table, Part, From}); It != Rows_.end();
       ++It) {
    if (std::get<0>(It->first) != Table || std::get<1>(It->first) != Part)
      break;
    if (It->second.Deleted_)
      continue;
    More = Found.size() == Max;
    if (More)
      break;
    Found.append(rowObject(It->first, It->second));
  }
  return jsonResponse(200, withVersion({{"rows", Found}, {"has_more", More}}));
}

QJsonArray Store::changes(const QString &Table, qint64 After) const {
  std::multimap<qint64, QJsonObject> Sorted;
  for (const auto &[P, R] : Rows_)
    if (std::get<0>(P) == Table && R.Version_ > After)
      Sorted.emplace(R.Version_, rowObject(P, R));
  QJsonArray Found;
  for (const auto &[Version, O] : Sorted)
    Found.append(O);
  return Found;
}

void Store::answerFeeds() {
  std::erase_if(Feeds_, [this](Waiting &W) {
    const QJsonArray Found = changes(W.Table_, W.After_);
    if (Found.isEmpty() && Clock_.elapsed() < W.DeadlineMs_)
      return false;
    W.To_.respond(jsonResponse(200, withVersion({{"rows", Found}})));
    return true;
  });
}

} // namespace heathercross::review
