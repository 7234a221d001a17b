// Keys and JSON encoding of the table rows that the fleet duty owns.
#include "fleet/rows.h"

#include "heathercross/error.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>
#include <array>
#include <utility>

namespace heathercross::fleet {

namespace {

constexpr std::array<std::pair<InstanceState, const char *>, 5> StateNames{{
    {InstanceState::Active, "active"},
    {InstanceState::Draining, "draining"},
    {InstanceState::Rebooting, "rebooting"},
    {InstanceState::Ejected, "ejected"},
    {InstanceState::Leaving, "leaving"},
}};

QString toQString(const std::string &S) { return QString::fromStdString(S); }

std::string compactJson(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject parseObject(const Row &From) {
  const auto Bytes = QByteArray::fromStdString(From.Value_);
  const auto Document = QJsonDocument::fromJson(Bytes);
  if (!Document.isObject())
    raise(FormatError(From.Key_, "not a JSON object"));
  return Document.object();
}

std::string stringField(const Row &From, const QJsonObject &O,
                        const char *Name) {
  const auto Value = O[QLatin1String(Name)];
  if (!Value.isString())
    raise(FormatError(From.Key_ + "." + Name, "not a text string"));
  return Value.toString().toStdString();
}

InstanceState parseState(const Row &From, const std::string &Word) {
  const auto Found = std::ranges::find_if(
      StateNames, [&](const auto &Pair) { return Pair.second == Word; });
  if (Found == StateNames.end())
    raise(FormatError(From.Key_ + ".state", "unknown state " + Word));
  return Found->first;
}

template <class IdType>
QJsonArray toJsonArray(const std::vector<IdType> &Names) {
  QJsonArray Result;
  for (const auto &Name : Names)
    Result.append(toQString(Name.str()));
  return Result;
}

template <class IdType> std::vector<IdType> parseIds(const QJsonValue &Array) {
  std::vector<IdType> Result;
  for (const auto Value : Array.toArray())
    Result.emplace_back(Value.toString().toStdString());
  return Result;
}

} // namespace

std::string instanceKey(const InstanceId &Name) {
  return "instance/" + Name.str();
}

std::string permitKey(const PoolId &Pool) { return "permit/" + Pool.str(); }

std::string leaseKey(const PoolId &Pool) { return "lease/fleet-" + Pool.str(); }

const char *name(InstanceState State) {
  const auto Found = std::ranges::find(
      StateNames, State, &std::pair<InstanceState, const char *>::first);
  return Found->second;
}

std::string encode(const InstanceRow &Row) {
  return compactJson({{"id", toQString(Row.Name_.str())},
                      {"pool", toQString(Row.Pool_.str())},
                      {"zone", toQString(Row.Zone_.str())},
                      {"rack", toQString(Row.Rack_.str())},
                      {"address", toQString(Row.Address_)},
                      {"state", name(Row.State_)},
                      {"done_wave", toQString(Row.DoneWave_.str())},
                      {"boot", toQString(Row.Boot_)}});
}

std::string encode(const PermitRecord &Permit) {
  return compactJson({{"epoch", qint64(Permit.Epoch_.value())},
                      {"held", toJsonArray(Permit.Held_)},
                      {"finished", toJsonArray(Permit.Finished_)}});
}

InstanceRecord decodeInstance(const Row &From) {
  const auto O = parseObject(From);
  InstanceRow Row;
  Row.Name_ = InstanceId(stringField(From, O, "id"));
  Row.Pool_ = PoolId(stringField(From, O, "pool"));
  Row.Zone_ = ZoneId(stringField(From, O, "zone"));
  Row.Rack_ = RackId(stringField(From, O, "rack"));
  Row.Address_ = stringField(From, O, "address");
  Row.State_ = parseState(From, stringField(From, O, "state"));
  Row.DoneWave_ = WaveId(O["done_wave"].toString().toStdString());
  Row.Boot_ = O["boot"].toString().toStdString();
  return {std::move(Row), From.Version_};
}

PermitRecord decodePermit(const Row &From) {
  const auto O = parseObject(From);
  if (!O["epoch"].isDouble() || !O["held"].isArray())
    raise(FormatError(From.Key_,
                      "epoch or held is missing or has the wrong type"));
  PermitRecord Permit;
  Permit.Epoch_ = Epoch(static_cast<std::uint64_t>(O["epoch"].toInteger()));
  Permit.Held_ = parseIds<InstanceId>(O["held"]);
  Permit.Finished_ = parseIds<WaveId>(O["finished"]);
  Permit.Version_ = From.Version_;
  return Permit;
}

} // namespace heathercross::fleet
