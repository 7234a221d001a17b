// Read-only views of the fleet for operators, as JSON.
#include "daemon/fleet-api.h"

#include "daemon/error-response.h"
#include "daemon/ticket-service.h"
#include "fleet/availability.h"
#include "fleet/rows.h"
#include "fleet/wave.h"
#include "view/codec.h"

#include <QJsonArray>

#include <algorithm>
#include <iterator>
#include <ranges>

namespace heathercross::daemon {

namespace {

QString text(std::string_view S) {
  return QString::fromUtf8(S.data(), static_cast<qsizetype>(S.size()));
}

template <class Map> QJsonArray toJsonArray(const Map &Objects) {
  QJsonArray All;
  for (const auto &[Name, Object] : Objects)
    All.append(view::toJson(Object));
  return All;
}

QJsonObject reportJson(const fleet::WaveReport &R) {
  return {{"name", text(R.Wave_.str())},
          {"pool", text(R.Pool_.str())},
          {"state", text(fleet::name(R.State_))},
          {"obstacle", text(fleet::name(R.Obstacle_))},
          {"done", static_cast<int>(R.Done_)},
          {"in_progress", static_cast<int>(R.InProgress_)},
          {"total", static_cast<int>(R.Total_)}};
}

} // namespace

QJsonObject FleetApi::view() const {
  const View &V = View_.view();
  QJsonObject Versions;
  const auto AddVersions = [&](const auto &Objects) {
    for (const auto &[Name, Object] : Objects) {
      const view::ObjectKey Key = view::keyOf(Object);
      Versions[text(Key.str())] =
          static_cast<qint64>(View_.store().versionOf(Key).value());
    }
  };
  AddVersions(V.Pools_);
  AddVersions(V.Budgets_);
  AddVersions(V.Waves_);
  AddVersions(V.Quotas_);
  return {{"head", static_cast<qint64>(V.Head_.value())},
          {"pools", toJsonArray(V.Pools_)},
          {"budgets", toJsonArray(V.Budgets_)},
          {"waves", toJsonArray(V.Waves_)},
          {"quotas", toJsonArray(V.Quotas_)},
          {"versions", Versions}};
}

fleet::Snapshot FleetApi::snapshot() const {
  fleet::Snapshot S;
  S.Now_ = Clock_.now();
  S.View_ = View_.view();
  S.Instances_ = Feed_.instances();
  S.Workers_ = Feed_.statuses();
  return S;
}

QJsonObject FleetApi::pools() const {
  const fleet::Snapshot S = snapshot();
  QJsonArray All;
  for (const auto &[Name, P] : S.View_.Pools_) {
    const fleet::PoolSnapshot PoolState = fleet::makePoolSnapshot(S, Name);
    QJsonObject O = view::toJson(P);
    O["members"] = static_cast<int>(PoolState.Members_.size());
    O["min_available"] = static_cast<int>(PoolState.MinAvailable_);
    All.append(O);
  }
  return {{"pools", All}};
}

QJsonObject FleetApi::instances() const {
  QJsonArray All;
  for (const auto &[Name, Record] : Feed_.instances())
    All.append(view::toJson(Record.Row_));
  return {{"instances", All}};
}

void FleetApi::waves(http::Responder Responder) {
  const auto S = std::make_shared<fleet::Snapshot>(snapshot());
  std::vector<PoolId> Pools;
  for (const auto &[Name, W] : S->View_.Waves_)
    if (std::ranges::find(Pools, W.Pool_) == Pools.end())
      Pools.push_back(W.Pool_);
  readPermits(std::move(Pools), S, std::move(Responder));
}

void FleetApi::readPermits(std::vector<PoolId> Remaining,
                           const std::shared_ptr<fleet::Snapshot> &S,
                           http::Responder Responder) {
  if (Remaining.empty()) {
    std::vector<fleet::WaveReport> Reports;
    for (const auto &[Name, P] : S->View_.Pools_)
      std::ranges::copy(
          fleet::reportWaves(S->View_, fleet::makePoolSnapshot(*S, Name)),
          std::back_inserter(Reports));
    QJsonArray All;
    std::ranges::transform(Reports, std::back_inserter(All), reportJson);
    Responder.respond(jsonResponse(200, {{"waves", All}}));
    return;
  }
  const PoolId Pool = Remaining.back();
  Remaining.pop_back();
  Platform_.readRow(
      fleet::permitKey(Pool),
      [this, Pool, Remaining, S, Responder](const store::RowResult &R) mutable {
        if (!R.Answered_) {
          Responder.respond(errorResponse(Unavailable, PlatformUnreachable()));
          return;
        }
        if (R.Row_)
          S->Permits_[Pool] = fleet::decodePermit(*R.Row_);
        readPermits(Remaining, S, Responder);
      });
}

} // namespace heathercross::daemon
