// A pool's scheduler whose calls and answers a test plays one by one.
#pragma once

#include "schedule/model-pool.h"

#include <optional>
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

/// The time between the steps of a call-by-call test.
inline constexpr Millis Step{100};

/// Lets a worker be unresponsive while another one answers, until the task
/// starts there; returns when that was, or nothing within the limit.
inline std::optional<Instant> restartedElsewhere(ManualPool &P,
                                                 const char *Silent,
                                                 const char *Responsive,
                                                 Micros Limit) {
  P.Scheduler_.unresponsive(InstanceId(Silent), P.Now_);
  for (const Instant End = P.Now_ + Limit; P.Now_ < End; P.Now_ += Step) {
    P.report(Responsive, 1, {});
    if (!P.step().Starts_.empty())
      return P.Now_;
  }
  return std::nullopt;
}

} // namespace heathercross::schedule::test
