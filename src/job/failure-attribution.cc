// Attributes task failures to workers or jobs.
#include "job/failure-attribution.h"

#include <algorithm>

namespace heathercross::job {

namespace {

/// Maximum number of failed jobs that are tracked.
constexpr std::size_t MaxTrackedJobs = 10'000;

} // namespace

void FailureAttribution::recordFailure(Instant Now, const JobId &Job,
                                       const InstanceId &Worker) {
  const auto I = Failures_.find(Job);
  if (I == Failures_.end()) {
    if (Failures_.size() < MaxTrackedJobs)
      Failures_[Job] = {Worker, Now};
    return;
  }
  I->second.LastFailedAt_ = Now;
  I->second.FailedElsewhere_ |= I->second.Worker_ != Worker;
}

void FailureAttribution::recordSuccess(const InstanceId &Worker) {
  std::erase_if(Failures_, [&](const auto &F) {
    return F.second.Worker_ == Worker && !F.second.FailedElsewhere_;
  });
}

void FailureAttribution::removeJob(const JobId &Job) { Failures_.erase(Job); }

std::size_t FailureAttribution::maxEjected(std::size_t PoolSize) const {
  return std::max<std::size_t>(1,
                               PoolSize * Settings_.MaxEjectedPercent_ / 100);
}

std::vector<InstanceId>
FailureAttribution::findSuspects(Instant Now, std::size_t PoolSize,
                                 const std::set<InstanceId> &Ejected) {
  std::erase_if(Failures_, [&](const auto &F) {
    return Now - F.second.LastFailedAt_ >= Settings_.Window_;
  });
  std::map<InstanceId, std::size_t> Counts;
  for (const auto &[Job, F] : Failures_)
    if (!F.FailedElsewhere_)
      ++Counts[F.Worker_];
  std::vector<InstanceId> Suspects;
  for (const auto &[Worker, Count] : Counts)
    if (Count >= Settings_.SuspectAfterJobs_ && !Ejected.contains(Worker))
      Suspects.push_back(Worker);
  const bool TooManySuspects =
      Ejected.size() + Suspects.size() > maxEjected(PoolSize);
  return TooManySuspects ? std::vector<InstanceId>() : Suspects;
}

} // namespace heathercross::job
