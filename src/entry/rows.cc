// Encoding of the rows that heathercross itself keeps in the store.
#include "entry/rows.h"

#include "platform/number.h"

#include <QJsonArray>
#include <QJsonDocument>

#include <limits>

namespace heathercross::entry {

namespace {

using platform_api::optionalCount;

QString toQString(const std::string &T) { return QString::fromStdString(T); }

std::optional<QJsonObject> parseObject(const std::string &Text) {
  const auto D = QJsonDocument::fromJson(QByteArray::fromStdString(Text));
  if (!D.isObject())
    return std::nullopt;
  return D.object();
}

std::string encodeObject(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

/// Without a readable time the worker's runs may go on for as long as any.
std::optional<RosterEntry> parseRosterEntry(const QJsonValue &V) {
  if (V.isString())
    return RosterEntry{V.toString().toStdString(), std::nullopt};
  const QJsonObject O = V.toObject();
  if (!O["address"].isString())
    return std::nullopt;
  RosterEntry E{O["address"].toString().toStdString(), std::nullopt};
  if (const auto EndBy = optionalCount(O["runs_end_by"]); EndBy && *EndBy > 0)
    E.RunsEndBy_ = Millis(*EndBy);
  return E;
}

std::optional<schedule::QueueSettings> parseQueue(const QJsonValue &V,
                                                  const PoolId &Pool) {
  const QJsonObject O = V.toObject();
  const auto Priority = optionalCount(O["priority"]);
  const auto MaxFailures = optionalCount(O["max_failures"]);
  const auto SlackMs = optionalCount(O["objective_slack_ms"]);
  constexpr auto Max = std::numeric_limits<std::uint32_t>::max();
  if (!Priority || *Priority > Max || !MaxFailures || *MaxFailures < 1 ||
      *MaxFailures > Max || !SlackMs || O["objective_factor"].toDouble(-1) < 0)
    return std::nullopt;
  schedule::QueueSettings Q;
  Q.Pool_ = Pool;
  Q.Priority_ = static_cast<std::uint32_t>(*Priority);
  Q.MaxFailures_ = static_cast<std::uint32_t>(*MaxFailures);
  Q.ObjectiveFactor_ = O["objective_factor"].toDouble();
  Q.ObjectiveSlack_ = Millis(*SlackMs);
  Q.NeedsAdvice_ = O["needs_advice"].toBool();
  Q.Ingress_ = schedule::IngressId(O["ingress"].toString().toStdString());
  // Rows of earlier versions lack the times.
  const auto Time = [&O](const char *Name) {
    return Millis(optionalCount(O[Name]).value_or(0));
  };
  Q.AdviceTimes_ = {Time("advice_decide_ms"), Time("advice_each_ms"),
                    Time("advice_valid_ms")};
  return Q;
}

} // namespace

std::string encodeHolder(const schedule::HolderRow &H) {
  return encodeObject({{"holder", toQString(H.Holder_.str())},
                       {"address", toQString(H.Address_)},
                       {"epoch", static_cast<qint64>(H.Epoch_.value())},
                       {"serial", static_cast<qint64>(H.Serial_)}});
}

std::optional<schedule::HolderRow> decodeHolder(const std::string &Text) {
  const auto O = parseObject(Text);
  if (!O || !O->value("holder").isString() || !O->value("epoch").isDouble())
    return std::nullopt;
  const auto HolderEpoch = optionalCount(O->value("epoch"));
  const auto Serial = optionalCount(O->value("serial"));
  if (!HolderEpoch || !Serial)
    return std::nullopt;
  return schedule::HolderRow{
      EntryId(O->value("holder").toString().toStdString()),
      O->value("address").toString().toStdString(), Epoch(*HolderEpoch),
      *Serial};
}

std::string encodeJob(const JobRow &J) {
  QJsonObject O{
      {"queue", toQString(J.Queue_.str())},
      {"body", QString::fromUtf8(J.Body_)},
      {"accepted", static_cast<qint64>(J.Accepted_.time_since_epoch().count())},
      {"epoch", static_cast<qint64>(J.Epoch_.value())}};
  if (!J.Account_.empty())
    O["account"] = toQString(J.Account_.str());
  return encodeObject(O);
}

std::optional<JobRow> decodeJob(const std::string &Text) {
  const auto O = parseObject(Text);
  if (!O || !O->value("queue").isString() || !O->value("body").isString())
    return std::nullopt;
  const auto Accepted = optionalCount(O->value("accepted"));
  const auto HolderEpoch = optionalCount(O->value("epoch"));
  if (!Accepted || !HolderEpoch)
    return std::nullopt;
  return JobRow{schedule::QueueId(O->value("queue").toString().toStdString()),
                O->value("body").toString().toUtf8(),
                schedule::WallTime(Millis(*Accepted)), Epoch(*HolderEpoch),
                AccountId(O->value("account").toString().toStdString())};
}

std::string encodeRoster(const Roster &R) {
  QJsonObject O;
  for (const auto &[Id, E] : R) {
    if (!E.RunsEndBy_) {
      O[toQString(Id.str())] = toQString(E.Address_);
      continue;
    }
    O[toQString(Id.str())] = QJsonObject{
        {"address", toQString(E.Address_)},
        {"runs_end_by", static_cast<qint64>(E.RunsEndBy_->count())}};
  }
  return encodeObject(O);
}

Roster decodeRoster(const std::string &Text) {
  Roster R;
  if (const auto O = parseObject(Text))
    for (auto It = O->begin(); It != O->end(); ++It)
      if (auto E = parseRosterEntry(It.value()))
        R[InstanceId(It.key().toStdString())] = std::move(*E);
  return R;
}

std::string encodeQueues(const StoredQueues &Queues) {
  QJsonObject O;
  for (const auto &[Id, Q] : Queues)
    O[toQString(Id.str())] = QJsonObject{
        {"priority", static_cast<qint64>(Q.Priority_)},
        {"max_failures", static_cast<qint64>(Q.MaxFailures_)},
        {"objective_factor", Q.ObjectiveFactor_},
        {"objective_slack_ms", static_cast<qint64>(Q.ObjectiveSlack_.count())},
        {"needs_advice", Q.NeedsAdvice_},
        {"ingress", toQString(Q.Ingress_.str())},
        {"advice_decide_ms",
         static_cast<qint64>(Q.AdviceTimes_.Decide_.count())},
        {"advice_each_ms", static_cast<qint64>(Q.AdviceTimes_.Each_.count())},
        {"advice_valid_ms",
         static_cast<qint64>(Q.AdviceTimes_.Valid_.count())}};
  return encodeObject(O);
}

StoredQueues decodeQueues(const std::string &Text, const PoolId &Pool) {
  StoredQueues Queues;
  if (const auto O = parseObject(Text))
    for (auto It = O->begin(); It != O->end(); ++It)
      if (const auto Q = parseQueue(It.value(), Pool))
        Queues[schedule::QueueId(It.key().toStdString())] = *Q;
  return Queues;
}

std::string encodeMachines(const std::set<schedule::MachineId> &Machines) {
  QJsonArray A;
  for (const schedule::MachineId &Id : Machines)
    A.append(toQString(Id.str()));
  return QJsonDocument(A).toJson(QJsonDocument::Compact).toStdString();
}

std::set<schedule::MachineId> decodeMachines(const std::string &Text) {
  std::set<schedule::MachineId> Ids;
  const auto A =
      QJsonDocument::fromJson(QByteArray::fromStdString(Text)).array();
  for (const auto V : A)
    Ids.insert(schedule::MachineId(V.toString().toStdString()));
  return Ids;
}

std::string encodeOwners(const schedule::IngressOwners &Owners) {
  QJsonObject O;
  for (const auto &[Pool, Version] : Owners)
    O[toQString(Pool.str())] = static_cast<qint64>(Version);
  return encodeObject(O);
}

schedule::IngressOwners decodeOwners(const std::string &Text) {
  schedule::IngressOwners Owners;
  if (const auto O = parseObject(Text))
    for (auto It = O->begin(); It != O->end(); ++It)
      if (const auto Version = optionalCount(It.value()))
        Owners[PoolId(It.key().toStdString())] = *Version;
  return Owners;
}

std::string encodeIngresses(const schedule::IngressStates &States) {
  QJsonObject O;
  for (const auto &[Id, S] : States) {
    QJsonArray Former;
    for (const PoolId &P : S.Former_)
      Former.append(toQString(P.str()));
    O[toQString(Id.str())] =
        QJsonObject{{"claimed", static_cast<qint64>(S.Claimed_)},
                    {"sealed", static_cast<qint64>(S.Sealed_)},
                    {"former", Former}};
  }
  return encodeObject(O);
}

schedule::IngressStates decodeIngresses(const std::string &Text) {
  schedule::IngressStates States;
  if (const auto O = parseObject(Text))
    for (auto It = O->begin(); It != O->end(); ++It) {
      const QJsonObject Fields = It.value().toObject();
      const auto Claimed = optionalCount(Fields["claimed"]);
      const auto Sealed = optionalCount(Fields["sealed"]);
      if (!It.value().isObject() || !Claimed || !Sealed)
        continue;
      schedule::IngressState S{*Claimed, *Sealed, {}};
      for (const auto V : Fields["former"].toArray())
        S.Former_.insert(PoolId(V.toString().toStdString()));
      States[schedule::IngressId(It.key().toStdString())] = std::move(S);
    }
  return States;
}

} // namespace heathercross::entry
