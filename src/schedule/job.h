// An accepted job and the progress of its tasks.
#pragma once

#include "schedule/model.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::schedule {

enum class TaskPhase : std::uint8_t { Waiting, Placed, Done };

/// Maximum number of failed attempts recorded per task: the progress text
/// stores their number as one digit. Further failures are not counted.
inline constexpr std::uint32_t MaxRecordedFailures = 9;

/// A start order without a clear answer. The worker that got it may still carry
/// it out, after a restart even though it refused it before; meanwhile the task
/// starts nowhere else.
struct UnresolvedOrder {
  InstanceId Worker_;
  Attempt Attempt_ = 0;
  /// When the order can no longer be carried out.
  Instant Until_;
};

/// How many attempts of a task have numbers that belong to one epoch. A holder
/// that orders more goes on with the numbers of the next epoch, which a later
/// holder may give again.
inline constexpr Attempt AttemptsPerEpoch = Attempt{1} << 16U;

/// Returns the number above which the holder of an epoch numbers the attempts
/// of a job that was accepted in an earlier one. Each epoch has its own
/// numbers, because the last number that an earlier holder gave isn't stored.
/// The range of Attempt holds those of 65,536 epochs; all later epochs share
/// the numbers of the last one.
Attempt attemptFloor(Epoch Holder, Epoch Accepted);

struct TaskState {
  TaskPhase Phase_ = TaskPhase::Waiting;
  /// The highest attempt that this holder ordered or found in a report.
  Attempt Attempt_ = 0;
  /// The attempt of the current run.
  Attempt RunAttempt_ = 0;
  /// The highest attempt that a worker is known to have carried out or refused
  /// as outdated.
  Attempt SeenAttempt_ = 0;
  /// New attempts are numbered above this one, because earlier holders may have
  /// used numbers up to it.
  Attempt AttemptFloor_ = 0;
  std::uint32_t Failures_ = 0;
  /// The attempts that are counted in Failures_.
  std::vector<Attempt> FailedAttempts_;
  /// The worker of the current run, or of the last failed one.
  InstanceId Worker_;
  std::string Checkpoint_;
  /// Number of runs of the task that are being stopped. None starts meanwhile.
  std::uint32_t UnwantedRuns_ = 0;
  /// The last order that was given up without a clear answer.
  std::optional<UnresolvedOrder> Unresolved_;
  /// When this holder last ordered a start, and why it gave that run up.
  Instant OrderedAt_;
  const char *ReleaseCause_ = "";

  /// The number of the next attempt. The highest number is given again, as the
  /// numbers must not start anew.
  Attempt nextAttempt() const {
    const Attempt Last = std::max(Attempt_, AttemptFloor_);
    return Last == std::numeric_limits<Attempt>::max() ? Last : Last + 1;
  }
};

struct StepState {
  std::vector<TaskState> Tasks_;
  std::uint32_t Done_ = 0;
  /// Tasks in the waiting phase.
  std::uint32_t Waiting_ = 0;

  bool done() const { return Done_ == Tasks_.size(); }
};

/// The state of one execution of a job's steps.
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

/// Whether the job has ended: no task of it starts any more.
constexpr bool isFinal(JobState S) { return S >= JobState::Complete; }

/// A job and its progress. Only the ends of runs are stored; the workers report
/// what is running.
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
  /// Sets the phase of a task and counts the waiting ones.
  void setPhase(const TaskKey &Key, TaskPhase Phase);
  /// Whether any task is waiting.
  bool hasWaiting() const { return Waiting_ > 0; }
  const TaskState &task(const TaskKey &Key) const;
  /// Whether the job has a task with this key.
  bool has(const TaskKey &Key) const;
  std::vector<Occurrence> &occurrences() { return Occurrences_; }
  const std::vector<Occurrence> &occurrences() const { return Occurrences_; }

  /// Whether a step may start now: its occurrence is due and the steps it
  /// depends on are done.
  bool ready(std::uint32_t OccurrenceIndex, std::uint32_t Step,
             WallTime Now) const;
  WallTime due(std::uint32_t OccurrenceIndex) const;
  /// Marks a task as done; the last one completes the job.
  void finishTask(const TaskKey &Key);
  /// Whether every task is done.
  bool allDone() const;

  /// Estimated core-seconds of the tasks that are not done.
  double remainingWork() const { return RemainingWork_; }
  /// Estimated critical path of the steps that are not done.
  Millis remainingCriticalPath() const { return RemainingCriticalPath_; }
  /// Estimated core-seconds of the whole job.
  double work() const { return Work_; }
  /// Estimated critical path of the whole job.
  Millis criticalPath() const { return CriticalPath_; }

  /// Converts the progress to a compact text and back. Equal tasks and equal
  /// occurrences in a row are written once, so that the text grows with the
  /// work that has begun and not with the job; it has at most MaxValueBytes.
  /// decodeProgress also reads texts without repeats; it throws FormatError if
  /// the text is malformed.
  std::string encodeProgress() const;
  void decodeProgress(std::string_view Text);

private:
  /// The critical path of the steps that are not done in Progress, or of all
  /// steps if it is null.
  Millis criticalPathOf(const Occurrence *Progress) const;
  double computeRemainingWork() const;
  Millis computeRemainingCriticalPath() const;
  /// Recomputes the remaining work and critical path.
  void updateRemaining();

  JobId Id_;
  QueueId Queue_;
  JobSpec Spec_;
  Instant Accepted_;
  JobState State_ = JobState::Queued;
  std::vector<Occurrence> Occurrences_;
  /// Tasks in the waiting phase, in all occurrences.
  std::uint32_t Waiting_ = 0;
  Millis CriticalPath_{0};
  double Work_ = 0;
  double RemainingWork_ = 0;
  Millis RemainingCriticalPath_{0};
};

/// Returns the name of a state for logs and dumps.
const char *stateName(JobState S);

} // namespace heathercross::schedule
