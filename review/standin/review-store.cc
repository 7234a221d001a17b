// A stand-in of the platform's metadata store: rows, reads and the feed.
#include "review-store.h"

#include "review-record.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

#include <algorithm>

namespace heathercross::review {

namespace {

using standin::HttpRequest;
using standin::HttpResponse;
using standin::Responder;

/// The figures of the settings example: time of an answer and of a transaction,
/// and the largest value of a row.
constexpr int AnswerMs = 4;
constexpr int TransactionMs = 6;
constexpr qsizetype RowBytes = 65'536;
constexpr std::size_t PageRows = 500;

HttpResponse objectResponse(const QJsonObject &O, int Status) {
  return standin::jsonResponse(QJsonDocument(O).toJson(QJsonDocument::Compact),
                               Status);
}

} // namespace

Store::Store()
    : Server_([this](const HttpRequest &R, const Responder &To) {
        handle(R, To);
      }) {
  Server_.listen(0);
}

QString Store::address() const {
  return QString("127.0.0.1:%1").arg(Server_.port());
}

void Store::put(const QString &Table, const QString &Key,
                const QJsonObject &Value) {
  Rows_[{Table, "", Key}] = {
      QJsonDocument(Value).toJson(QJsonDocument::Compact), ++Version_, false};
  wakeWatchers();
}

void Store::remove(const QString &Table, const QString &Key) {
  Rows_[{Table, "", Key}] = {QByteArray(), ++Version_, true};
  wakeWatchers();
}

QByteArray Store::value(const QString &Table, const QString &Part,
                        const QString &Key) const {
  const auto It = Rows_.find({Table, Part, Key});
  return It == Rows_.end() ? QByteArray() : It->second.Value_;
}

void Store::handle(const HttpRequest &R, const Responder &To) {
  if (R.Path_ == "/-/rows-feed")
    return QTimer::singleShot(AnswerMs, this, [this, R, To] { feed(R, To); });
  if (R.Path_ == "/-/rows-get")
    return QTimer::singleShot(AnswerMs, this, [this, R, To] { To(read(R)); });
  if (R.Path_ == "/-/rows-tx")
    return QTimer::singleShot(TransactionMs, this, [this, R, To] {
      To(transact(QJsonDocument::fromJson(R.Body_).object()));
    });
  To(objectResponse({}, 404));
}

QJsonObject Store::rowObject(const Place &P, const Row &R) {
  QJsonObject O{{"table", std::get<0>(P)},
                {"part", std::get<1>(P)},
                {"key", std::get<2>(P)},
                {"ver", static_cast<qint64>(R.Version_)}};
  if (R.Removed_)
    O["deleted"] = true;
  else
    O["value"] = QString::fromLatin1(R.Value_.toBase64());
  return O;
}

HttpResponse Store::answer(const QJsonArray &Rows, bool More,
                           int Status) const {
  return objectResponse({{"rows", Rows},
                         {"has_more", More},
                         {"ver", static_cast<qint64>(Version_)},
                         {"now_ms", static_cast<qint64>(nowMs())}},
                        Status);
}

HttpResponse Store::transact(const QJsonObject &Body) {
  const auto PlaceOf = [](const QJsonValue &V) {
    return Place{V["table"].toString(), V["part"].toString(),
                 V["key"].toString()};
  };
  bool Holds = true;
  QJsonArray Current;
  for (const QJsonValue V : Body["precondition"].toArray()) {
    const auto It = Rows_.find(PlaceOf(V));
    const bool Exists = It != Rows_.end() && !It->second.Removed_;
    if (Exists)
      Current.append(rowObject(It->first, It->second));
    Holds = Holds && V["ver"].toInteger() == (Exists ? It->second.Version_ : 0);
  }
  if (!Holds)
    return answer(Current, false, 412);
  const QJsonArray Puts = Body["set_keys"].toArray();
  const auto ValueOf = [](const QJsonValue &V) {
    return QByteArray::fromBase64(V["value"].toString().toLatin1());
  };
  if (std::any_of(Puts.begin(), Puts.end(), [&](const QJsonValue &V) {
        return ValueOf(V).size() > RowBytes;
      })) {
    ++Oversized_;
    return objectResponse({{"error", "row_bytes"}}, 400);
  }
  ++Version_;
  for (const QJsonValue V : Puts)
    Rows_[PlaceOf(V)] = {ValueOf(V), Version_, false};
  for (const QJsonValue V : Body["remove"].toArray())
    Rows_[PlaceOf(V)] = {QByteArray(), Version_, true};
  wakeWatchers();
  return answer({}, false);
}

HttpResponse Store::read(const HttpRequest &R) const {
  const QString Table = QString::fromUtf8(R.parameter("table"));
  const QString Part = QString::fromUtf8(R.parameter("part"));
  const auto Asked = R.parameter("limit").toULongLong();
  const std::size_t Limit =
      Asked == 0 ? PageRows : std::min<std::size_t>(Asked, PageRows);
  QJsonArray Found;
  for (auto It = Rows_.lower_bound(
           {Table, Part, QString::fromUtf8(R.parameter("from"))});
       It != Rows_.end() && std::get<0>(It->first) == Table &&
       std::get<1>(It->first) == Part;
       ++It) {
    if (It->second.Removed_)
      continue;
    if (static_cast<std::size_t>(Found.size()) == Limit)
      return answer(Found, true);
    Found.append(rowObject(It->first, It->second));
  }
  return answer(Found, false);
}

QJsonArray Store::changes(const QString &Table, std::int64_t After) const {
  std::vector<std::pair<std::int64_t, QJsonObject>> Found;
  for (const auto &[P, R] : Rows_)
    if (std::get<0>(P) == Table && R.Version_ > After)
      Found.emplace_back(R.Version_, rowObject(P, R));
  std::ranges::stable_sort(Found, {}, [](const auto &E) { return E.first; });
  QJsonArray Out;
  for (const auto &[Version, Object] : Found)
    Out.append(Object);
  return Out;
}

void Store::feed(const HttpRequest &R, const Responder &To) {
  const QString Table = QString::fromUtf8(R.parameter("table"));
  const std::int64_t After = R.parameter("after").toLongLong();
  const int WaitMs = R.parameter("wait_ms").toInt();
  const QJsonArray Found = changes(Table, After);
  if (!Found.isEmpty() || WaitMs == 0)
    return To(answer(Found, false));
  const int Id = ++LastWatcher_;
  Watchers_.emplace(Id, Watcher{Table, After, To});
  QTimer::singleShot(WaitMs, this, [this, Id] {
    const auto It = Watchers_.find(Id);
    if (It == Watchers_.end())
      return;
    const Responder Waiting = It->second.To_;
    Watchers_.erase(It);
    Waiting(answer({}, false));
  });
}

void Store::wakeWatchers() {
  std::vector<std::pair<Responder, QJsonArray>> Ready;
  for (auto It = Watchers_.begin(); It != Watchers_.end();) {
    QJsonArray Found = changes(It->second.Table_, It->second.After_);
    if (Found.isEmpty()) {
      ++It;
      continue;
    }
    Ready.emplace_back(It->second.To_, std::move(Found));
    It = Watchers_.erase(It);
  }
  for (const auto &[To, Rows] : Ready)
    To(answer(Rows, false));
}

} // namespace heathercross::review
