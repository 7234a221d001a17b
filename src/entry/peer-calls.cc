// Calls between entries: requests to the holder of a duty, health checks and
// exchange of cluster state.
#include "entry/peer-calls.h"

#include "platform/number.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <algorithm>
#include <array>
#include <cmath>

namespace heathercross::entry {

namespace {

using platform_api::optionalCount;

constexpr int Ok = 200;
constexpr std::string_view CallPath = "/call";
constexpr std::string_view EvacuatePath = "/vacate";
constexpr std::string_view PingPath = "/ping";
constexpr std::string_view ClusterStatePath = "/knowledge";
/// Field of arrival rates by account, in jobs per second.
constexpr const char *RatesField = "account_rates";
constexpr std::array<const char *, 4> KindNames{"submit", "state", "cancel",
                                                "queued"};
constexpr std::array<const char *, 8> AnswerNames{
    "accepted",    "rejected",  "not-holder", "known",
    "no-such-job", "malformed", "forbidden",  "ask-former"};

QString toQString(const std::string &T) { return QString::fromStdString(T); }
std::string toStdString(const QJsonValue &V) {
  return V.toString().toStdString();
}

template <std::size_t N>
std::optional<std::size_t> indexOf(const std::array<const char *, N> &Names,
                                   const std::string &Name) {
  const auto It = std::ranges::find(Names, Name);
  if (It == Names.end())
    return std::nullopt;
  return static_cast<std::size_t>(It - Names.begin());
}

http::Call makePost(const std::string &Address, std::string_view Path,
                    const QJsonObject &Body, Millis Timeout) {
  http::Call C;
  C.Method_ = "POST";
  C.Url_ = "http://" + Address + std::string(Path);
  C.Headers_ = {"Content-Type: application/json"};
  C.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  C.Timeout_ = Timeout;
  return C;
}

std::optional<QJsonObject> parseObject(const QByteArray &Body) {
  const QJsonDocument D = QJsonDocument::fromJson(Body);
  if (!D.isObject())
    return std::nullopt;
  return D.object();
}

QJsonArray poolNames(const std::set<PoolId> &Pools) {
  QJsonArray Names;
  for (const PoolId &P : Pools)
    Names.append(toQString(P.str()));
  return Names;
}

std::set<PoolId> parsePools(const QJsonValue &V) {
  std::set<PoolId> Pools;
  for (const auto Name : V.toArray())
    Pools.insert(PoolId(toStdString(Name)));
  return Pools;
}

std::optional<JobAnswer> parseAnswer(const QByteArray &Body) {
  const auto O = parseObject(Body);
  const auto Kind =
      O ? indexOf(AnswerNames, toStdString(O->value("answer"))) : std::nullopt;
  if (!Kind)
    return std::nullopt;
  JobAnswer A;
  A.Kind_ = static_cast<JobAnswer::Kind>(*Kind);
  A.State_ = static_cast<schedule::JobState>(O->value("state").toInt());
  A.Queued_ = static_cast<std::uint32_t>(O->value("queued").toInt());
  A.Uncertain_ = O->value("uncertain").toBool();
  A.RetryAfter_ = Millis(O->value("retry_after_ms").toInt());
  A.Cause_ = toStdString(O->value("cause"));
  A.Former_ = parsePools(O->value("former"));
  A.ClaimedFor_ = optionalCount(O->value("claimed_for")).value_or(0);
  return A;
}

std::optional<SharedClusterState> parseClusterState(const QByteArray &Body) {
  const auto O = parseObject(Body);
  if (!O || !O->value("holders").isObject())
    return std::nullopt;
  SharedClusterState K;
  K.Configuration_ = toStdString(O->value("configuration"));
  K.ConfigurationRow_ =
      RowVersion(optionalCount(O->value("configuration_row")).value_or(0));
  K.Zone_ = ZoneId(toStdString(O->value("zone")));
  if (const auto Age = optionalCount(O->value("configuration_age_ms")))
    K.ConfigurationAge_ = Millis(*Age);
  const QJsonObject Holders = O->value("holders").toObject();
  for (auto It = Holders.begin(); It != Holders.end(); ++It) {
    const QJsonArray Row = It.value().toArray();
    const auto H = decodeHolder(toStdString(Row.at(0)));
    const auto Version = optionalCount(Row.at(1));
    if (H && Version)
      K.Holders_[PoolId(It.key().toStdString())] = {*H, RowVersion(*Version)};
  }
  return K;
}

/// Adds arrival rates to a message. Without any the field is left out, so that
/// messages don't change where there are no accounts.
void putRates(QJsonObject &Body, const accounts::ArrivalRates &Rates) {
  if (Rates.empty())
    return;
  QJsonObject Fields;
  for (const auto &[Id, Rate] : Rates) {
    if (Fields.size() == static_cast<qsizetype>(accounts::MaxReportedAccounts))
      break;
    Fields[toQString(Id.str())] = Rate;
  }
  Body[RatesField] = Fields;
}

accounts::ArrivalRates parseRates(const QJsonObject &Body) {
  accounts::ArrivalRates Rates;
  const QJsonObject Fields = Body.value(RatesField).toObject();
  for (auto It = Fields.begin(); It != Fields.end(); ++It)
    if (It.value().toDouble() > 0 &&
        Rates.size() < accounts::MaxReportedAccounts)
      Rates[AccountId(It.key().toStdString())] = It.value().toDouble();
  return Rates;
}

int cpuMilli(const Context &C) {
  constexpr double MilliPerCore = 1000;
  return static_cast<int>(std::lround(C.Settings_.CpuShare_ * MilliPerCore));
}

http::Response jsonResponse(const QJsonObject &Body) {
  http::Response R;
  R.Status_ = Ok;
  R.Body_ = QJsonDocument(Body).toJson(QJsonDocument::Compact);
  return R;
}

} // namespace

void sendJobCall(Context &C, const std::string &Address, const JobCall &Call,
                 Millis Timeout,
                 std::function<void(const PeerReply &)> OnDone) {
  QJsonObject Body{{"kind", KindNames[static_cast<std::size_t>(Call.Kind_)]},
                   {"pool", toQString(Call.Pool_.str())},
                   {"queue", toQString(Call.Queue_.str())},
                   {"job", toQString(Call.Job_.str())},
                   {"epoch", static_cast<qint64>(Call.Epoch_.value())},
                   {"entry", toQString(C.Settings_.Name_.str())},
                   {"cpu_milli", cpuMilli(C)},
                   {"body", QString::fromUtf8(Call.Body_)}};
  if (!Call.Account_.empty())
    Body["account"] = toQString(Call.Account_.str());
  if (!Call.Ingress_.Ingress_.empty())
    Body["ingress"] = toQString(Call.Ingress_.Ingress_.str());
  // Absent for an ingress that has never moved.
  if (!Call.Ingress_.Asked_.empty()) {
    Body["asked"] = poolNames(Call.Ingress_.Asked_);
    Body["asked_for"] = static_cast<qint64>(Call.Ingress_.AskedFor_);
  }
  if (Call.Ingress_.FormerFor_ > 0)
    Body["former_for"] = static_cast<qint64>(Call.Ingress_.FormerFor_);
  C.Peers_.send(makePost(Address, CallPath, Body, Timeout),
                [OnDone = std::move(OnDone)](const http::Reply &R) {
                  PeerReply Reply;
                  if (R.Delivery_ == http::Delivery::NeverSent)
                    Reply.Kind_ = PeerReply::Kind::Unreachable;
                  if (R.Delivery_ == http::Delivery::Answered &&
                      R.Status_ == Ok)
                    if (const auto A = parseAnswer(R.Body_)) {
                      Reply.Kind_ = PeerReply::Kind::Answered;
                      Reply.Answer_ = *A;
                      Reply.Answer_.Uncertain_ |= R.Sent_ > 1;
                    }
                  OnDone(Reply);
                });
}

std::optional<JobCall> parseJobCall(const http::Request &R) {
  if (R.Path_ != QByteArrayView(CallPath.data(), CallPath.size()))
    return std::nullopt;
  const auto O = parseObject(R.Body_);
  const auto Kind =
      O ? indexOf(KindNames, toStdString(O->value("kind"))) : std::nullopt;
  const auto HolderEpoch = O ? optionalCount(O->value("epoch")) : std::nullopt;
  if (!Kind || !HolderEpoch)
    return std::nullopt;
  return JobCall{
      static_cast<JobCall::Kind>(*Kind),
      PoolId(toStdString(O->value("pool"))),
      schedule::QueueId(toStdString(O->value("queue"))),
      JobId(toStdString(O->value("job"))),
      O->value("body").toString().toUtf8(),
      Epoch(*HolderEpoch),
      AccountId(toStdString(O->value("account"))),
      EntryId(toStdString(O->value("entry"))),
      static_cast<std::uint32_t>(std::max(0, O->value("cpu_milli").toInt())),
      {schedule::IngressId(toStdString(O->value("ingress"))),
       parsePools(O->value("asked")),
       optionalCount(O->value("asked_for")).value_or(0),
       optionalCount(O->value("former_for")).value_or(0)}};
}

http::Response jobAnswerResponse(const JobAnswer &A) {
  QJsonObject Body{{"answer", AnswerNames[static_cast<std::size_t>(A.Kind_)]},
                   {"state", static_cast<int>(A.State_)},
                   {"queued", static_cast<int>(A.Queued_)},
                   {"uncertain", A.Uncertain_},
                   {"retry_after_ms", static_cast<int>(A.RetryAfter_.count())},
                   {"cause", toQString(A.Cause_)}};
  if (!A.Former_.empty()) {
    Body["former"] = poolNames(A.Former_);
    Body["claimed_for"] = static_cast<qint64>(A.ClaimedFor_);
  }
  return jsonResponse(Body);
}

QJsonObject evacuateBody(const EvacuateCall &Call) {
  QJsonArray Ids;
  for (const InstanceId &Id : Call.Workers_)
    Ids.append(toQString(Id.str()));
  QJsonObject Body{{"pool", toQString(Call.Pool_.str())}, {"workers", Ids}};
  putRates(Body, Call.OtherPools_);
  return Body;
}

void callEvacuate(Context &C, const std::string &Address,
                  const EvacuateCall &Call, Millis Timeout,
                  std::function<void(std::optional<PoolSnapshot>)> OnDone) {
  C.Peers_.send(makePost(Address, EvacuatePath, evacuateBody(Call), Timeout),
                [OnDone = std::move(OnDone)](const http::Reply &R) {
                  const bool Succeeded =
                      R.Delivery_ == http::Delivery::Answered &&
                      R.Status_ == Ok;
                  OnDone(Succeeded ? parseSnapshot(R.Body_) : std::nullopt);
                });
}

void ping(Context &C, const std::string &Address, Millis Timeout,
          std::function<void(bool Answered)> OnDone) {
  http::Call Call;
  Call.Url_ = "http://" + Address + std::string(PingPath);
  Call.Timeout_ = Timeout;
  // A kept-alive connection may be dead though the process answers.
  Call.NewConnection_ = true;
  C.Peers_.send(std::move(Call),
                [OnDone = std::move(OnDone)](const http::Reply &R) {
                  OnDone(R.Delivery_ == http::Delivery::Answered);
                });
}

bool isPing(const http::Request &R) {
  return R.Path_ == QByteArrayView(PingPath.data(), PingPath.size());
}

void requestClusterState(
    Context &C, const std::string &Address, Millis Timeout,
    std::function<void(std::optional<SharedClusterState>)> OnDone) {
  C.Peers_.send(makePost(Address, ClusterStatePath, {}, Timeout),
                [OnDone = std::move(OnDone)](const http::Reply &R) {
                  const bool Succeeded =
                      R.Delivery_ == http::Delivery::Answered &&
                      R.Status_ == Ok;
                  OnDone(Succeeded ? parseClusterState(R.Body_) : std::nullopt);
                });
}

bool isClusterStateCall(const http::Request &R) {
  return R.Path_ ==
         QByteArrayView(ClusterStatePath.data(), ClusterStatePath.size());
}

http::Response clusterStateResponse(const SharedClusterState &K) {
  QJsonObject Holders;
  for (const auto &[Pool, H] : K.Holders_)
    Holders[toQString(Pool.str())] =
        QJsonArray{toQString(encodeHolder(H.Row_)),
                   static_cast<qint64>(H.Version_.value())};
  QJsonObject Body{
      {"holders", Holders},
      {"configuration", toQString(K.Configuration_)},
      {"zone", toQString(K.Zone_.str())},
      {"configuration_row", static_cast<qint64>(K.ConfigurationRow_.value())}};
  if (K.ConfigurationAge_)
    Body["configuration_age_ms"] =
        static_cast<qint64>(K.ConfigurationAge_->count());
  return jsonResponse(Body);
}

std::optional<EvacuateCall> parseEvacuateCall(const http::Request &R) {
  if (R.Path_ != QByteArrayView(EvacuatePath.data(), EvacuatePath.size()))
    return std::nullopt;
  const auto O = parseObject(R.Body_);
  if (!O || !O->value("pool").isString())
    return std::nullopt;
  EvacuateCall Call;
  Call.Pool_ = PoolId(toStdString(O->value("pool")));
  for (const auto V : O->value("workers").toArray())
    Call.Workers_.insert(InstanceId(toStdString(V)));
  Call.OtherPools_ = parseRates(*O);
  return Call;
}

http::Response snapshotResponse(const PoolSnapshot &P) {
  QJsonObject Loads;
  for (const auto &[Id, L] : P.Loads_)
    Loads[toQString(Id.str())] =
        QJsonArray{static_cast<int>(L.Runs_), static_cast<int>(L.LongRunning_),
                   L.Evacuating_};
  QJsonObject Body{{"running", P.Demand_.Running_},
                   {"waiting_in_time", P.Demand_.WaitingInTime_},
                   {"waiting_late", P.Demand_.WaitingLate_},
                   {"lasting", P.Demand_.LongRunning_},
                   {"min_workers", static_cast<int>(P.Demand_.MinWorkers_)},
                   {"arriving", P.Demand_.Arriving_},
                   {"cores", P.Cores_},
                   {"loads", Loads}};
  putRates(Body, P.AccountRates_);
  return jsonResponse(Body);
}

std::optional<PoolSnapshot> parseSnapshot(const QByteArray &Body) {
  const auto O = parseObject(Body);
  if (!O || !O->value("loads").isObject())
    return std::nullopt;
  PoolSnapshot P;
  P.Demand_ = {O->value("running").toDouble(),
               O->value("waiting_in_time").toDouble(),
               O->value("waiting_late").toDouble(),
               O->value("lasting").toDouble(),
               static_cast<std::uint32_t>(O->value("min_workers").toInt()),
               O->value("arriving").toDouble()};
  P.Cores_ = O->value("cores").toDouble();
  P.AccountRates_ = parseRates(*O);
  const QJsonObject Loads = O->value("loads").toObject();
  for (auto It = Loads.begin(); It != Loads.end(); ++It) {
    const QJsonArray A = It.value().toArray();
    P.Loads_[InstanceId(It.key().toStdString())] = {
        static_cast<std::uint32_t>(A.at(0).toInt()),
        static_cast<std::uint32_t>(A.at(1).toInt()), A.at(2).toBool()};
  }
  return P;
}

} // namespace heathercross::entry
