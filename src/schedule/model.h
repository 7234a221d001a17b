// Data types of the scheduler: queues, jobs, steps, workers and their reports.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/resources.h"
#include "heathercross/units.h"
#include "schedule/ingress.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// A queue of jobs, served by one pool.
using QueueId = Id<struct QueueTag>;
/// A machine of a pool; each start of the machine is a new instance.
using MachineId = Id<struct MachineTag>;

/// Number of the fence under which calls to a worker are made. A call with a
/// higher one makes the worker refuse all earlier calls; it counts within the
/// holder's epoch.
using FenceGeneration = Counter<struct FenceGenerationTag>;

/// Time of day; the clocks of entry instances may differ.
using WallTime = std::chrono::sys_time<Millis>;

/// A step of a job: a number of identical tasks.
struct StepSpec {
  std::uint32_t Count_ = 0;
  Resources Needs_;
  /// The submitter's estimate of the run time of one task.
  Millis Estimate_{0};
  /// Indices of earlier steps that must be done before this one starts.
  std::vector<std::uint32_t> DependsOn_;
  /// A label that the worker must have; empty for no requirement.
  std::string Label_;
  /// The rack that holds the input data; on other racks a task runs several
  /// times longer.
  RackId DataRack_;
  /// Maximum number of tasks of one occurrence of the step on one worker; 0 for
  /// no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// The tasks form a gang: all start together and end together.
  bool Gang_ = false;
  /// The gang runs several times longer if it spans racks.
  bool OneRack_ = false;
  /// The tasks save checkpoints and can resume from them.
  bool Checkpoints_ = false;
  /// The tasks are long-running: they run until the job is cancelled.
  bool LongRunning_ = false;
  /// The tasks are best-effort: they use only processor time that other tasks
  /// leave idle.
  bool BestEffort_ = false;
  /// How many tasks of a long-running step may be unavailable at a time because
  /// the scheduler moves them.
  std::uint32_t MaxUnavailable_ = 0;
  /// The latency that a long-running task must provide to its own users.
  Millis LatencyGoal_{0};
  /// Names what the tasks run; tasks of one image behave alike. Empty if the
  /// submitter doesn't say.
  std::string Image_;
  /// A second run of a task may be started while the first one is working.
  bool Speculative_ = false;

  /// The part of a worker's capacity that a task of the step reserves.
  Resources reserved() const {
    Resources R = Needs_;
    if (BestEffort_)
      R.CpuMilli_ = 0;
    return R;
  }
};

/// A job as submitted.
struct JobSpec {
  /// Passed to the workers unchanged.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  /// Number of scheduled occurrences; 0 for a job without a schedule, which
  /// runs once.
  std::uint32_t Repeats_ = 0;
  WallTime FirstDue_{};
  Millis Interval_{0};

  std::uint32_t occurrences() const { return Repeats_ == 0 ? 1 : Repeats_; }
  /// Number of tasks in all occurrences.
  std::uint64_t taskCount() const;
  bool longRunning() const;
};

/// Identifies one task of a job.
struct TaskKey {
  JobId Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
  auto operator<=>(const TaskKey &) const = default;
};

/// Number of a start of a task; increases with each start.
using Attempt = std::uint32_t;

/// What the placement service takes and gives for a queue: a query takes
/// Decide_ and Each_ for each worker that it names, and tickets are valid for
/// Valid_. Zero if that isn't known.
struct AdviceTimes {
  Millis Decide_{0};
  Millis Each_{0};
  Millis Valid_{0};
  bool operator==(const AdviceTimes &) const = default;
};

/// The configured settings of a queue.
struct QueueSettings {
  PoolId Pool_;
  /// Where clients address the queue's jobs; empty for a queue that an earlier
  /// version stored.
  IngressId Ingress_;
  /// 0 is the highest priority.
  std::uint32_t Priority_ = 0;
  /// Number of failed runs of a task after which the job fails.
  std::uint32_t MaxFailures_ = 1;
  /// The time objective of a job is its critical path times this factor, plus
  /// ObjectiveSlack_.
  double ObjectiveFactor_ = 1;
  Millis ObjectiveSlack_{0};
  /// Only workers named by the placement service may run a step.
  bool NeedsAdvice_ = false;
  AdviceTimes AdviceTimes_;
  bool operator==(const QueueSettings &) const = default;
};

/// A worker that may run a step, and the ticket that proves it.
struct PlacementTicket {
  InstanceId Worker_;
  std::string Ticket_;
};

/// Identifies one step of one occurrence of a job.
struct StepKey {
  JobId Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  auto operator<=>(const StepKey &) const = default;
};

inline StepKey stepOf(const TaskKey &T) {
  return {T.Job_, T.Occurrence_, T.Step_};
}

/// A worker as registered by itself.
struct WorkerInfo {
  InstanceId Id_;
  PoolId Pool_;
  ZoneId Zone_;
  /// "IP:PORT".
  std::string Address_;
  Resources Capacity_;
  std::vector<std::string> Labels_;
  RackId Rack_;
  bool Draining_ = false;
  /// Start time of the worker process as registered; absent if the registration
  /// doesn't say.
  std::optional<std::int64_t> Incarnation_;
};

/// How a run of a task ended.
enum class RunEnd : std::uint8_t {
  Done,
  Failed,
  Stopped,
  /// The lease of the run expired.
  LeaseExpired,
  /// Another member of the gang ended.
  GangBroken,
  /// The run waited too long for the other members of its gang.
  GangIncomplete,
};

/// A current run as reported by a worker.
struct RunningReport {
  TaskKey Task_;
  Attempt Attempt_ = 0;
  std::string Checkpoint_;
  /// Progress, 0 to 100; a long-running task is fully working at 100.
  std::uint32_t Percent_ = 0;
  /// The tail latency in milliseconds for a long-running task that serves
  /// requests; for other tasks the processor time in use.
  std::int64_t Load_ = 0;
};

/// An ended run as reported by a worker.
struct EndReport {
  /// Number of the end within one incarnation of the worker, from 1.
  std::uint64_t Sequence_ = 0;
  TaskKey Task_;
  Attempt Attempt_ = 0;
  RunEnd End_ = RunEnd::Failed;
  std::string Checkpoint_;
};

/// A worker's report, sent when its leases are renewed.
struct WorkerReport {
  /// Start time of the worker process, which identifies its incarnation.
  std::int64_t Incarnation_ = 0;
  std::vector<RunningReport> Running_;
  std::vector<EndReport> Ended_;
};

} // namespace heathercross::schedule
