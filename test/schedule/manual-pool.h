// A pool's scheduler whose calls and answers a test plays one by one.
#pragma once

#include "schedule/model-pool.h"

#include <utility>
#include <vector>

namespace heathercross::schedule::test {

/// A scheduler whose calls and answers the test plays one by one.
class ManualPool {
public:
  PoolScheduler Scheduler_;
  Instant Now_{Seconds(100)};

  explicit ManualPool(const char *Id, std::int64_t CpuMilli) {
    Scheduler_.setLeases(ModelPool::Lease, ModelPool::MaxLease);
    addWorker(Id, CpuMilli);
  }

  void addWorker(const char *Id, std::int64_t CpuMilli) {
    Scheduler_.setWorker(workerInfo(Id, "r1", CpuMilli));
    report(Id, 1, {});
    Scheduler_.setRostered(InstanceId(Id), true);
  }

  /// A renewal that is sent and answered now, by a life of the worker.
  void report(const char *Id, std::int64_t Life,
              std::vector<RunningReport> Running,
              std::vector<EndReport> Ended = {}) {
    const InstanceId Worker(Id);
    Scheduler_.leaseGranted(Worker, Now_, ModelPool::Lease);
    Scheduler_.report(Worker, {Life, std::move(Running), std::move(Ended)},
                      Now_, Scheduler_.fence(Worker), Now_);
    Now_ += Millis(1);
  }

  std::vector<StartOrder> submit(const char *Id, JobSpec Spec) {
    Scheduler_.admit(Job(JobId(Id), QueueId("q"), std::move(Spec), Now_));
    return step().Starts_;
  }

  Orders step() { return Scheduler_.step(Now_, WallTime()); }

  void answer(const StartOrder &O, StartAnswer A) {
    Scheduler_.started(O, A, Now_);
  }

  Resources used(const char *Id) const {
    return Scheduler_.workers().at(InstanceId(Id)).used();
  }
};

inline RunningReport running(const StartOrder &O) {
  return {O.Task_, O.Attempt_, "", 100, 0};
}

inline JobSpec lasting() {
  StepSpec S = step(1, 2000, Millis(1000));
  S.LongRunning_ = true;
  S.MaxUnavailable_ = 1;
  return job({S});
}

} // namespace heathercross::schedule::test
