// Chooses workers for jobs and computes the teams' shares.
#pragma once

#include "heathercross/fleet-model.h"
#include "job/job-requests.h"

#include <map>
#include <optional>
#include <vector>

namespace heathercross::job {

/// The state of one worker of the pool, as input of the placement.
struct JobWorker {
  InstanceId Worker_;
  /// Cores and memory of the whole instance.
  JobSize Capacity_;
  /// Slots that are free for jobs.
  Slots Free_;
  bool TakesWork_ = true;
  bool Ejected_ = false;
};

/// Tracks free slots and teams' shares during one round of placement.
class Placement {
public:
  Placement(std::vector<JobWorker> Workers,
            const std::map<TeamId, Quota> &Quotas)
      : Workers_(std::move(Workers)), Quotas_(Quotas) {}

  /// Excludes a worker from this round.
  void exclude(const InstanceId &Worker);
  /// Marks one slot of a worker as used.
  void reserveSlot(const InstanceId &Worker);
  /// Adds a running job to its team's share.
  void countRunning(const TeamId &Team) { ++Running_[Team]; }

  bool hasFreeSlot() const;
  /// Returns the team's running jobs divided by its weight. The team with the
  /// lowest value is served next.
  double weightedLoad(const TeamId &Team) const;
  /// Takes a slot of the worker with the most free slots among those that are
  /// large enough and on which the job hasn't failed.
  std::optional<InstanceId> chooseWorker(const JobRow &Job);

private:
  std::vector<JobWorker> Workers_;
  const std::map<TeamId, Quota> &Quotas_;
  std::map<TeamId, std::uint32_t> Running_;
};

} // namespace heathercross::job
