// Model workers that speak the platform's protocol for runs and leases.
#include "standin/common/task-workers.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QTimer>

#include <algorithm>
#include <optional>

namespace heathercross::standin {

namespace {

using SteadyTime = std::chrono::steady_clock::time_point;

constexpr std::int64_t CapacityCpuMilli = 32'000;
constexpr std::int64_t CapacityMemoryMb = 131'072;
constexpr int WorkersPerRack = 8;

HttpResponse jsonObjectResponse(const QJsonObject &O) {
  HttpResponse R;
  R.Status_ = 200;
  R.Body_ = QJsonDocument(O).toJson(QJsonDocument::Compact);
  return R;
}

} // namespace

/// One worker: its runs, its unacknowledged ends and the renewals that wait for
/// an end.
class TaskWorkers::Worker : public QObject {
public:
  Worker(TaskWorkers &All, std::string Id)
      : All_(All), Id_(std::move(Id)),
        Server_([this](const HttpRequest &R, const Responder &To) {
          serve(R, To);
        }) {
    Server_.listen(0);
  }

  const std::string &id() const { return Id_; }
  quint16 port() const { return Server_.port(); }

private:
  struct End {
    std::int64_t Number_ = 0;
    QString Task_;
    std::int64_t Attempt_ = 0;
    const char *How_ = "";
  };
  struct RunningTask {
    std::int64_t Attempt_ = 0;
    SteadyTime Started_;
    std::chrono::milliseconds Duration_{0};
  };
  struct WaitingRenewal {
    std::uint64_t Number_ = 0;
    Responder To_;
  };

  void serve(const HttpRequest &R, const Responder &To) {
    const QJsonObject O = QJsonDocument::fromJson(R.Body_).object();
    if (R.Path_ == "/-/run-start")
      return start(O, To);
    if (R.Path_ == "/-/hold")
      return renew(O, To);
    ++All_.Calls_.Others_;
    To(jsonObjectResponse({{"clock_ms", clockMs()}}));
  }

  void start(const QJsonObject &O, const Responder &To) {
    ++All_.Calls_.Starts_;
    const QString Task = O["task"].toString();
    const std::string Job = Task.section('.', 0, 0).toStdString();
    All_.FirstStarts_.try_emplace(Job, std::chrono::steady_clock::now());
    const std::int64_t Attempt = O["attempt"].toInteger();
    const std::chrono::milliseconds Duration(O["spec"].toString().toInt());
    Running_[Task] = {Attempt, std::chrono::steady_clock::now(), Duration};
    const char *How = "done";
    if (All_.RunsToFail_ > 0) {
      --All_.RunsToFail_;
      How = "failed";
    }
    QTimer::singleShot(Duration, Qt::PreciseTimer, this,
                       [this, Task, Attempt, How] { end(Task, Attempt, How); });
    To(jsonObjectResponse({{"clock_ms", clockMs()}}));
  }

  void end(const QString &Task, std::int64_t Attempt, const char *How) {
    Running_.erase(Task);
    Ends_.push_back({++LastEnd_, Task, Attempt, How});
    for (const WaitingRenewal &W : std::exchange(Waiting_, {}))
      W.To_(report());
  }

  void renew(const QJsonObject &O, const Responder &To) {
    ++All_.Calls_.Renewals_;
    const std::int64_t Acknowledged = O["ack_seq"].toInteger();
    std::erase_if(Ends_, [Acknowledged](const End &E) {
      return E.Number_ <= Acknowledged;
    });
    const auto WaitMs = O["wait_ms"].toInteger();
    if (WaitMs == 0 || !Ends_.empty())
      return To(report());
    const std::uint64_t Number = ++LastRenewal_;
    Waiting_.push_back({Number, To});
    QTimer::singleShot(static_cast<int>(WaitMs), this, [this, Number] {
      const auto It =
          std::ranges::find(Waiting_, Number, &WaitingRenewal::Number_);
      if (It == Waiting_.end())
        return;
      It->To_(report());
      Waiting_.erase(It);
    });
  }

  HttpResponse report() const {
    QJsonArray Running;
    for (const auto &[Task, Run] : Running_)
      Running.append(QJsonArray{Task, static_cast<qint64>(Run.Attempt_), "",
                                percent(Run), 3100});
    QJsonArray Finished;
    for (const End &E : Ends_)
      Finished.append(QJsonArray{static_cast<qint64>(E.Number_), E.Task_,
                                 static_cast<qint64>(E.Attempt_), E.How_, ""});
    return jsonObjectResponse({{"clock_ms", clockMs()},
                               {"born", 1},
                               {"running", Running},
                               {"finished", Finished}});
  }

  static int percent(const RunningTask &R) {
    const auto Elapsed = std::chrono::steady_clock::now() - R.Started_;
    return static_cast<int>(
        100 * Elapsed / std::max(R.Duration_, std::chrono::milliseconds(1)));
  }

  qint64 clockMs() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::steady_clock::now() - Born_)
               .count() +
           1;
  }

  TaskWorkers &All_;
  std::string Id_;
  SteadyTime Born_ = std::chrono::steady_clock::now();
  std::map<QString, RunningTask> Running_;
  std::deque<End> Ends_;
  std::int64_t LastEnd_ = 0;
  std::vector<WaitingRenewal> Waiting_;
  std::uint64_t LastRenewal_ = 0;
  HttpServer Server_;
};

TaskWorkers::TaskWorkers(int Count) {
  for (int I = 0; I < Count; ++I)
    Workers_.push_back(
        std::make_unique<Worker>(*this, "w-" + std::to_string(I)));
}

TaskWorkers::~TaskWorkers() = default;

std::vector<TaskWorkers::Registration> TaskWorkers::registrations() const {
  std::vector<Registration> Out;
  for (std::size_t I = 0; I < Workers_.size(); ++I) {
    const std::string Rack = "r1-" + std::to_string(I / WorkersPerRack);
    const QJsonObject Capacity{
        {"cpu", static_cast<qint64>(CapacityCpuMilli)},
        {"mem_mb", static_cast<qint64>(CapacityMemoryMb)},
        {"gpus", 0}};
    const QJsonObject Row{
        {"service", "quoting"},
        {"addr", QString("127.0.0.1:%1").arg(Workers_[I]->port())},
        {"zone", "z0"},
        {"version", "v1"},
        {"slots", 8},
        {"state", "ready"},
        {"cold_left_ms", 0},
        {"capacity", Capacity},
        {"labels", QJsonArray{"a", QString::fromStdString(Rack)}},
        {"born", 1},
        {"seq", 1}};
    Out.push_back(
        {Workers_[I]->id(),
         QJsonDocument(Row).toJson(QJsonDocument::Compact).toStdString()});
  }
  return Out;
}

std::optional<SteadyTime>
TaskWorkers::firstStart(const std::string &Job) const {
  const auto It = FirstStarts_.find(Job);
  return It == FirstStarts_.end() ? std::nullopt
                                  : std::optional<SteadyTime>(It->second);
}

} // namespace heathercross::standin
