// Learns the run times of a pool's tasks from their ends.
#pragma once

#include "core/run-time-estimate.h"
#include "schedule/model.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::schedule {

/// Whether the run time of the step's tasks depends on their work alone: not on
/// other members of a gang, a cancellation or the idle time of a worker.
inline bool hasOwnRunTime(const StepSpec &S) {
  return !S.LongRunning_ && !S.BestEffort_ && !S.Gang_;
}

/// Estimates of run times, one for each image, and one for each queue's steps
/// without an image. Memory only: a later holder learns anew.
class RunTimes {
public:
  /// Adds the run time of a task of the step.
  void observe(const QueueId &Queue, const StepSpec &S, Micros RunTime);

  /// Returns the estimate for the step's tasks; null before enough of them were
  /// measured.
  const RunTimeEstimate *find(const QueueId &Queue, const StepSpec &S) const;

  std::size_t size() const { return Kinds_.size(); }
  /// Maximum number of estimates; the one that was unused for longest makes
  /// room for a new one.
  static constexpr std::size_t MaxKinds = 256;

private:
  /// The image, or the queue of steps without one.
  using Kind = std::pair<std::string, QueueId>;
  struct Sample {
    Millis Declared_{0};
    Micros RunTime_{0};
  };
  struct Learned {
    RunTimeEstimate Estimate_;
    /// The first measurements, until there are enough to tell the typical ones.
    std::vector<Sample> First_;
    std::uint64_t LastUse_ = 0;
  };

  static Kind kindOf(const QueueId &Queue, const StepSpec &S);
  static void observeFirst(Learned &L);
  void makeRoom();

  std::map<Kind, Learned> Kinds_;
  std::uint64_t Uses_ = 0;
};

} // namespace heathercross::schedule
