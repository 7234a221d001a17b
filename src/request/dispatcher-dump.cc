// The request logic of one entry instance: its state as JSON.
#include "request/dispatcher.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <algorithm>

namespace heathercross::request {

namespace {
/// Maximum number of workers and pools in the dump.
constexpr qsizetype MaxWorkersShown = 64;
constexpr qsizetype MaxPoolsShown = 256;

QString text(std::string_view S) {
  return QString::fromUtf8(S.data(), static_cast<qsizetype>(S.size()));
}

QJsonValue number(std::uint64_t N) { return static_cast<qint64>(N); }

template <class Names, std::size_t N>
QJsonObject byName(const std::array<std::uint64_t, N> &Values,
                   const Names &Table) {
  QJsonObject Result;
  for (const auto &[Key, Name] : Table)
    if (const auto Count = Values.at(static_cast<std::size_t>(Key)))
      Result[text(Name)] = number(Count);
  return Result;
}

QJsonObject asJson(const Counters &C) {
  return {{"arrived", number(C.Arrived_)},
          {"outcomes", byName(C.Outcomes_, heathercross::detail::OutcomeNames)},
          {"reasons", byName(C.Reasons_, heathercross::detail::ReasonNames)},
          {"first_tries", number(C.FirstTries_)},
          {"retries", number(C.Retries_)},
          {"refusals", number(C.Refusals_)},
          {"overflowed", number(C.Overflowed_)},
          {"other_zone", number(C.OtherZone_)},
          {"fences", number(C.Fences_)},
          {"preempts", number(C.Preempts_)},
          {"claims_settled", number(C.ClaimsSettled_)},
          {"workers_avoided", number(C.WorkersAvoided_)}};
}

QJsonObject asJson(const WorkerState &W) {
  return {{"id", text(W.Name_.str())},
          {"pool", text(W.Pool_.str())},
          {"own_zone", W.OwnZone_},
          {"takes_work", W.TakesWork_},
          {"leaving", W.Leaving_},
          {"slots", number(W.SlotCount_)},
          {"share", number(W.SlotShare_)},
          {"in_flight", number(W.InFlight_)},
          {"busy", number(W.Busy_)},
          {"avoided_for_ms",
           static_cast<qint64>(toMillis(W.Health_.AvoidedFor_).count())}};
}

/// Returns whether the dump lists the worker.
bool notable(const WorkerState &W) {
  return W.InFlight_ != 0 || W.Leaving_ || W.Health_.AvoidedFor_.count() != 0;
}
} // namespace

std::string Dispatcher::dump() const {
  QJsonArray Pools;
  for (const auto &[Name, P] : Pools_)
    if (Pools.size() < MaxPoolsShown)
      Pools.append(QJsonObject{
          {"pool", text(Name.str())},
          {"queued", number(P.Queue_.size())},
          {"teams_waiting", number(P.Queue_.teams())},
          {"in_flight", number(P.InFlight_)},
          {"run_time_us",
           static_cast<qint64>(P.RunTime_.expected(Millis(0)).count())}});
  QJsonArray Workers;
  for (const WorkerState &W : Registry_.all())
    if (Workers.size() < MaxWorkersShown && notable(W))
      Workers.append(asJson(W));
  const QJsonObject State{{"stopping", Stopping_},
                          {"ready", HasFleet_},
                          {"open", number(OpenRequests_.size())},
                          {"queued", number(queued())},
                          {"in_flight", number(OpenTries_.size())},
                          {"workers", number(Registry_.all().size())},
                          {"retry_tokens", Budget_.tokens()},
                          {"counters", asJson(Counters_)},
                          {"pools", Pools},
                          {"notable_workers", Workers}};
  return QJsonDocument(State).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace heathercross::request
