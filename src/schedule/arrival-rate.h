// The rate at which work arrives at a pool, with a fast response to changes.
//
// Load: the demand of a queue jumps from a twentieth of its mean to five times
// its mean at once, and a machine takes about 1.7 s to arrive in a pool. An
// average over a second would order machines a second late. The arrival times
// of the last few jobs show such a jump after a few jobs. A single large job
// does not look like a jump, because jobs are counted and not their work.
#pragma once

#include "heathercross/units.h"

#include <cstddef>
#include <deque>

namespace heathercross::schedule {

/// The arrival rate of one queue.
class ArrivalRate {
public:
  /// Records the arrival of a job with this much work.
  void recordArrival(double CoreSeconds, Instant Now);

  /// Returns the current rate in jobs per second.
  double jobsPerSecond(Instant Now) const;
  /// Returns the current rate in core-seconds per second, the number of cores
  /// that keep up with the arrivals.
  double cores(Instant Now) const;
  /// Returns the rate in core-seconds per second over the largest sample, which
  /// follows a jump later but doesn't take a random cluster of jobs for one.
  double steadyCores(Instant Now) const;

  /// Mean core-seconds of a job; 0 before the first one.
  double meanWork() const { return MeanWork_; }

private:
  /// Returns the rate in jobs per second over the last jobs, as many as the
  /// sample has; 0 without so many.
  double rateOver(std::size_t SampleSize, Instant Now) const;

  std::deque<Instant> RecentArrivals_;
  std::size_t AveragedJobs_ = 0;
  double MeanWork_ = 0;
};

} // namespace heathercross::schedule
