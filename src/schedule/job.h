// An accepted job and the progress of its tasks.
#pragma once

#include "accounts/account-rate.h"
#include "schedule/task-progress.h"

#include <string>
#include <string_view>

namespace heathercross::schedule {

/// Maximum number of failed attempts recorded per task: the progress text
/// stores their number as one digit. Further failures are not counted.
inline constexpr std::uint32_t MaxRecordedFailures = 9;

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
  Job(JobId Id, QueueId Queue, JobSpec Spec, Instant Accepted,
      AccountId Account = {});

  const JobId &id() const { return Id_; }
  const QueueId &queue() const { return Queue_; }
  /// The account that submitted the job; empty if it has none.
  const AccountId &account() const { return Account_; }
  /// Whether the job is within the guaranteed rate of its account. It isn't
  /// stored: a restored job counts as guaranteed.
  accounts::RateShare share() const { return Share_; }
  void setShare(accounts::RateShare S) { Share_ = S; }
  const JobSpec &spec() const { return Spec_; }
  Instant accepted() const { return Accepted_; }
  JobState state() const { return State_; }
  void setState(JobState S) { State_ = S; }

  /// Whether the job has a task with this key.
  bool has(const TaskKey &Key) const;
  const TaskState &task(const TaskKey &Key) const;
  /// Returns the state of a task for changes other than of its phase; null if
  /// the task is done.
  TaskState *openTask(const TaskKey &Key);
  /// Sets the phase of a task to waiting or placed, unless it is done.
  void setPhase(const TaskKey &Key, TaskPhase Phase);
  /// Whether any task is waiting.
  bool hasWaiting() const { return Waiting_ > 0; }
  std::uint32_t waitingTasks() const { return Waiting_; }
  const Occurrences &occurrences() const { return Occurrences_; }
  /// The state of a step, until the next change of the job.
  const StepState &step(std::uint32_t OccurrenceIndex,
                        std::uint32_t Step) const {
    return Occurrences_[OccurrenceIndex].Steps_[Step];
  }

  /// New attempts are numbered above this one, because earlier holders may have
  /// used numbers up to it.
  Attempt attemptFloor() const { return AttemptFloor_; }
  void setAttemptFloor(Attempt Floor) { AttemptFloor_ = Floor; }

  /// Whether an occurrence may start; the later ones are due later.
  bool isDue(std::uint32_t OccurrenceIndex, WallTime Now) const;
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
  /// The critical path of the steps that are not done in an occurrence.
  Millis criticalPathOf(const Occurrence &O) const;
  /// Recomputes the remaining work and critical path.
  void updateRemaining();

  JobId Id_;
  QueueId Queue_;
  AccountId Account_;
  accounts::RateShare Share_ = accounts::RateShare::Guaranteed;
  JobSpec Spec_;
  Instant Accepted_;
  JobState State_ = JobState::Queued;
  Occurrences Occurrences_;
  /// Tasks in the waiting phase, in all occurrences.
  std::uint32_t Waiting_ = 0;
  Attempt AttemptFloor_ = 0;
  Millis CriticalPath_{0};
  double Work_ = 0;
  double RemainingWork_ = 0;
  Millis RemainingCriticalPath_{0};
};

/// Returns the name of a state for logs and dumps.
const char *stateName(JobState S);

} // namespace heathercross::schedule
