// How much work arrives at a pool, known soon after it changes.
#include "schedule/arrival-rate.h"

#include <algorithm>
#include <array>

namespace heathercross::schedule {

namespace {

/// The rate is taken over so many last jobs, whichever gives the highest: few
/// show a jump soon, many give a steady figure while it lasts.
constexpr std::array<std::size_t, 3> Spans{4, 8, 16};
/// Jobs that don't count of each span, so that a chance cluster of a few jobs
/// isn't taken for a jump.
constexpr std::size_t Discount = 2;
/// The mean work of a job is taken over about so many jobs.
constexpr std::size_t MeanJobs = 64;
/// Jobs that came closer together count as this far apart: a busy entry reads
/// several at once.
constexpr Micros ShortestSpan{Millis(60)};

} // namespace

void ArrivalRate::arrived(double CoreSeconds, Instant Now) {
  Jobs_ = std::min(Jobs_ + 1, MeanJobs);
  MeanWork_ += (CoreSeconds - MeanWork_) / static_cast<double>(Jobs_);
  Last_.push_front(Now);
  if (Last_.size() > Spans.back())
    Last_.pop_back();
}

double ArrivalRate::jobsPerSecond(Instant Now) const {
  double Highest = 0;
  for (const std::size_t Span : Spans) {
    if (Span > Last_.size())
      break;
    const Micros Took = std::max(ShortestSpan, Micros(Now - Last_[Span - 1]));
    const auto Counted = static_cast<double>(Span - Discount);
    Highest = std::max(Highest,
                       Counted / std::chrono::duration<double>(Took).count());
  }
  return Highest;
}

double ArrivalRate::cores(Instant Now) const {
  return jobsPerSecond(Now) * MeanWork_;
}

} // namespace heathercross::schedule
