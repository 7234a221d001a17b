// Serves the interface of the platform: table, objects, instance list, faults.
#include "platform.h"

#include "platform/documents.h"
#include "store/row-text.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

namespace heathercross::standin {
namespace {

QByteArray compact(const QJsonObject &Object) {
  return QJsonDocument(Object).toJson(QJsonDocument::Compact);
}

QJsonObject parseObject(const QByteArray &Body) {
  return QJsonDocument::fromJson(Body).object();
}

std::string textOf(const QJsonValue &Value) {
  return Value.toString().toStdString();
}

qint64 toSigned(RowVersion Version) {
  return static_cast<qint64>(Version.value());
}

RowVersion parseVersion(const QJsonValue &Value) {
  return RowVersion(static_cast<std::uint64_t>(Value.toInteger()));
}

using platform_api::RowPlace;
using platform_api::StoredRow;
using platform_api::StoreTransaction;

RowPlace parsePlace(const QJsonObject &O) {
  return {textOf(O["table"]), textOf(O["part"]), textOf(O["key"])};
}

StoreTransaction parseTransaction(const QJsonObject &Body) {
  StoreTransaction T;
  for (const QJsonValue E : Body["precondition"].toArray())
    T.Conditions_.push_back({parsePlace(E.toObject()), parseVersion(E["ver"])});
  for (const QJsonValue P : Body["set_keys"].toArray())
    T.Changes_.push_back(
        {parsePlace(P.toObject()),
         QByteArray::fromBase64(P["value"].toString().toLatin1())
             .toStdString()});
  for (const QJsonValue R : Body["remove"].toArray())
    T.Changes_.push_back({parsePlace(R.toObject()), std::nullopt});
  return T;
}

QJsonObject jsonOf(const StoredRow &R) {
  QJsonObject O{{"table", QString::fromStdString(R.Place_.Table_)},
                {"part", QString::fromStdString(R.Place_.Partition_)},
                {"key", QString::fromStdString(R.Place_.Key_)},
                {"ver", toSigned(R.Version_)}};
  if (R.Removed_)
    O["deleted"] = true;
  else
    O["value"] =
        QString::fromLatin1(QByteArray::fromStdString(R.Value_).toBase64());
  return O;
}

QJsonArray jsonOf(const std::vector<StoredRow> &Rows) {
  QJsonArray A;
  for (const StoredRow &R : Rows)
    A.append(jsonOf(R));
  return A;
}

bool isWrite(const HttpRequest &Request) {
  return Request.Method_ == "PUT" || Request.Path_ == "/-/rows-tx";
}

/// Returns true for calls of the tests, which are neither counted nor subject
/// to faults.
bool isControl(const HttpRequest &Request) {
  return Request.Path_ == "/fault" || Request.Path_ == "/stats" ||
         (Request.Path_ == "/instances" && Request.Method_ == "POST");
}

} // namespace

Platform::Platform(const PlatformOptions &Options)
    : Options_(Options), Faults_(Options.Seed_),
      Instances_(Options.LagMs_,
                 [this](const QJsonObject &Instance) {
                   HistoryLine Line("platform", "listed",
                                    textOf(Instance["id"]));
                   Line.text("state", textOf(Instance["state"]));
                   History_.write(Line);
                   registerWorker(Instance);
                 }),
      Server_([this](const HttpRequest &Request, const Responder &Respond) {
        handle(Request, Respond);
      }) {}

bool Platform::start() {
  return History_.open(Options_.History_) && Server_.listen(Options_.Port_);
}

void Platform::handle(const HttpRequest &Request, const Responder &Respond) {
  if (isControl(Request))
    return Respond(serve(Request));
  (isWrite(Request) ? Writes_ : Reads_).count(nowMicros());
  BytesIn_ += Request.Path_.size() + Request.Body_.size();
  const FaultEffect Effect =
      Faults_.drawEffect(Request.header("x-zone").toStdString());
  const auto Finish = [this, Effect, Request, Respond] {
    HttpResponse Response;
    if (Effect.Refuse_)
      Response = jsonResponse(R"({"error":"down"})", 503);
    else if (!Effect.Cut_)
      Response = serve(Request);
    if (Effect.Cut_ || Effect.LoseAnswer_)
      Response.Fault_ = ResponseFault::CloseWithoutResponse;
    BytesOut_ += Response.Body_.size();
    Respond(Response);
  };
  if (Effect.DelayMs_ == 0)
    return Finish();
  QTimer::singleShot(Effect.DelayMs_, this, Finish);
}

HttpResponse Platform::serve(const HttpRequest &Request) {
  if (Request.Path_ == "/-/rows-tx")
    return transact(Request);
  if (Request.Path_ == "/-/rows-get")
    return read(Request);
  if (Request.Path_ == "/-/rows-feed")
    return changes(Request);
  if (Request.Path_.startsWith("/-/blob-"))
    return object(Request);
  if (Request.Path_ == "/instances" && Request.Method_ == "POST")
    return changeInstance(Request);
  if (Request.Path_ == "/fault")
    return setFault(Request);
  if (Request.Path_ == "/stats")
    return stats();
  return jsonResponse(R"({"error":"no-such-path"})", 404);
}

HttpResponse Platform::rowsResponse(const QJsonArray &Found, bool More,
                                    int Status) const {
  return jsonResponse(compact({{"rows", Found},
                               {"has_more", More},
                               {"ver", toSigned(Rows_.version())},
                               {"now_ms", qint64(nowMicros() / 1000)}}),
                      Status);
}

HttpResponse Platform::transact(const HttpRequest &Request) {
  const StoreTransaction T = parseTransaction(parseObject(Request.Body_));
  if (const auto Conflict = Rows_.apply(T))
    return rowsResponse(jsonOf(*Conflict), false, 412);
  record(Request, T);
  return rowsResponse({}, false);
}

void Platform::record(const HttpRequest &Request, const StoreTransaction &T) {
  if (!History_.enabled())
    return;
  QJsonArray Put;
  QJsonArray Erase;
  std::string Attempt;
  for (const auto &Change : T.Changes_) {
    if (!Change.Value_) {
      Erase.append(QString::fromStdString(Change.Place_.Key_));
      continue;
    }
    const Row R =
        store::decodeRow(Change.Place_.Key_, RowVersion(), *Change.Value_);
    Attempt = R.Writer_.str();
    Put.append(QJsonObject{{"key", QString::fromStdString(R.Key_)},
                           {"value", QString::fromStdString(R.Value_)}});
  }
  HistoryLine Line("platform", "commit", Attempt);
  Line.number("version", toSigned(Rows_.version()))
      .text("by", Request.header("x-process").toStdString())
      .text("zone", Request.header("x-zone").toStdString())
      .json("put",
            QJsonDocument(Put).toJson(QJsonDocument::Compact).toStdString())
      .json("erase",
            QJsonDocument(Erase).toJson(QJsonDocument::Compact).toStdString());
  History_.write(Line);
}

HttpResponse Platform::read(const HttpRequest &Request) {
  const RowPage Page = Rows_.read(Request.parameter("table").toStdString(),
                                  Request.parameter("part").toStdString(),
                                  Request.parameter("from").toStdString(),
                                  Request.parameter("to").toStdString(),
                                  Request.parameter("limit").toULongLong());
  return rowsResponse(jsonOf(Page.Rows_), Page.More_);
}

HttpResponse Platform::changes(const HttpRequest &Request) {
  const RowVersion After(Request.parameter("after").toULongLong());
  return rowsResponse(
      jsonOf(Rows_.changes(Request.parameter("table").toStdString(), After)),
      false);
}

HttpResponse Platform::object(const HttpRequest &Request) {
  HttpResponse Response;
  const QByteArray Name = Request.Path_.mid(Request.Path_.lastIndexOf('/') + 1);
  const auto It = Objects_.find(Name);
  if (Request.Method_ == "PUT") {
    if (It != Objects_.end() && Request.header("if-none-match") == "*")
      return jsonResponse(R"({"error":"exists"})", 412);
    Objects_[Name] = Request.Body_;
    return jsonResponse("{}");
  }
  if (It == Objects_.end())
    return jsonResponse(R"({"error":"no-such-object"})", 404);
  Response.Headers_.emplace_back("Content-Type", "application/octet-stream");
  Response.Body_ = It->second;
  return Response;
}

void Platform::registerWorker(const QJsonObject &Instance) {
  const RowPlace Place{platform_api::WorkerTable, "", textOf(Instance["id"])};
  StoreTransaction T;
  if (textOf(Instance["state"]) == "gone")
    T.Changes_.push_back({Place, std::nullopt});
  else
    T.Changes_.push_back(
        {Place, compact(InstanceList::registration(Instance)).toStdString()});
  Rows_.apply(T);
}

HttpResponse Platform::changeInstance(const HttpRequest &Request) {
  Instances_.change(parseObject(Request.Body_));
  return jsonResponse("{}");
}

HttpResponse Platform::setFault(const HttpRequest &Request) {
  if (!Faults_.set(parseObject(Request.Body_)))
    return jsonResponse(R"({"error":"no-such-fault"})", 404);
  HistoryLine Line("platform", "fault", "platform");
  Line.json("fault", compact(parseObject(Request.Body_)).toStdString());
  History_.write(Line);
  return jsonResponse("{}");
}

HttpResponse Platform::stats() const {
  return jsonResponse(compact(
      {{"reads", static_cast<qint64>(Reads_.total())},
       {"writes", static_cast<qint64>(Writes_.total())},
       {"bytes_in", static_cast<qint64>(BytesIn_)},
       {"bytes_out", static_cast<qint64>(BytesOut_)},
       {"reads_per_s_max", static_cast<qint64>(Reads_.maxPerSecond())},
       {"writes_per_s_max", static_cast<qint64>(Writes_.maxPerSecond())}}));
}

} // namespace heathercross::standin
