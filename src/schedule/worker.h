// What a pool's scheduler believes of one worker.
#pragma once

#include "schedule/model.h"

#include <map>
#include <optional>

namespace heathercross::schedule {

enum class RunPhase : std::uint8_t {
  /// The order to start is on its way.
  Ordered,
  Working,
  /// The order to start had no answer: it may be carried out yet.
  Unresolved,
};

/// One run of a task on a worker. It takes capacity until its end is certain.
struct Run {
  Attempt Attempt_ = 0;
  Resources Reserved_;
  /// What the step says of its tasks.
  bool Lasting_ = false;
  bool Filler_ = false;
  Millis LatencyGoal_{0};
  RunPhase Phase_ = RunPhase::Ordered;
  /// When the order was answered, or the run was first reported.
  Instant Settled_;
  Instant Ordered_;
  bool StopWanted_ = false;
  /// The stop is only meant for an order that wasn't carried out.
  bool StopIfUnseen_ = false;
  bool StopInFlight_ = false;
  /// When the worker answered the order to stop.
  std::optional<Instant> StopAnswered_;
  Instant NextStop_;
  std::uint32_t Percent_ = 0;
  Instant LastProgress_;
  std::int64_t Load_ = 0;
  /// The share of its work that a filler may do now, in percent.
  std::uint32_t Pace_ = 100;
  Instant PaceChanged_;
};

class Worker {
public:
  explicit Worker(WorkerInfo Info) : Info_(std::move(Info)) {}

  const WorkerInfo &info() const { return Info_; }
  void setInfo(WorkerInfo Info) { Info_ = std::move(Info); }

  Resources free() const {
    Resources Free = Info_.Capacity_;
    return Free -= Used_;
  }
  const Resources &used() const { return Used_; }
  const std::map<TaskKey, Run> &runs() const { return Runs_; }
  std::map<TaskKey, Run> &runs() { return Runs_; }
  /// How many runs last, and how many of them only fill.
  std::uint32_t lasting() const { return Lasting_; }
  std::uint32_t fillers() const { return Fillers_; }

  Run *find(const TaskKey &Key) {
    const auto It = Runs_.find(Key);
    return It == Runs_.end() ? nullptr : &It->second;
  }
  Run &add(const TaskKey &Key, Run R) {
    remove(Key);
    Used_ += R.Reserved_;
    Lasting_ += R.Lasting_ ? 1 : 0;
    Fillers_ += R.Filler_ ? 1 : 0;
    return Runs_[Key] = R;
  }
  void remove(const TaskKey &Key) {
    const auto It = Runs_.find(Key);
    if (It == Runs_.end())
      return;
    Used_ -= It->second.Reserved_;
    Lasting_ -= It->second.Lasting_ ? 1 : 0;
    Fillers_ -= It->second.Filler_ ? 1 : 0;
    Runs_.erase(It);
  }

  /// Whether the worker has answered at all in its present life.
  bool heard() const { return Born_.has_value(); }

  /// Whether something may run there, now or soon. A later holder waits for
  /// such workers, so those that stay empty aren't among them.
  bool mayHold(Instant Now) const {
    return !Runs_.empty() || !heard() ||
           (Registered_ && !SilentSince_ && !Info_.Draining_ &&
            VacateUntil_ <= Now);
  }

  std::optional<std::int64_t> Born_;
  /// Whether it is registered now.
  bool Registered_ = true;
  /// Whether the stored roster names it, so that a later holder knows where
  /// something may run.
  bool Rostered_ = false;
  /// Since when renewals of its leases fail.
  std::optional<Instant> SilentSince_;
  /// When everything that runs there has lapsed, unless it is renewed.
  Instant LeasesEnd_;
  /// The last end that was taken in.
  std::uint64_t LastEnd_ = 0;
  /// No new task starts there before.
  Instant PausedUntil_;
  /// Failed runs since the last one that ended well, and of how many jobs.
  std::uint32_t FailuresInRow_ = 0;
  JobId LastFailedJob_;
  /// An order to start has waited unusually long for its answer: the worker
  /// may be out of reach, and gets no more orders until it answers.
  bool AnswersLate_ = false;
  /// The worker shall become empty: no new task starts there until then.
  Instant VacateUntil_;

private:
  WorkerInfo Info_;
  Resources Used_;
  std::uint32_t Lasting_ = 0;
  std::uint32_t Fillers_ = 0;
  std::map<TaskKey, Run> Runs_;
};

} // namespace heathercross::schedule
