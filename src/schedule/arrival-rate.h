// How much work arrives at a pool, known soon after it changes.
//
// Load: the demand of a queue jumps from a twentieth of its mean to five times
// its mean from one moment to the next, and a machine takes about 1.7 s to
// arrive in a pool. An average over a second would order machines a second
// late. The times of the last few jobs show the jump after a few of them; one
// large job alone shows nothing, since jobs are counted, not their work.
#pragma once

#include "heathercross/units.h"

#include <cstddef>
#include <deque>

namespace heathercross::schedule {

/// The arrivals of one queue.
class ArrivalRate {
public:
  /// A job arrived that takes so many core-seconds.
  void arrived(double CoreSeconds, Instant Now);

  /// Jobs a second, at present.
  double jobsPerSecond(Instant Now) const;
  /// Core-seconds a second, which is how many cores keep up with the arrivals.
  double cores(Instant Now) const;

  /// Core-seconds of a job; 0 before the first.
  double meanWork() const { return MeanWork_; }

private:
  std::deque<Instant> Last_;
  std::size_t Jobs_ = 0;
  double MeanWork_ = 0;
};

} // namespace heathercross::schedule
