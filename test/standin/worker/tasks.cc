// The tasks of a worker: runs of jobs with leases, epochs and checkpoints.
#include "tasks.h"

#include "standin/common/history.h"

#include <algorithm>

namespace heathercross::standin {
namespace {

std::string jobId(const QJsonObject &Body) {
  return Body["job"].toString().toStdString();
}

/// Returns true if the job fails on every worker: its id contains "poison".
bool isPoison(const std::string &Job) {
  return Job.find("poison") != std::string::npos;
}

std::int64_t nowMs() { return nowMicros() / 1000; }

/// The last segment of a checkpoint's name is the work done, in milliseconds.
std::int64_t checkpointWorkMs(const QString &Checkpoint) {
  return Checkpoint.section('/', -1).toLongLong();
}

} // namespace

bool Tasks::isStale(const std::string &Job, std::int64_t Epoch) const {
  const auto It = Epochs_.find(Job);
  return It != Epochs_.end() && Epoch < It->second;
}

bool Tasks::hasStarted(const std::string &Job, std::int64_t Epoch) const {
  const auto It = Epochs_.find(Job);
  return It != Epochs_.end() && Epoch == It->second && Tasks_.contains(Job);
}

void Tasks::start(const QJsonObject &Body) {
  const std::string Job = jobId(Body);
  if (const auto Old = Tasks_.find(Job);
      Old != Tasks_.end() && Old->second->State_ == "running")
    end(*Old->second, "stopped");
  auto T = std::make_unique<Task>();
  T->Job_ = Job;
  T->Attempt_ = Body["attempt"].toString().toStdString();
  T->Epoch_ = Body["epoch"].toInteger();
  T->WorkMs_ = Body["work_ms"].toInteger();
  T->DoneMs_ = checkpointWorkMs(Body["checkpoint"].toString());
  T->StartedMs_ = nowMs();
  T->WorkTimer_.setSingleShot(true);
  T->LeaseTimer_.setSingleShot(true);
  Task &Started = *T;
  connect(&T->WorkTimer_, &QTimer::timeout, this, [this, &Started] {
    end(Started, isPoison(Started.Job_) ? "failed" : "done");
  });
  connect(&T->LeaseTimer_, &QTimer::timeout, this,
          [this, &Started] { end(Started, "lapsed"); });
  Epochs_[Job] = T->Epoch_;
  Tasks_[Job] = std::move(T);
  Record_({Job, Started.Attempt_, Started.Epoch_, "task-start", ""});
  Started.LeaseTimer_.start(static_cast<int>(Body["lease_ms"].toInteger()));
  schedule(Started);
}

void Tasks::schedule(Task &T) {
  const auto RemainingMs = std::max<std::int64_t>(0, T.WorkMs_ - T.DoneMs_);
  T.WorkTimer_.start(static_cast<int>(RemainingMs * T.Slowdown_));
}

std::int64_t Tasks::progressMs(const Task &T) const {
  const auto RanMs = (nowMs() - T.StartedMs_) / T.Slowdown_;
  return std::min(T.WorkMs_, T.DoneMs_ + RanMs);
}

void Tasks::end(Task &T, const std::string &State) {
  T.WorkTimer_.stop();
  T.LeaseTimer_.stop();
  T.State_ = State;
  Record_({T.Job_, T.Attempt_, T.Epoch_, "task-end", State});
}

Tasks::Task *Tasks::find(const QJsonObject &Body, TaskReply &Reply) {
  const std::string Job = jobId(Body);
  const std::int64_t Epoch = Body["epoch"].toInteger();
  const auto It = Tasks_.find(Job);
  if (isStale(Job, Epoch))
    Reply.Status_ = TaskStatus::StaleEpoch;
  else if (It == Tasks_.end() || It->second->Epoch_ != Epoch)
    Reply.Status_ = TaskStatus::NoSuchJob;
  else
    return It->second.get();
  return nullptr;
}

TaskReply Tasks::renew(const QJsonObject &Body) {
  TaskReply Reply;
  Task *T = find(Body, Reply);
  if (!T)
    return Reply;
  const bool Ended = T->State_ == "stopped" || T->State_ == "lapsed";
  if (Ended) {
    Reply.Status_ = TaskStatus::NoSuchJob;
    return Reply;
  }
  if (T->State_ == "running")
    T->LeaseTimer_.start(static_cast<int>(Body["lease_ms"].toInteger()));
  Reply.Body_ = {{"state", QString::fromStdString(T->State_)},
                 {"checkpoint", QString::fromStdString(T->Checkpoint_)}};
  if (T->State_ == "done")
    Reply.Body_["result"] = QString::fromStdString("result:" + T->Job_);
  return Reply;
}

TaskReply Tasks::stop(const QJsonObject &Body) {
  TaskReply Reply;
  Task *T = find(Body, Reply);
  if (!T)
    return Reply;
  if (T->State_ == "running")
    end(*T, "stopped");
  Reply.Body_ = {{"state", QString::fromStdString(T->State_)}};
  return Reply;
}

TaskReply Tasks::checkpoint(const QJsonObject &Body) {
  TaskReply Reply;
  Task *T = find(Body, Reply);
  if (!T)
    return Reply;
  if (T->State_ == "running") {
    T->Checkpoint_ = "checkpoint/" + T->Job_ + '/' + std::to_string(T->Epoch_) +
                     '/' + std::to_string(progressMs(*T));
    end(*T, "checkpointed");
  }
  Reply.Body_ = {{"state", QString::fromStdString(T->State_)},
                 {"checkpoint", QString::fromStdString(T->Checkpoint_)}};
  return Reply;
}

TaskReply Tasks::throttle(const QJsonObject &Body) {
  TaskReply Reply;
  Task *T = find(Body, Reply);
  if (!T)
    return Reply;
  if (T->State_ == "running") {
    T->DoneMs_ = progressMs(*T);
    T->StartedMs_ = nowMs();
    T->Slowdown_ *= 2;
    schedule(*T);
  }
  Reply.Body_ = {{"state", QString::fromStdString(T->State_)}};
  return Reply;
}

void Tasks::cutAll() {
  for (const auto &[Job, T] : Tasks_)
    if (T->State_ == "running")
      end(*T, "cut");
  Tasks_.clear();
}

std::size_t Tasks::running() const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Tasks_, [](const auto &T) { return T.second->State_ == "running"; }));
}

QJsonArray Tasks::status() const {
  QJsonArray All;
  for (const auto &[Job, T] : Tasks_)
    if (T->State_ == "running")
      All.append(
          QJsonObject{{"job", QString::fromStdString(Job)},
                      {"epoch", static_cast<qint64>(T->Epoch_)},
                      {"progress", static_cast<qint64>(progressMs(*T))}});
  return All;
}

} // namespace heathercross::standin
