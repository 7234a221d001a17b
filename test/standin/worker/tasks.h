// The tasks of a worker: runs of jobs with leases, epochs and checkpoints.
#pragma once

#include <QJsonArray>
#include <QJsonObject>
#include <QObject>
#include <QTimer>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace heathercross::standin {

/// The start or end of a task, for the worker's history.
struct TaskEvent {
  std::string Job_;
  std::string Attempt_;
  std::int64_t Epoch_ = 0;
  /// "task-start" or "task-end".
  std::string Kind_;
  /// "done", "failed", "stopped", "lapsed", "checkpointed" or "cut".
  std::string Result_;
};

/// The result of a call about a job.
enum class TaskStatus { Ok, NoSuchJob, StaleEpoch };

struct TaskReply {
  TaskStatus Status_ = TaskStatus::Ok;
  QJsonObject Body_;
};

/// The tasks of one worker.
class Tasks : public QObject {
public:
  explicit Tasks(std::function<void(const TaskEvent &)> Record)
      : Record_(std::move(Record)) {}

  /// Returns true if the job has started with a higher epoch.
  bool isStale(const std::string &Job, std::int64_t Epoch) const;
  /// Returns true if the job's latest task has started with exactly this epoch.
  bool hasStarted(const std::string &Job, std::int64_t Epoch) const;
  /// Starts a task from the body of POST /tasks.
  void start(const QJsonObject &Body);
  TaskReply renew(const QJsonObject &Body);
  TaskReply stop(const QJsonObject &Body);
  TaskReply checkpoint(const QJsonObject &Body);
  TaskReply throttle(const QJsonObject &Body);
  /// Ends and forgets all tasks, as a reboot does.
  void cutAll();

  std::size_t running() const;
  QJsonArray status() const;

private:
  struct Task {
    std::string Job_;
    std::string Attempt_;
    std::int64_t Epoch_ = 0;
    std::int64_t StartedMs_ = 0;
    /// Work done before StartedMs_, and the total work.
    std::int64_t DoneMs_ = 0;
    std::int64_t WorkMs_ = 0;
    /// Factor by which throttling slows the task down.
    std::int64_t Slowdown_ = 1;
    std::string State_ = "running";
    std::string Checkpoint_;
    QTimer WorkTimer_;
    QTimer LeaseTimer_;
  };

  /// Finds the task with the epoch in Body. Returns null if there is none and
  /// sets the status of Reply to the reason.
  Task *find(const QJsonObject &Body, TaskReply &Reply);
  void end(Task &T, const std::string &State);
  std::int64_t progressMs(const Task &T) const;
  void schedule(Task &T);

  std::function<void(const TaskEvent &)> Record_;
  std::map<std::string, std::unique_ptr<Task>> Tasks_;
  std::map<std::string, std::int64_t> Epochs_;
};

} // namespace heathercross::standin
