// Which waiting job goes next, and to which worker.
#pragma once

#include "heathercross/fleet-model.h"
#include "job/job-requests.h"

#include <map>
#include <optional>
#include <vector>

namespace heathercross::job {

/// A worker of the pool as the fleet view has it.
struct JobWorker {
  InstanceId Worker_;
  /// Cores and memory of the whole instance.
  JobSize Capacity_;
  /// Slots that jobs may take now.
  Slots Free_;
  bool TakesWork_ = true;
  /// Taken out of rotation.
  bool Ejected_ = false;
};

/// Free slots and teams' shares while one round of jobs is placed.
class Placement {
public:
  Placement(std::vector<JobWorker> Workers,
            const std::map<TeamId, Quota> &Quotas)
      : Workers_(std::move(Workers)), Quotas_(Quotas) {}

  /// Gives a worker no job in this round.
  void exclude(const InstanceId &Worker);
  /// Counts a slot of a worker as taken.
  void occupy(const InstanceId &Worker);
  /// Counts a job that runs to its team's share.
  void countRunning(const TeamId &Team) { ++Running_[Team]; }

  bool anyFree() const;
  /// The team's running jobs by its weight; the lowest goes first.
  double load(const TeamId &Team) const;
  /// Takes a slot on the emptiest worker that the job fits into and on which
  /// it hasn't failed.
  std::optional<InstanceId> choose(const JobRow &Job);

private:
  std::vector<JobWorker> Workers_;
  const std::map<TeamId, Quota> &Quotas_;
  std::map<TeamId, std::uint32_t> Running_;
};

} // namespace heathercross::job
