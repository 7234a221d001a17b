// The rate at which work arrives at a pool, with a fast response to changes.
#include "schedule/arrival-rate.h"

#include <algorithm>
#include <array>

namespace heathercross::schedule {

namespace {

/// Numbers of most recent jobs over which the rate is computed; the highest
/// rate is used. A small number shows a jump early, a large one gives a steady
/// value while it lasts.
constexpr std::array<std::size_t, 3> SampleSizes{4, 8, 16};
/// This many jobs of each sample are not counted, so that a random cluster of a
/// few jobs is not taken for a jump.
constexpr std::size_t UncountedJobs = 2;
/// Approximate number of jobs in the moving average of the work per job.
constexpr std::size_t MeanWorkJobs = 64;
/// Minimum duration of a sample, because a busy entry reads several jobs at
/// once.
constexpr Micros MinSampleTime{Millis(60)};

} // namespace

void ArrivalRate::recordArrival(double CoreSeconds, Instant Now) {
  AveragedJobs_ = std::min(AveragedJobs_ + 1, MeanWorkJobs);
  MeanWork_ += (CoreSeconds - MeanWork_) / static_cast<double>(AveragedJobs_);
  RecentArrivals_.push_front(Now);
  if (RecentArrivals_.size() > SampleSizes.back())
    RecentArrivals_.pop_back();
}

double ArrivalRate::rateOver(std::size_t SampleSize, Instant Now) const {
  if (SampleSize > RecentArrivals_.size())
    return 0;
  const Micros SampleTime =
      std::max(MinSampleTime, Micros(Now - RecentArrivals_[SampleSize - 1]));
  const auto Counted = static_cast<double>(SampleSize - UncountedJobs);
  return Counted / std::chrono::duration<double>(SampleTime).count();
}

double ArrivalRate::jobsPerSecond(Instant Now) const {
  double Highest = 0;
  for (const std::size_t SampleSize : SampleSizes)
    Highest = std::max(Highest, rateOver(SampleSize, Now));
  return Highest;
}

double ArrivalRate::steadyCores(Instant Now) const {
  return rateOver(SampleSizes.back(), Now) * MeanWork_;
}

double ArrivalRate::cores(Instant Now) const {
  return jobsPerSecond(Now) * MeanWork_;
}

} // namespace heathercross::schedule
