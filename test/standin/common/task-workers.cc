// Model workers that speak the platform's protocol for runs and leases.
#include "standin/common/task-workers.h"

#include "standin/common/worker-life.h"

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

/// A worker's clock that is as slow as the platform allows. It begins high
/// enough to be far behind in each of several further lives.
constexpr WorkerLife::Clock SlowClock{std::chrono::hours(1), 0.98};

/// The first life of a worker.
WorkerLife firstLife(LeaseMode Leases) {
  if (Leases == LeaseMode::Ignored)
    return {WorkerLife::Millis(1), {}};
  return {WorkerLife::timeOfDay(), SlowClock};
}

HttpResponse jsonObjectResponse(const QJsonObject &O, int Status = 200) {
  HttpResponse R;
  R.Status_ = Status;
  R.Body_ = QJsonDocument(O).toJson(QJsonDocument::Compact);
  return R;
}

} // namespace

/// One worker: its runs, its unacknowledged ends and the renewals that wait for
/// an end.
class TaskWorkers::Worker : public QObject {
public:
  Worker(TaskWorkers &All, std::string Id)
      : All_(All), Id_(std::move(Id)), Life_(firstLife(All.Leases_)),
        Server_([this](const HttpRequest &R, const Responder &To) {
          serve(R, To);
        }) {
    Server_.listen(0);
  }

  const std::string &id() const { return Id_; }
  quint16 port() const { return Server_.port(); }
  const WorkerLife &life() const { return Life_; }
  std::size_t runs() const { return Running_.size(); }

  void restart() {
    const quint16 Port = Server_.port();
    Server_.close();
    killAll();
    Ends_.clear();
    LastEnd_ = 0;
    Waiting_.clear();
    Life_ = Life_.next();
    Server_.listen(Port);
  }

  void cutOff() {
    CutOff_ = true;
    Waiting_.clear();
  }

  /// Kills all runs if their lease has expired.
  void enforceLease() {
    if (!enforced() || !Life_.leaseExpired())
      return;
    for (const auto &[Number, Run] : Running_)
      Ends_.push_back({++LastEnd_, Run.Task_, Run.Attempt_, "lapsed"});
    killAll();
  }

private:
  struct End {
    std::int64_t Number_ = 0;
    QString Task_;
    std::int64_t Attempt_ = 0;
    const char *How_ = "";
  };
  struct RunningTask {
    QString Task_;
    std::int64_t Attempt_ = 0;
    SteadyTime Started_;
    std::chrono::milliseconds Duration_{0};
  };
  struct WaitingRenewal {
    std::uint64_t Number_ = 0;
    Responder To_;
  };

  bool enforced() const { return All_.Leases_ == LeaseMode::Enforced; }

  void serve(const HttpRequest &R, const Responder &To) {
    if (CutOff_)
      return;
    const QJsonObject O = QJsonDocument::fromJson(R.Body_).object();
    enforceLease();
    if (enforced() && !Life_.admits(O["fence"].toInteger()))
      return refuse("fence", To);
    if (O.contains("until_ms"))
      Life_.extendLease(WorkerLife::Millis(O["until_ms"].toInteger()));
    if (R.Path_ == "/-/run-start")
      return start(O, To);
    if (R.Path_ == "/-/hold")
      return renew(O, To);
    ++All_.Calls_.Others_;
    To(jsonObjectResponse({{"clock_ms", clockMs()}}));
  }

  void refuse(const char *Reason, const Responder &To) const {
    To(jsonObjectResponse({{"reason", Reason}, {"clock_ms", clockMs()}}, 409));
  }

