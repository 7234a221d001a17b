// One accepted job and how far its tasks are.
#pragma once

#include "schedule/model.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::schedule {

enum class TaskPhase : std::uint8_t { Waiting, Placed, Done };

/// So many failures of a task are told apart; more don't matter.
inline constexpr std::uint32_t MaxFailuresKept = 9;

struct TaskState {
  TaskPhase Phase_ = TaskPhase::Waiting;
  /// The highest attempt that this holder ordered or saw.
  Attempt Attempt_ = 0;
  /// New attempts are above this one: earlier holders may have used it.
  Attempt Floor_ = 0;
  std::uint32_t Failures_ = 0;
  /// The attempts whose failures were counted.
  std::vector<Attempt> FailedAttempts_;
  /// The worker of the present run, or of the last one that failed.
  InstanceId Worker_;
  std::string Checkpoint_;

  Attempt nextAttempt() const { return std::max(Attempt_, Floor_) + 1; }
};

struct StepState {
  std::vector<TaskState> Tasks_;
  std::uint32_t Done_ = 0;

  bool done() const { return Done_ == Tasks_.size(); }
};

/// One pass through the steps of a job.
struct Occurrence {
  std::vector<StepState> Steps_;
};

enum class JobState : std::uint8_t {
  Queued,
  Active,
  Complete,
  Failed,
  Canceled
};

/// Whether nothing of the job will run any more.
constexpr bool isFinal(JobState S) { return S >= JobState::Complete; }

/// A job and its progress. Only ends of runs are worth keeping; what runs now
/// is known by the workers.
class Job {
public:
  Job(JobId Id, QueueId Queue, JobSpec Spec, Instant Accepted);

  const JobId &id() const { return Id_; }
  const QueueId &queue() const { return Queue_; }
  const JobSpec &spec() const { return Spec_; }
  Instant accepted() const { return Accepted_; }
  JobState state() const { return State_; }
  void setState(JobState S) { State_ = S; }

  TaskState &task(const TaskKey &Key);
  const TaskState &task(const TaskKey &Key) const;
  /// Whether the job has such a task.
  bool has(const TaskKey &Key) const;
  std::vector<Occurrence> &occurrences() { return Occurrences_; }
  const std::vector<Occurrence> &occurrences() const { return Occurrences_; }

  /// Whether a step may start now: its occurrence is due and the steps before
  /// it are done.
  bool ready(std::uint32_t OccurrenceIndex, std::uint32_t Step,
             WallTime Now) const;
  WallTime due(std::uint32_t OccurrenceIndex) const;
  /// Marks a task as done; completes the job with its last one.
  void finishTask(const TaskKey &Key);
  /// Whether every task is done.
  bool allDone() const;

  /// Work that isn't done yet, in core-seconds by the submitter's estimates.
  double remainingWork() const { return RemainingWork_; }
  /// The longest chain of estimates of what isn't done.
  Millis remainingChain() const { return RemainingChain_; }
  /// The work of the whole job.
  double work() const { return Work_; }
  /// The longest chain of estimates of the whole job.
  Millis chain() const { return Chain_; }

  /// The progress as a compact text, and back. A malformed text throws
  /// FormatError.
  std::string encodeProgress() const;
  void decodeProgress(std::string_view Text);

private:
  Millis chainFrom(const Occurrence *Of) const;
  double workLeft() const;
  Millis chainLeft() const;
  /// Brings the figures of what isn't done up to date.
  void refresh();

  JobId Id_;
  QueueId Queue_;
  JobSpec Spec_;
  Instant Accepted_;
  JobState State_ = JobState::Queued;
  std::vector<Occurrence> Occurrences_;
  Millis Chain_{0};
  double Work_ = 0;
  double RemainingWork_ = 0;
  Millis RemainingChain_{0};
};

/// The name of a state in logs and dumps.
const char *stateName(JobState S);

} // namespace heathercross::schedule
