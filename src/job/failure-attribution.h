// Attributes task failures to workers or jobs.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstddef>
#include <map>
#include <set>
#include <vector>

namespace heathercross::job {

struct FailureAttributionSettings {
  /// A worker is a suspect when this many distinct jobs have failed on it.
  std::size_t SuspectAfterJobs_ = 3;
  /// Maximum share of a pool's workers that may be ejected at once, in percent.
  /// One worker is always allowed.
  std::size_t MaxEjectedPercent_ = 20;
  /// How long a failure is counted.
  Micros Window_ = std::chrono::minutes(10);
};

/// Counts failed jobs by worker. A job that fails on a second worker counts
/// against no worker, and a success clears the worker's count. If there are
/// more suspects than may be ejected, the jobs are the likelier cause, and no
/// worker is a suspect.
class FailureAttribution {
public:
  explicit FailureAttribution(FailureAttributionSettings Settings = {})
      : Settings_(Settings) {}

  void recordFailure(Instant Now, const JobId &Job, const InstanceId &Worker);
  void recordSuccess(const InstanceId &Worker);
  void removeJob(const JobId &Job);

  /// Returns the workers to eject, given the pool's size and the workers that
  /// are already ejected.
  std::vector<InstanceId> findSuspects(Instant Now, std::size_t PoolSize,
                                       const std::set<InstanceId> &Ejected);

private:
  struct Failure {
    InstanceId Worker_;
    Instant LastFailedAt_;
    bool FailedElsewhere_ = false;
  };

  std::size_t maxEjected(std::size_t PoolSize) const;

  FailureAttributionSettings Settings_;
  std::map<JobId, Failure> Failures_;
};

} // namespace heathercross::job
