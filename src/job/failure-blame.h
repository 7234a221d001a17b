// Tells bad workers from bad jobs.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace heathercross::job {

struct BlameSettings {
  /// A worker is suspect when this many distinct jobs failed on it.
  std::size_t JobsToSuspect_ = 3;
  /// The share of a pool that may be out at once, in percent; one worker is
  /// always allowed.
  std::size_t MaxOutPercent_ = 20;
  /// Failures count this long.
  Micros Window_ = std::chrono::minutes(10);
};

/// Counts failures by worker. A job that fails on a second worker is taken to
/// be bad itself and blames none; a success clears the worker. When more
/// workers look bad than may be out, the jobs are the likelier cause, and none
/// is suspect.
class FailureBlame {
public:
  explicit FailureBlame(BlameSettings Settings = {}) : Settings_(Settings) {}

  void failed(Instant Now, const JobId &Job, const InstanceId &Worker);
  void succeeded(const InstanceId &Worker);
  void forget(const JobId &Job);

  /// The workers to take out now, given the pool's size and who is out.
  std::vector<InstanceId> suspects(Instant Now, std::size_t PoolSize,
                                   const std::set<InstanceId> &Out);

private:
  struct Failure {
    InstanceId Worker_;
    Instant At_;
    bool Elsewhere_ = false;
  };

  std::size_t limit(std::size_t PoolSize) const;

  BlameSettings Settings_;
  std::map<JobId, Failure> Failures_;
};

} // namespace heathercross::job
