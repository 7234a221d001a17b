// Runs the jobs of the pools whose duty this entry holds.
#include "daemon/job-runner.h"

#include "daemon/job-service.h"

#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <glog/logging.h>

#include <algorithm>
#include <ranges>

namespace heathercross::daemon {

namespace {

constexpr int TickMs = 200;
constexpr int PollMs = 1000;
constexpr int PollSoonMs = 50;
/// Slots of each worker that jobs leave free for requests.
constexpr std::uint32_t SlotsForRequests = 2;

constexpr int StatusOk = 200;
constexpr int StatusNotFound = 404;
constexpr int StatusConflict = 409;
constexpr int StatusRefused = 503;

QString text(const std::string &S) { return QString::fromStdString(S); }

job::TaskAnswer parseTaskState(const QString &State) {
  if (State == "done")
    return job::TaskAnswer::Done;
  if (State == "failed")
    return job::TaskAnswer::Failed;
  if (State == "checkpointed")
    return job::TaskAnswer::Checkpointed;
  if (State == "running" || State.isEmpty())
    return job::TaskAnswer::Running;
  return job::TaskAnswer::NotFound;
}

job::TaskAnswer classifyRefusal(const http::Reply &R) {
  if (R.header("X-Refused") == "duplicate")
    return job::TaskAnswer::Duplicate;
  if (R.header("X-Refused") == "stale-epoch")
    return job::TaskAnswer::StaleEpoch;
  return job::TaskAnswer::Refused;
}

job::TaskAnswer classifyReply(const http::Reply &R, const QJsonObject &Body) {
  if (R.Delivery_ != http::Delivery::Answered)
    return job::TaskAnswer::NoAnswer;
  switch (R.Status_) {
  case StatusOk:
    return parseTaskState(Body["state"].toString());
  case StatusNotFound:
    return job::TaskAnswer::NotFound;
  case StatusConflict:
    return job::TaskAnswer::StaleEpoch;
  case StatusRefused:
    return classifyRefusal(R);
  default:
    return job::TaskAnswer::NoAnswer;
  }
}

template <class Task>
job::TaskReply makeTaskReply(const Task &E, const http::Reply &R) {
  const QJsonObject Body = QJsonDocument::fromJson(R.Body_).object();
  job::TaskReply Reply;
  Reply.Job_ = E.Job_;
  Reply.Worker_ = E.Worker_;
  Reply.Epoch_ = E.Epoch_;
  Reply.Answer_ = classifyReply(R, Body);
  Reply.Result_ = Body["result"].toString().toStdString();
  Reply.Checkpoint_ = Body["checkpoint"].toString().toStdString();
  return Reply;
}

template <class Task> QJsonObject taskBody(const Task &E) {
  return {{"job", text(E.Job_.str())},
          {"epoch", static_cast<qint64>(E.Epoch_.value())}};
}

} // namespace

JobRunner::JobRunner(std::string Incarnation, process::Clock &C, History &H,
                     process::Metrics &M, store::TableClient &Platform,
                     WorkerClient &Workers, FleetFeed &Feed,
                     ControlService &Control, JobIndex &Index)
    : Incarnation_(std::move(Incarnation)), Clock_(C), History_(H), Metrics_(M),
      Platform_(Platform), Workers_(Workers), Feed_(Feed), Control_(Control),
      Index_(Index) {
  connect(&TickTimer_, &QTimer::timeout, this, [this] { tick(); });
  connect(&PollTimer_, &QTimer::timeout, this, [this] { poll(); });
  PollTimer_.setSingleShot(true);
}

void JobRunner::start() {
  TickTimer_.start(TickMs);
  PollTimer_.start(PollMs);
}

void JobRunner::pollSoon() {
  if (!Polling_ && PollTimer_.remainingTime() > PollSoonMs)
    PollTimer_.start(PollSoonMs);
}

void JobRunner::poll() {
  if (Duties_.empty())
    return PollTimer_.start(PollMs);
  Polling_ = true;
  Index_.refresh([this](bool, const std::vector<Row> &Changed) {
    Polling_ = false;
    for (auto &[Pool, Duty] : Duties_)
      if (!Changed.empty())
        executeAll(Pool, Duty->onRows(Clock_.now(), Changed));
    PollTimer_.start(PollMs);
  });
}

/// Creates the duties of newly held pools and drops those of other pools.
void JobRunner::syncDuties() {
  const std::set<PoolId> Held = Control_.heldPools();
  std::erase_if(Duties_,
                [&](const auto &Entry) { return !Held.contains(Entry.first); });
  for (const PoolId &Pool : Held) {
    if (Duties_.contains(Pool))
      continue;
    const std::string Prefix =
        Incarnation_ + "-j" + std::to_string(++LastDutyNumber_);
    Duties_.emplace(Pool, std::make_unique<job::JobDuty>(Pool, Prefix));
    Index_.refresh([this, Pool](bool Read, const std::vector<Row> &) {
      const auto It = Duties_.find(Pool);
      if (!Read && It != Duties_.end())
        Duties_.erase(It);
      else if (It != Duties_.end())
        executeAll(Pool, It->second->onRows(Clock_.now(), Index_.activeRows()));
    });
  }
}

void JobRunner::tick() {
  syncDuties();
  for (auto &[Pool, Duty] : Duties_) {
    const auto Guard = Control_.guard(Pool);
    if (Guard && Duty->active() > 0)
      executeAll(Pool, Duty->tick(Clock_.now(), *Guard, workersOf(Pool),
                                  Feed_.view().Quotas_));
  }
}

std::vector<job::JobWorker> JobRunner::workersOf(const PoolId &Pool) const {
  std::vector<job::JobWorker> All;
  for (const auto &[Name, Record] : Feed_.instances()) {
    if (Record.Row_.Pool_ != Pool)
      continue;
    job::JobWorker W;
    W.Worker_ = Name;
    W.Capacity_ = Feed_.sizeOf(Name);
    W.Ejected_ = Record.Row_.State_ == InstanceState::Ejected;
    const auto S = Feed_.statuses().find(Name);
    const bool Reachable = S != Feed_.statuses().end() && S->second.Reachable_;
    W.TakesWork_ = Reachable && Record.Row_.State_ == InstanceState::Active &&
                   !Feed_.leaving().contains(Name);
    if (Reachable) {
      const std::uint32_t UsedSlots = S->second.Busy_ + SlotsForRequests;
      W.Free_ = {S->second.Slots_ > UsedSlots ? S->second.Slots_ - UsedSlots
                                              : 0};
    }
    All.push_back(std::move(W));
  }
  return All;
}

void JobRunner::executeAll(const PoolId &Pool, const job::JobEffects &Effects) {
  for (const job::JobEffect &E : Effects)
    std::visit([&](const auto &Alternative) { execute(Pool, Alternative); }, E);
}

void JobRunner::execute(const PoolId &Pool, const job::WriteJobs &E) {
  Platform_.commit(E.Write_, [this, Pool, Attempt = E.Write_.Attempt_](
                                 const CommitResult &R) {
    const auto It = Duties_.find(Pool);
    if (It != Duties_.end())
      executeAll(Pool, It->second->onWritten(Clock_.now(), Attempt, R));
  });
}

void JobRunner::execute(const PoolId &Pool, const job::ReadJobs &E) {
  auto Rows = std::make_shared<std::vector<Row>>();
  auto Remaining = std::make_shared<std::size_t>(E.Jobs_.size());
  for (const JobId &Id : E.Jobs_)
    Platform_.readRow(job::rowKey(Id), [this, Pool, Rows,
                                        Remaining](const store::RowResult &R) {
      if (R.Row_)
        Rows->push_back(*R.Row_);
      const auto It = Duties_.find(Pool);
      if (--*Remaining == 0 && It != Duties_.end())
        executeAll(Pool, It->second->onRows(Clock_.now(), *Rows));
    });
}

void JobRunner::execute(const PoolId &Pool, const job::StartTask &E) {
  History_.write("task-start", E.Job_.str(),
                 {{"worker", text(E.Worker_.str())},
                  {"epoch", static_cast<qint64>(E.Epoch_.value())}});
  Metrics_.add("heathercross_tasks_started_total",
               "Tasks of jobs that workers were asked to start.");
  QJsonObject Body = taskBody(E);
  Body["attempt"] = text(E.Attempt_.str());
  Body["lease_ms"] = static_cast<qint64>(E.Lease_.count());
  Body["work_ms"] = static_cast<qint64>(E.Work_.count());
  Body["checkpoint"] = text(E.Checkpoint_);
  Workers_.post(E.Worker_, "/tasks", Body,
                [this, Pool, E](const http::Reply &R) {
                  handleReply(Pool, makeTaskReply(E, R));
                });
}

void JobRunner::execute(const PoolId &Pool, const job::RenewTask &E) {
  QJsonObject Body = taskBody(E);
  Body["lease_ms"] = static_cast<qint64>(E.Lease_.count());
  Workers_.post(E.Worker_, "/tasks/renew", Body,
                [this, Pool, E](const http::Reply &R) {
                  handleReply(Pool, makeTaskReply(E, R));
                });
}

void JobRunner::execute(const PoolId &, const job::StopTask &E) {
  Workers_.post(E.Worker_, "/tasks/stop", taskBody(E),
                [](const http::Reply &) {});
}

void JobRunner::execute(const PoolId &Pool, const job::CheckpointTask &E) {
  Workers_.post(E.Worker_, "/tasks/checkpoint", taskBody(E),
                [this, Pool, E](const http::Reply &R) {
                  handleReply(Pool, makeTaskReply(E, R));
                });
}

void JobRunner::execute(const PoolId &, const job::SuspectWorker &E) {
  Control_.suspectWorker(E.Worker_);
}

void JobRunner::handleReply(const PoolId &Pool, const job::TaskReply &Reply) {
  if (Reply.Result_.size() > job::MaxResultLength)
    return storeResult(Pool, Reply);
  const auto It = Duties_.find(Pool);
  if (It != Duties_.end())
    executeAll(Pool, It->second->onReply(Clock_.now(), Reply));
}

void JobRunner::storeResult(const PoolId &Pool, const job::TaskReply &Reply) {
  const std::string Name =
      "result/" + Reply.Job_.str() + "/" + std::to_string(Reply.Epoch_.value());
  Platform_.putObject(Name, QByteArray::fromStdString(Reply.Result_),
                      [this, Pool, Reply, Name](const store::ObjectResult &R) {
                        if (!R.Exists_)
                          return;
                        job::TaskReply Stored = Reply;
                        Stored.Result_ = ObjectPrefix + Name;
                        handleReply(Pool, Stored);
                      });
}

std::string JobRunner::dump() const {
  QJsonArray Duties;
  for (const auto &[Pool, Duty] : Duties_)
    Duties.append(
        QJsonDocument::fromJson(QByteArray::fromStdString(Duty->dump()))
            .object());
  return QJsonDocument(QJsonObject{{"duties", Duties}})
      .toJson(QJsonDocument::Compact)
      .toStdString();
}

} // namespace heathercross::daemon
