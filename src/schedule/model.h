// What the scheduler knows of queues, jobs, steps and workers.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// A queue of jobs; each queue is served by one pool.
using QueueId = Id<struct QueueTag>;
/// A machine of a pool; the instance that runs on it changes with each start.
using MachineId = Id<struct MachineTag>;

/// The time of day, which may differ between entry instances.
using WallTime = std::chrono::sys_time<Millis>;

/// Processor share, memory and accelerators that a task takes or a worker has.
struct Resources {
  /// Thousandths of a core.
  std::int64_t CpuMilli_ = 0;
  std::int64_t MemoryMb_ = 0;
  std::int64_t Gpus_ = 0;

  bool fits(const Resources &Free) const {
    return CpuMilli_ <= Free.CpuMilli_ && MemoryMb_ <= Free.MemoryMb_ &&
           Gpus_ <= Free.Gpus_;
  }
  Resources &operator+=(const Resources &Other) {
    CpuMilli_ += Other.CpuMilli_;
    MemoryMb_ += Other.MemoryMb_;
    Gpus_ += Other.Gpus_;
    return *this;
  }
  Resources &operator-=(const Resources &Other) {
    CpuMilli_ -= Other.CpuMilli_;
    MemoryMb_ -= Other.MemoryMb_;
    Gpus_ -= Other.Gpus_;
    return *this;
  }
  auto operator<=>(const Resources &) const = default;
};

/// A step of a job: a number of equal tasks.
struct StepSpec {
  std::uint32_t Count_ = 0;
  Resources Needs_;
  /// The submitter's guess of how long one task runs.
  Millis Estimate_{0};
  /// Earlier steps whose tasks must all be done before.
  std::vector<std::uint32_t> After_;
  /// A label that the worker must have; empty when any will do.
  std::string Label_;
  /// The rack that holds the data; elsewhere a task runs several times longer.
  RackId DataRack_;
  /// The most tasks of one occurrence of the step on one worker; 0 is no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// The tasks run as one: all start together and end together.
  bool Gang_ = false;
  /// A gang that runs several times longer when it spans racks.
  bool OneRack_ = false;
  /// The tasks save their progress and can resume from it.
  bool Checkpoints_ = false;
  /// The tasks run until the job is cancelled.
  bool Lasting_ = false;
  /// The tasks use only processor time that others leave.
  bool Filler_ = false;
  /// How many tasks of a lasting step may be away because of our orders.
  std::uint32_t MayBeAway_ = 0;
  /// The latency that a lasting task must keep towards its own users.
  Millis LatencyGoal_{0};

  /// What a task of the step takes of a worker's capacity.
  Resources reserved() const {
    Resources R = Needs_;
    if (Filler_)
      R.CpuMilli_ = 0;
    return R;
  }
};

/// A job as it was submitted.
struct JobSpec {
  /// Opaque text for the workers.
  std::string Payload_;
  std::vector<StepSpec> Steps_;
  /// How often the steps run; 0 for a job without a timetable.
  std::uint32_t Repeats_ = 0;
  WallTime FirstDue_{};
  Millis Interval_{0};

  std::uint32_t occurrences() const { return Repeats_ == 0 ? 1 : Repeats_; }
  bool lasting() const;
};

/// One task of a job.
struct TaskKey {
  JobId Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;
  auto operator<=>(const TaskKey &) const = default;
};

/// Tells the starts of one task apart; it only rises.
using Attempt = std::uint32_t;

/// The rules of a queue, as operators configured them.
struct QueueSettings {
  PoolId Pool_;
  /// 0 comes first.
  std::uint32_t Priority_ = 0;
  /// How many failed runs of one task fail the job.
  std::uint32_t MaxFailures_ = 1;
  /// The objective of a job is its longest chain of work times this factor,
  double ObjectiveFactor_ = 1;
  /// and this much more.
  Millis ObjectiveSlack_{0};
  /// Only workers that the placement service names may run a step.
  bool NeedsAdvice_ = false;
};

/// A worker that may run a step, and the ticket that shows it.
struct PlacementTicket {
  InstanceId Worker_;
  std::string Ticket_;
};

/// One step of one occurrence of a job.
struct StepKey {
  JobId Job_;
  std::uint32_t Occurrence_ = 0;
  std::uint32_t Step_ = 0;
  auto operator<=>(const StepKey &) const = default;
};

/// A worker as it registers itself.
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
};

/// How a run of a task ended.
enum class RunEnd : std::uint8_t {
  Done,
  Failed,
  Stopped,
  /// Its lease expired.
  Lapsed,
  /// Another member of its gang ended.
  GangBroken,
  /// It waited too long for the other members of its gang.
  GangIncomplete,
};

/// A run that a worker reports as running.
struct RunningReport {
  TaskKey Task_;
  Attempt Attempt_ = 0;
  std::string Checkpoint_;
  /// How far it is at work, 0 to 100.
  std::uint32_t Percent_ = 0;
  /// The tail latency of a lasting task that serves, in milliseconds; for
  /// others the processor time in use.
  std::int64_t Load_ = 0;
};

/// A run that a worker reports as ended.
struct EndReport {
  /// Counts the ends of one life of the worker, from 1.
  std::uint64_t Sequence_ = 0;
  TaskKey Task_;
  Attempt Attempt_ = 0;
  RunEnd End_ = RunEnd::Failed;
  std::string Checkpoint_;
};

/// What a worker says of itself when its leases are renewed.
struct WorkerReport {
  /// When this life of the worker began; tells its lives apart.
  std::int64_t Born_ = 0;
  std::vector<RunningReport> Running_;
  std::vector<EndReport> Ended_;
};

} // namespace heathercross::schedule