  void start(const QJsonObject &O, const Responder &To) {
    ++All_.Calls_.Starts_;
    const QString Task = O["task"].toString();
    const std::int64_t Attempt = O["attempt"].toInteger();
    const bool There = std::ranges::any_of(Running_, [&](const auto &Entry) {
      return Entry.second.Task_ == Task && Entry.second.Attempt_ == Attempt;
    });
    if (There)
      return To(jsonObjectResponse({{"clock_ms", clockMs()}}));
    if (enforced() && Life_.leaseExpired())
      return refuse("late", To);
    const std::string Job = Task.section('.', 0, 0).toStdString();
    All_.FirstStarts_.try_emplace(Job, std::chrono::steady_clock::now());
    const std::chrono::milliseconds Duration(O["spec"].toString().toInt());
    const std::uint64_t Number = ++LastRun_;
    Running_[Number] = {Task, Attempt, std::chrono::steady_clock::now(),
                        Duration};
    All_.countStart(Task);
    const char *How = "done";
    if (All_.RunsToFail_ > 0) {
      --All_.RunsToFail_;
      How = "failed";
    }
    QTimer::singleShot(Duration, Qt::PreciseTimer, this,
                       [this, Number, How] { end(Number, How); });
    if (All_.AnswerDelay_.count() == 0)
      return To(jsonObjectResponse({{"clock_ms", clockMs()}}));
    QTimer::singleShot(All_.AnswerDelay_, Qt::PreciseTimer, this, [this, To] {
      To(jsonObjectResponse({{"clock_ms", clockMs()}}));
    });
  }

  void end(std::uint64_t Number, const char *How) {
    enforceLease();
    const auto It = Running_.find(Number);
    if (It == Running_.end())
      return;
    Ends_.push_back({++LastEnd_, It->second.Task_, It->second.Attempt_, How});
    All_.countEnd(It->second.Task_);
    Running_.erase(It);
    for (const WaitingRenewal &W : std::exchange(Waiting_, {}))
      W.To_(report());
  }

  void killAll() {
    for (const auto &[Number, Run] : Running_)
      All_.countEnd(Run.Task_);
    Running_.clear();
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
      enforceLease();
      It->To_(report());
      Waiting_.erase(It);
    });
  }

  HttpResponse report() const {
    QJsonArray Running;
    for (const auto &[Number, Run] : Running_)
      Running.append(QJsonArray{Run.Task_, static_cast<qint64>(Run.Attempt_),
                                "", percent(Run), 3100});
    QJsonArray Finished;
    for (const End &E : Ends_)
      Finished.append(QJsonArray{static_cast<qint64>(E.Number_), E.Task_,
                                 static_cast<qint64>(E.Attempt_), E.How_, ""});
    return jsonObjectResponse(
        {{"clock_ms", clockMs()},
         {"born", static_cast<qint64>(Life_.born().count())},
         {"running", Running},
         {"finished", Finished}});
  }

  static int percent(const RunningTask &R) {
    const auto Elapsed = std::chrono::steady_clock::now() - R.Started_;
    return static_cast<int>(
        100 * Elapsed / std::max(R.Duration_, std::chrono::milliseconds(1)));
  }

  qint64 clockMs() const { return Life_.clock().count(); }

  TaskWorkers &All_;
  std::string Id_;
  WorkerLife Life_;
  bool CutOff_ = false;
  std::map<std::uint64_t, RunningTask> Running_;
  std::uint64_t LastRun_ = 0;
  std::deque<End> Ends_;
  std::int64_t LastEnd_ = 0;
  std::vector<WaitingRenewal> Waiting_;
  std::uint64_t LastRenewal_ = 0;
  HttpServer Server_;
};

TaskWorkers::TaskWorkers(int Count, LeaseMode Leases) : Leases_(Leases) {
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
        {"born", static_cast<qint64>(Workers_[I]->life().born().count())},
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

void TaskWorkers::restart(std::size_t Index) { Workers_[Index]->restart(); }

void TaskWorkers::cutOff(std::size_t Index) { Workers_[Index]->cutOff(); }

std::size_t TaskWorkers::runs(std::size_t Index) {
  Workers_[Index]->enforceLease();
  return Workers_[Index]->runs();
}

bool TaskWorkers::cutLease(std::size_t Index) const {
  return Workers_[Index]->life().cutLease();
}

void TaskWorkers::countStart(const QString &Task) {
  for (const auto &W : Workers_)
    W->enforceLease();
  MostRunsOfTask_ = std::max(MostRunsOfTask_, ++RunsOfTask_[Task]);
}

} // namespace heathercross::standin
