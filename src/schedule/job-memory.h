// Limits the memory of the jobs that a pool has accepted.
//
// Load: callers that hand in long jobs, or many at a time. An entry instance
// keeps a job until its state needn't be known any more, and after the loss of
// the others it holds the jobs of all pools. A pool beyond its share would end
// one holder after the other, as each loads the same jobs.
#pragma once

#include "heathercross/ids.h"
#include "schedule/model.h"

#include <cstddef>
#include <map>

namespace heathercross::schedule {

/// Estimated bytes that a holder takes for a job with a row of this size, while
/// it loads the row and from then on, apart from the tasks that have begun.
std::size_t memoryOf(const JobSpec &Spec, std::size_t RowBytes);

/// The memory that the accepted jobs of a pool take.
class JobMemory {
public:
  /// Sets the share of this pool: half of the instance's memory is divided
  /// among all pools.
  void setLimit(std::size_t InstanceBytes, std::size_t Pools);

  /// Whether another job of this size may be accepted.
  bool fits(std::size_t Bytes) const {
    return Bytes <= Limit_ && Used_ <= Limit_ - Bytes;
  }
  /// Adds a job that has been accepted, by this holder or an earlier one.
  void add(const JobId &Id, std::size_t Bytes);
  void remove(const JobId &Id);
  std::size_t used() const { return Used_; }
  std::size_t limit() const { return Limit_; }

private:
  std::map<JobId, std::size_t> Jobs_;
  std::size_t Used_ = 0;
  std::size_t Limit_ = 0;
};

} // namespace heathercross::schedule
