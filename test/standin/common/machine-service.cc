// A model of the platform's machine API.
#include "standin/common/machine-service.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <algorithm>
#include <utility>

namespace heathercross::standin {

namespace {

constexpr std::chrono::milliseconds UpkeepTime{2000};

HttpResponse conflict(const char *Reason) {
  const QJsonObject O{{"reason", Reason}};
  return jsonResponse(QJsonDocument(O).toJson(QJsonDocument::Compact), 409);
}

} // namespace

MachineService::MachineService(int Count)
    : Server_(
          [this](const HttpRequest &R, const Responder &To) { serve(R, To); }) {
  for (const std::string &Name : names(Count))
    Machines_[Name] = {};
  Server_.listen(0);
}

std::vector<std::string> MachineService::names(int Count) {
  std::vector<std::string> Names;
  Names.reserve(static_cast<std::size_t>(Count));
  for (int I = 0; I < Count; ++I)
    Names.push_back("m-" + std::to_string(I));
  return Names;
}

void MachineService::delayNextUpkeep(
    Delays D, std::function<void(const std::string &)> OnOrder) {
  NextDelays_ = D;
  OnOrder_ = std::move(OnOrder);
}

void MachineService::serve(const HttpRequest &R, const Responder &To) {
  if (R.Path_ == "/-/machines")
    return To(list());
  if (R.Path_ == "/-/machine-move")
    return To(move(R));
  if (R.Path_ == "/-/machine-upkeep")
    return upkeep(R, To);
  To(jsonResponse("{}", 404));
}

HttpResponse MachineService::list() const {
  QJsonArray All;
  for (const auto &[Name, M] : Machines_) {
    const QString Id = QString::fromStdString(Name);
    All.append(QJsonObject{
        {"machine", Id},
        {"pool", "quoting"},
        {"state", M.Up_ ? "up" : "upkeep"},
        {"zone", "z0"},
        {"labels", QJsonArray{"a", "r1-0"}},
        {"capacity",
         QJsonObject{{"cpu", 32'000}, {"mem_mb", 131'072}, {"gpus", 0}}},
        {"id", M.Up_ ? "w-" + Id.section('-', 1) : QString()}});
  }
  return jsonResponse(
      QJsonDocument(QJsonObject{{"machines", All}, {"next_token", ""}})
          .toJson(QJsonDocument::Compact));
}

bool MachineService::accept(const Order &O) {
  std::uint64_t &Fence = Machines_.at(O.Machine_).Fence_;
  if (O.Token_ < Fence)
    return false;
  Fence = O.Token_;
  return true;
}

HttpResponse MachineService::move(const HttpRequest &R) {
  const QJsonObject Body = QJsonDocument::fromJson(R.Body_).object();
  const Order O{Body["machine"].toString().toStdString(),
                R.header("heathercross-fencing-token").toULongLong()};
  if (!Machines_.contains(O.Machine_) || Body["pool"] != "quoting")
    return jsonResponse("{}", 400);
  if (!Machines_.at(O.Machine_).Up_)
    return conflict("busy");
  return accept(O) ? jsonResponse("{}") : conflict("fence");
}

void MachineService::upkeep(const HttpRequest &R, const Responder &To) {
  const QJsonObject Body = QJsonDocument::fromJson(R.Body_).object();
  const Order O{Body["machine"].toString().toStdString(),
                R.header("heathercross-fencing-token").toULongLong(),
                Body["wave"].toInteger()};
  if (!Machines_.contains(O.Machine_))
    return To(jsonResponse("{}", 400));
  if (!NextDelays_)
    return To(carryOut(O));
  const Delays D = *std::exchange(NextDelays_, std::nullopt);
  OnOrder_(R.header("heathercross-lease-holder").toStdString());
  const auto Execute = [this, O, D, To] {
    const HttpResponse Response = carryOut(O);
    if (D.Answer_)
      QTimer::singleShot(*D.Answer_, this, [To, Response] { To(Response); });
  };
  if (D.Execution_.count() == 0)
    return Execute();
  QTimer::singleShot(D.Execution_, this, Execute);
}

HttpResponse MachineService::carryOut(const Order &O) {
  if (!accept(O))
    return conflict("fence");
  if (Done_.contains({O.Machine_, O.Wave_}))
    return jsonResponse("{}");
  Machine &M = Machines_.at(O.Machine_);
  if (!M.Up_)
    return conflict("busy");
  M.Up_ = false;
  Done_.insert({O.Machine_, O.Wave_});
  MostAway_ = std::max(MostAway_, ++Away_);
  QTimer::singleShot(UpkeepTime, this, [this, &M] {
    M.Up_ = true;
    --Away_;
  });
  return jsonResponse("{}");
}

} // namespace heathercross::standin
