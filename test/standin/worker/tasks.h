// Tasks under leases: the long runs of a worker, with epochs and checkpoints.
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

/// How a task ended, for the worker's history.
struct TaskEvent {
  std::string Job_;
  std::string Attempt_;
  std::int64_t Epoch_ = 0;
  /// "task-start" or "task-end".
  std::string Kind_;
  /// "done", "failed", "stopped", "lapsed", "checkpointed" or "cut".
  std::string Result_;
};

/// What a call on a job came to.
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

  /// True when a job has been seen with a higher epoch.
  bool stale(const std::string &Job, std::int64_t Epoch) const;
  /// True when the job's task is running at this very epoch.
  bool started(const std::string &Job, std::int64_t Epoch) const;
  /// Starts a task from the body of POST /tasks.
  void start(const QJsonObject &Body);
  TaskReply renew(const QJsonObject &Body);
  TaskReply stop(const QJsonObject &Body);
  TaskReply checkpoint(const QJsonObject &Body);
  TaskReply throttle(const QJsonObject &Body);
  /// Ends every running task, as a reboot does.
  void cutAll();

  std::size_t running() const;
  QJsonArray status() const;

private:
  struct Task {
    std::string Job_;
    std::string Attempt_;
    std::int64_t Epoch_ = 0;
    std::int64_t StartedMs_ = 0;
    /// Work that an earlier checkpoint had done, and the whole of it.
    std::int64_t BeforeMs_ = 0;
    std::int64_t WorkMs_ = 0;
    /// How much slower than real time the task runs.
    std::int64_t Slowdown_ = 1;
    std::string State_ = "running";
    std::string Checkpoint_;
    QTimer Work_;
    QTimer Lease_;
  };

  /// The task at this epoch, or a reply that says why there is none.
  Task *find(const QJsonObject &Body, TaskReply &Reply);
  void end(Task &T, const std::string &State);
  std::int64_t progressMs(const Task &T) const;
  void schedule(Task &T);

  std::function<void(const TaskEvent &)> Record_;
  std::map<std::string, std::unique_ptr<Task>> Tasks_;
  std::map<std::string, std::int64_t> Epochs_;
};

} // namespace heathercross::standin
