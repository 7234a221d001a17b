// Takes instances on which work keeps failing out of rotation, and back.
#pragma once

#include "fleet/availability.h"
#include "fleet/pool-plan.h"

#include <cstdint>
#include <map>
#include <optional>

namespace heathercross::fleet {

/// When an instance is ejected and readmitted.
struct HealthLimits {
  /// Distinct pieces of work that must have failed.
  std::uint32_t DistinctFailures_ = 5;
  /// The share of its work that must have failed.
  double FailureShare_ = 0.5;
  /// The share of a pool that may be ejected at the same time.
  double MaxEjectedShare_ = 0.3;
  /// Evidence older than about this doesn't count.
  Millis Window_{30'000};
  /// How long the first ejection lasts; each repeat doubles it.
  Millis FirstBackoff_{5'000};
  Millis MaxBackoff_{300'000};
  /// While on probation, this many distinct failures eject again.
  std::uint32_t ProbationFailures_ = 2;
  /// While on probation, this many successes end it.
  std::uint32_t ProbationSuccesses_ = 10;
};

/// Judges the evidence of the entries. What it remembers is soft: losing it
/// restarts windows and backoffs.
class Health {
public:
  explicit Health(HealthLimits Limits = {}) : Limits_(Limits) {}

  /// Ejects and readmits members of the pool. Ejections take a permit.
  void advance(const Snapshot &S, const PoolPicture &Picture, PoolPlan &Plan);

  /// Forgets instances that have no row.
  void keepOnly(const std::map<InstanceId, InstanceRecord> &Instances);

private:
  /// Evidence at a moment; what came later is the difference to it.
  struct Mark {
    InstanceEvidence Evidence_;
    Instant At_;
  };
  struct History {
    std::optional<Mark> Older_;
    Mark Newer_;
    /// How often it was ejected in a row.
    std::uint32_t Ejections_ = 0;
    bool OnProbation_ = false;
    std::optional<Instant> EjectedAt_;
  };

  InstanceEvidence recent(History &H, const InstanceEvidence &Total,
                          Instant Now) const;
  bool failing(const History &H, const InstanceEvidence &Recent) const;
  Millis backoff(const History &H) const;
  void readmit(const Snapshot &S, const Member &M, History &H, PoolPlan &Plan);
  std::vector<const Member *> failingMembers(const Snapshot &S,
                                             const PoolPicture &Picture);

  HealthLimits Limits_;
  std::map<InstanceId, History> Histories_;
};

} // namespace heathercross::fleet
