// Counting of failures by worker and job.
#include "job/failure-blame.h"

#include <algorithm>

namespace heathercross::job {

namespace {

/// The most failed jobs that are remembered.
constexpr std::size_t MaxFailures = 10'000;

} // namespace

void FailureBlame::failed(Instant Now, const JobId &Job,
                          const InstanceId &Worker) {
  const auto I = Failures_.find(Job);
  if (I == Failures_.end()) {
    if (Failures_.size() < MaxFailures)
      Failures_[Job] = {Worker, Now};
    return;
  }
  I->second.At_ = Now;
  I->second.Elsewhere_ |= I->second.Worker_ != Worker;
}

void FailureBlame::succeeded(const InstanceId &Worker) {
  std::erase_if(Failures_, [&](const auto &F) {
    return F.second.Worker_ == Worker && !F.second.Elsewhere_;
  });
}

void FailureBlame::forget(const JobId &Job) { Failures_.erase(Job); }

std::size_t FailureBlame::limit(std::size_t PoolSize) const {
  return std::max<std::size_t>(1, PoolSize * Settings_.MaxOutPercent_ / 100);
}

std::vector<InstanceId>
FailureBlame::suspects(Instant Now, std::size_t PoolSize,
                       const std::set<InstanceId> &Out) {
  std::erase_if(Failures_, [&](const auto &F) {
    return Now - F.second.At_ >= Settings_.Window_;
  });
  std::map<InstanceId, std::size_t> Counts;
  for (const auto &[Job, F] : Failures_)
    if (!F.Elsewhere_)
      ++Counts[F.Worker_];
  std::vector<InstanceId> Bad;
  for (const auto &[Worker, Count] : Counts)
    if (Count >= Settings_.JobsToSuspect_ && !Out.contains(Worker))
      Bad.push_back(Worker);
  const bool JobsAtFault = Out.size() + Bad.size() > limit(PoolSize);
  return JobsAtFault ? std::vector<InstanceId>() : Bad;
}

} // namespace heathercross::job
