// The progress of a job's tasks.
//
// Load: jobs whose schedules reach far ahead. One job may have 200,000 tasks in
// all its occurrences, of which few run at a time. A task takes memory only
// while it has begun and isn't done.
#pragma once

#include "schedule/model.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::schedule {

enum class TaskPhase : std::uint8_t { Waiting, Placed, Done };

/// A start order without a clear answer. The worker that got it may still carry
/// it out, after a restart even though it refused it before; meanwhile the task
/// starts nowhere else.
struct UnresolvedOrder {
  InstanceId Worker_;
  Attempt Attempt_ = 0;
  /// When the order can no longer be carried out.
  Instant Until_;
};

struct TaskState {
  TaskPhase Phase_ = TaskPhase::Waiting;
  /// The highest attempt that this holder ordered or found in a report.
  Attempt Attempt_ = 0;
  /// The attempt of the current run.
  Attempt RunAttempt_ = 0;
  /// The highest attempt that a worker is known to have carried out or refused
  /// as outdated.
  Attempt SeenAttempt_ = 0;
  std::uint32_t Failures_ = 0;
  /// The attempts that are counted in Failures_.
  std::vector<Attempt> FailedAttempts_;
  /// The worker of the current run, or of the last failed one.
  InstanceId Worker_;
  std::string Checkpoint_;
  /// The second run of a task of a speculative step; its attempt is 0 if there
  /// is none.
  InstanceId CopyWorker_;
  Attempt CopyAttempt_ = 0;
  /// Whether a copy was started, or one of an earlier holder was found.
  bool Copied_ = false;
  /// Number of runs of the task that are being stopped. None starts meanwhile.
  std::uint32_t UnwantedRuns_ = 0;
  /// The last order that was given up without a clear answer.
  std::optional<UnresolvedOrder> Unresolved_;
  /// When this holder last ordered a start, and why it gave that run up.
  Instant OrderedAt_;
  const char *ReleaseCause_ = "";

  /// The number of the next attempt, above Floor. The highest number is given
  /// again, as the numbers must not start anew.
  Attempt nextAttempt(Attempt Floor) const {
    const Attempt Last = std::max(Attempt_, Floor);
    return Last == std::numeric_limits<Attempt>::max() ? Last : Last + 1;
  }
};

/// The tasks of one step of an occurrence.
class StepState {
public:
  /// All tasks are waiting.
  explicit StepState(std::uint32_t Count) : Count_(Count), Waiting_(Count) {}
  /// Returns a step whose tasks are all done.
  static StepState allDone(std::uint32_t Count);

  std::uint32_t count() const { return Count_; }
  std::uint32_t doneCount() const { return Done_; }
  std::uint32_t waitingCount() const { return Waiting_; }
  bool done() const { return Done_ == Count_; }
  /// Whether no task has begun.
  bool pristine() const { return Done_ == 0 && Begun_.empty(); }

  /// Returns the state of a task. Of a task that is done only the phase is
  /// known.
  const TaskState &task(std::uint32_t Index) const;
  /// Returns the state of a task for changes other than of its phase; null if
  /// the task is done. The pointer stays valid until the task is done.
  TaskState *openTask(std::uint32_t Index);
  /// Sets the phase of a task to waiting or placed, unless it is done.
  void setPhase(std::uint32_t Index, TaskPhase Phase);
  /// Marks a task as done, for good.
  void finish(std::uint32_t Index);

private:
  bool isDone(std::uint32_t Index) const {
    return done() || (!DoneTasks_.empty() && DoneTasks_[Index]);
  }

  std::uint32_t Count_;
  std::uint32_t Done_ = 0;
  std::uint32_t Waiting_;
  /// Tasks that have begun and aren't done.
  std::map<std::uint32_t, TaskState> Begun_;
  /// Empty if no task is done, or all are.
  std::vector<bool> DoneTasks_;
};

/// The state of one execution of a job's steps.
struct Occurrence {
  std::vector<StepState> Steps_;

  bool done() const { return std::ranges::all_of(Steps_, &StepState::done); }
  bool pristine() const {
    return std::ranges::all_of(Steps_, &StepState::pristine);
  }
  /// Number of tasks in the waiting phase.
  std::uint32_t waitingCount() const;
};

/// The occurrences of a job. Those that haven't begun share one state, and so
/// do those that are done.
class Occurrences {
public:
  /// Count occurrences of these steps, none of which has begun.
  Occurrences(const std::vector<StepSpec> &Steps, std::uint32_t Count);

  std::uint32_t count() const { return Count_; }
  /// The first occurrence that isn't done; count() if all are.
  std::uint32_t firstOpen() const { return FirstOpen_; }
  bool done() const { return DoneCount_ == Count_; }
  /// The state of an occurrence, until the next change.
  const Occurrence &operator[](std::uint32_t Index) const;
  /// Calls Visit(State, Repeats) for all occurrences in order; Repeats is the
  /// number of occurrences in a row that share the state.
  template <typename Visitor> void forEachRange(Visitor Visit) const;
  /// Returns an occurrence for a change; null if it is done.
  Occurrence *open(std::uint32_t Index);
  /// Sets the states of Repeats occurrences from Index on, none of which has
  /// begun.
  void set(std::uint32_t Index, std::uint32_t Repeats, const Occurrence &State);
  /// Drops the state of an occurrence if it is done.
  void closeIfDone(std::uint32_t Index);

private:
  bool isDone(std::uint32_t Index) const {
    return Index < DoneOccurrences_.size() && DoneOccurrences_[Index];
  }
  void markDone(std::uint32_t Index);

  std::uint32_t Count_;
  std::uint32_t DoneCount_ = 0;
  std::uint32_t FirstOpen_ = 0;
  /// The state of every occurrence that hasn't begun, or is done.
  Occurrence New_;
  Occurrence Done_;
  /// Occurrences that have begun and aren't done.
  std::map<std::uint32_t, Occurrence> Begun_;
  /// Up to the last occurrence that is done.
  std::vector<bool> DoneOccurrences_;
};

template <typename Visitor>
void Occurrences::forEachRange(Visitor Visit) const {
  if (FirstOpen_ > 0)
    Visit(Done_, FirstOpen_);
  const auto Known = static_cast<std::uint32_t>(DoneOccurrences_.size());
  auto Next = Begun_.begin();
  for (std::uint32_t Index = FirstOpen_; Index < Count_;) {
    if (Next != Begun_.end() && Next->first == Index) {
      Visit(Next->second, 1U);
      ++Next;
      ++Index;
      continue;
    }
    const std::uint32_t Limit = Next == Begun_.end() ? Count_ : Next->first;
    const bool Done = isDone(Index);
    std::uint32_t End = Index + 1;
    while (End < std::min(Limit, Known) && isDone(End) == Done)
      ++End;
    if (!Done && End >= Known)
      End = Limit;
    Visit(Done ? Done_ : New_, End - Index);
    Index = End;
  }
}

} // namespace heathercross::schedule
