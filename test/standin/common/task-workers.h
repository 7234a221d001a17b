// Model workers that speak the platform's protocol for runs and leases.
#pragma once

#include "standin/common/http-server.h"

#include <QJsonObject>
#include <QString>

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::standin {

/// Counts of the calls that model workers have answered.
struct WorkerCalls {
  std::uint64_t Starts_ = 0;
  std::uint64_t Renewals_ = 0;
  std::uint64_t Others_ = 0;
};

/// Whether model workers end their runs with the lease, and refuse calls with a
/// fence that is too low.
enum class LeaseMode : std::uint8_t { Ignored, Enforced };

/// Workers of the pool "quoting", each on a loopback port of its own. The
/// payload of a task is its run time in milliseconds. Where leases are
/// enforced, the workers' clocks are 2% slow.
class TaskWorkers {
public:
  explicit TaskWorkers(int Count, LeaseMode Leases = LeaseMode::Ignored);
  ~TaskWorkers();
  TaskWorkers(const TaskWorkers &) = delete;
  TaskWorkers &operator=(const TaskWorkers &) = delete;

  struct Registration {
    std::string Id_;
    std::string Row_;
  };
  /// The rows with which the workers register themselves.
  std::vector<Registration> registrations() const;
  const WorkerCalls &calls() const { return Calls_; }
  /// Lets the next runs that are started end as failed.
  void failRuns(int Count) { RunsToFail_ = Count; }
  /// Delays the answers to start orders, as on an entry whose orders take long.
  void setAnswerDelay(std::chrono::milliseconds Delay) { AnswerDelay_ = Delay; }
  /// When the first task of a job was started; absent before.
  std::optional<std::chrono::steady_clock::time_point>
  firstStart(const std::string &Job) const;

  /// Starts a worker again under its id at the same address: it has a new
  /// clock, and neither runs nor ends nor a fence.
  void restart(std::size_t Index);
  /// Cuts a worker off: it works on, but receives and answers no call.
  void cutOff(std::size_t Index);
  /// Number of runs that a worker has now.
  std::size_t runs(std::size_t Index);
  /// Whether this life of a worker was asked for more than the longest lease.
  bool cutLease(std::size_t Index) const;
  /// The most runs that one task has had at the same time, on all workers.
  int mostRunsOfTask() const { return MostRunsOfTask_; }

private:
  class Worker;
  void countStart(const QString &Task);
  void countEnd(const QString &Task) { --RunsOfTask_[Task]; }

  LeaseMode Leases_;
  WorkerCalls Calls_;
  int RunsToFail_ = 0;
  std::chrono::milliseconds AnswerDelay_{0};
  std::map<std::string, std::chrono::steady_clock::time_point> FirstStarts_;
  std::map<QString, int> RunsOfTask_;
  int MostRunsOfTask_ = 0;
  std::vector<std::unique_ptr<Worker>> Workers_;
};

} // namespace heathercross::standin
