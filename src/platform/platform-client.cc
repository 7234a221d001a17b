// The platform's table, object store and instance list over HTTP.
#include "platform/platform-client.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>
#include <QUrl>

#include <algorithm>
#include <ranges>

namespace heathercross::platform {

namespace {

constexpr int StatusOk = 200;
constexpr int StatusCreated = 201;
constexpr int StatusNotModified = 304;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusUnavailable = 503;

std::string escaped(const std::string &Text) {
  return QUrl::toPercentEncoding(QString::fromStdString(Text)).toStdString();
}

QString text(const std::string &S) { return QString::fromStdString(S); }

std::string text(const QJsonValue &V) { return V.toString().toStdString(); }

RowVersion version(const QJsonValue &V) {
  return RowVersion(static_cast<std::uint64_t>(V.toDouble()));
}

QJsonObject objectIn(const http::Reply &R) {
  return QJsonDocument::fromJson(R.Body_).object();
}

Row rowIn(const QJsonObject &O) {
  return {text(O["key"]), version(O["version"]), AttemptId(text(O["writer"])),
          text(O["value"])};
}

Expectation expectationIn(const QJsonValue &V) {
  const QJsonObject O = V.toObject();
  return {text(O["key"]), version(O["version"])};
}

QByteArray bodyOf(const Transaction &T) {
  QJsonArray Expect;
  for (const Expectation &E : T.Expect_)
    Expect.append(
        QJsonObject{{"key", text(E.Key_)},
                    {"version", static_cast<qint64>(E.Version_.value())}});
  QJsonArray Puts;
  for (const Put &P : T.Put_)
    Puts.append(QJsonObject{{"key", text(P.Key_)}, {"value", text(P.Value_)}});
  QJsonArray Erase;
  for (const std::string &Key : T.Erase_)
    Erase.append(text(Key));
  const QJsonObject All{{"attempt", text(T.Attempt_.str())},
                        {"expect", Expect},
                        {"put", Puts},
                        {"erase", Erase}};
  return QJsonDocument(All).toJson(QJsonDocument::Compact);
}

CommitResult commitResult(const http::Reply &R) {
  CommitResult Result;
  if (R.Delivery_ == http::Delivery::NeverSent)
    Result.Status_ = CommitStatus::Refused;
  if (R.Delivery_ != http::Delivery::Answered)
    return Result;
  const QJsonObject O = objectIn(R);
  if (R.Status_ == StatusUnavailable)
    Result.Status_ = CommitStatus::Refused;
  if (R.Status_ == StatusOk && O.contains("version")) {
    Result.Status_ = CommitStatus::Committed;
    Result.Version_ = version(O["version"]);
  }
  if (R.Status_ == StatusConflict) {
    Result.Status_ = CommitStatus::Conflict;
    std::ranges::transform(O["conflicts"].toArray(),
                           std::back_inserter(Result.Conflicts_),
                           expectationIn);
  }
  return Result;
}

ListedInstance listedIn(const QJsonValue &V) {
  const QJsonObject O = V.toObject();
  ListedInstance L;
  L.Name_ = InstanceId(text(O["id"]));
  L.Zone_ = ZoneId(text(O["zone"]));
  L.Rack_ = RackId(text(O["rack"]));
  L.Address_ = text(O["address"]);
  L.Leaving_ = text(O["state"]) == "leaving";
  L.Cores_ = static_cast<std::uint32_t>(O["cores"].toInt());
  L.MemoryMb_ = static_cast<std::uint32_t>(O["memory_mb"].toInt());
  return L;
}

bool answered(const http::Reply &R, std::initializer_list<int> Statuses) {
  return R.Delivery_ == http::Delivery::Answered &&
         std::ranges::find(Statuses, R.Status_) != Statuses.end();
}

} // namespace

Client::Client(http::Client &Http, ClientConfig Config)
    : Http_(Http), Config_(std::move(Config)) {}

http::Call Client::call(const char *Method, const std::string &Path) const {
  http::Call C;
  C.Method_ = Method;
  C.Url_ = "http://" + Config_.Address_ + Path;
  C.Headers_ = {"X-Zone: " + Config_.Zone_, "X-Process: " + Config_.Process_};
  C.Timeout_ = Config_.Timeout_;
  return C;
}

void Client::send(http::Call C, http::Client::Done OnDone) {
  auto Counted = [this, OnDone = std::move(OnDone)](const http::Reply &R) {
    Answering_ = R.Delivery_ == http::Delivery::Answered &&
                 R.Status_ != StatusUnavailable;
    Counters_.Failures_ += Answering_ ? 0 : 1;
    OnDone(R);
  };
  if (!Cut_)
    return Http_.send(std::move(C), std::move(Counted));
  http::Reply Unsent;
  Unsent.Delivery_ = http::Delivery::NeverSent;
  QTimer::singleShot(
      0, [Counted = std::move(Counted), Unsent] { Counted(Unsent); });
}

void Client::commit(const Transaction &T, const Done<CommitResult> &OnDone) {
  ++Counters_.Writes_;
  http::Call C = call("POST", "/table/commit");
  C.Body_ = bodyOf(T);
  C.Headers_.emplace_back("Content-Type: application/json");
  // A commit that the library repeated by itself would be a second writer.
  C.Fresh_ = true;
  send(std::move(C),
       [OnDone](const http::Reply &R) { OnDone(commitResult(R)); });
}

void Client::readRow(const std::string &Key, const Done<RowResult> &OnDone) {
  ++Counters_.Reads_;
  send(call("GET", "/table/row?key=" + escaped(Key)),
       [OnDone](const http::Reply &R) {
         RowResult Result;
         Result.Answered_ = answered(R, {StatusOk, StatusNotFound});
         if (Result.Answered_ && R.Status_ == StatusOk)
           Result.Row_ = rowIn(objectIn(R));
         OnDone(Result);
       });
}

void Client::scan(const std::string &Prefix, RowVersion After, unsigned Limit,
                  const Done<ScanResult> &OnDone) {
  ++Counters_.Reads_;
  const std::string Path = "/table/scan?prefix=" + escaped(Prefix) +
                           "&after=" + std::to_string(After.value()) +
                           "&limit=" + std::to_string(Limit);
  send(call("GET", Path), [OnDone](const http::Reply &R) {
    ScanResult Result;
    Result.Answered_ = answered(R, {StatusOk});
    const QJsonObject O = objectIn(R);
    Result.Version_ = version(O["version"]);
    Result.More_ = O["more"].toBool();
    std::ranges::transform(
        O["rows"].toArray(), std::back_inserter(Result.Rows_),
        [](const QJsonValue &V) { return rowIn(V.toObject()); });
    OnDone(Result);
  });
}

void Client::listInstances(const Done<ListResult> &OnDone) {
  ++Counters_.Reads_;
  http::Call C = call("GET", "/instances");
  if (!ListTag_.empty())
    C.Headers_.push_back("If-None-Match: " + ListTag_);
  send(std::move(C), [this, OnDone](const http::Reply &R) {
    if (answered(R, {StatusOk})) {
      ListTag_ = R.header("ETag");
      List_.clear();
      std::ranges::transform(objectIn(R)["instances"].toArray(),
                             std::back_inserter(List_), listedIn);
    }
    if (answered(R, {StatusOk, StatusNotModified}))
      OnDone({true, List_});
    else
      OnDone({});
  });
}

void Client::putObject(const std::string &Name, const QByteArray &Bytes,
                       const Done<ObjectResult> &OnDone) {
  ++Counters_.Writes_;
  http::Call C = call("PUT", "/object/" + escaped(Name));
  C.Body_ = Bytes;
  send(std::move(C), [OnDone](const http::Reply &R) {
    const bool Stored = answered(R, {StatusOk, StatusCreated});
    OnDone({Stored, Stored, {}});
  });
}

void Client::getObject(const std::string &Name,
                       const Done<ObjectResult> &OnDone) {
  ++Counters_.Reads_;
  send(call("GET", "/object/" + escaped(Name)), [OnDone](const http::Reply &R) {
    ObjectResult Result;
    Result.Answered_ = answered(R, {StatusOk, StatusNotFound});
    Result.Exists_ = Result.Answered_ && R.Status_ == StatusOk;
    Result.Bytes_ = R.Body_;
    OnDone(Result);
  });
}

std::string Client::dump() const {
  const QJsonObject O{{"address", text(Config_.Address_)},
                      {"answering", Answering_},
                      {"cut", Cut_},
                      {"reads", static_cast<qint64>(Counters_.Reads_)},
                      {"writes", static_cast<qint64>(Counters_.Writes_)},
                      {"failures", static_cast<qint64>(Counters_.Failures_)}};
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace heathercross::platform
