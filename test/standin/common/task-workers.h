// Model workers that speak the platform's protocol for runs and leases.
#pragma once

#include "standin/common/http-server.h"

#include <QJsonObject>

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

/// Workers of the pool "quoting", each on a loopback port of its own. The
/// payload of a task is its run time in milliseconds; leases are not enforced.
class TaskWorkers {
public:
  explicit TaskWorkers(int Count);
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
  /// When the first task of a job was started; absent before.
  std::optional<std::chrono::steady_clock::time_point>
  firstStart(const std::string &Job) const;

private:
  class Worker;
  WorkerCalls Calls_;
  int RunsToFail_ = 0;
  std::map<std::string, std::chrono::steady_clock::time_point> FirstStarts_;
  std::vector<std::unique_ptr<Worker>> Workers_;
};

} // namespace heathercross::standin
