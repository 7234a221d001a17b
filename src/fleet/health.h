// Ejects instances on which work keeps failing and readmits them later.
#pragma once

#include "fleet/availability.h"
#include "fleet/pool-plan.h"

#include <cstdint>
#include <map>
#include <optional>

namespace heathercross::fleet {

/// Limits for ejecting and readmitting instances.
struct HealthLimits {
  /// Minimum number of distinct jobs or requests that failed.
  std::uint32_t DistinctFailures_ = 5;
  /// Minimum share of the instance's work that failed.
  double FailureShare_ = 0.5;
  /// Maximum share of a pool's members that may be ejected at the same time.
  double MaxEjectedShare_ = 0.3;
  /// Maximum period over which outcomes are counted. The actual period varies
  /// between half of it and all of it.
  Millis Window_{30'000};
  /// Duration of the first ejection; each consecutive one doubles it.
  Millis FirstBackoff_{5'000};
  Millis MaxBackoff_{300'000};
  /// Distinct failures that eject an instance again while on probation.
  std::uint32_t ProbationFailures_ = 2;
  /// Successes that end the probation.
  std::uint32_t ProbationSuccesses_ = 10;
};

/// Ejects and readmits instances by the outcomes that the entries report. Its
/// state is soft: losing it restarts windows and backoffs.
class HealthMonitor {
public:
  explicit HealthMonitor(HealthLimits Limits = {}) : Limits_(Limits) {}

  /// Plans ejections and readmissions of the pool's members. Ejections use the
  /// pool's permits.
  void advance(const Snapshot &S, const PoolSnapshot &Pool, PoolPlan &Plan);

  /// Drops the state of instances that have no row.
  void keepOnly(const std::map<InstanceId, InstanceRecord> &Instances);

private:
  /// The counters at one time. Differences between samples give the outcomes
  /// in between.
  struct Sample {
    InstanceOutcomes Evidence_;
    Instant TakenAt_;
  };
  struct History {
    std::optional<Sample> OlderSample_;
    Sample NewerSample_;
    std::uint32_t ConsecutiveEjections_ = 0;
    bool OnProbation_ = false;
    std::optional<Instant> EjectedAt_;
  };

  InstanceOutcomes recentEvidence(History &H, const InstanceOutcomes &Total,
                                  Instant Now) const;
  bool isFailing(const History &H, const InstanceOutcomes &Recent) const;
  Millis backoff(const History &H) const;
  void readmitIfDue(const Snapshot &S, const Member &M, History &H,
                    PoolPlan &Plan);
  /// Updates the history of every member and returns the failing active ones,
  /// those with the most distinct failures first.
  std::vector<const Member *> failingMembers(const Snapshot &S,
                                             const PoolSnapshot &Pool);

  HealthLimits Limits_;
  std::map<InstanceId, History> Histories_;
};

} // namespace heathercross::fleet
