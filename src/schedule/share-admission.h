// Admission of jobs beyond the guaranteed rates of their accounts, and the
// delays before rejected jobs may return.
#pragma once

#include "schedule/job.h"

namespace heathercross::schedule {

/// The load of a pool that a submitted job meets.
struct PoolLoad {
  /// Cores of the workers that accept tasks.
  double Cores_ = 0;
  /// Core-seconds of unfinished work that is ranked ahead of the job.
  double WorkAhead_ = 0;
  /// Cores that keep up with the arriving guaranteed work.
  double GuaranteedArriving_ = 0;
  /// Cores that neither runs nor waiting tasks of jobs in time needed in one of
  /// the last scheduling rounds.
  double IdleCores_ = 0;
  /// Cores that the largest step of the job needs.
  double NeededCores_ = 0;
  /// Number of tasks that haven't started, of jobs that are ranked ahead of it.
  std::uint32_t TasksAhead_ = 0;
};

/// Whether a job can complete within its objective behind the guaranteed work,
/// including what keeps arriving. It can if it could start at once, or if the
/// cores that arriving work leaves carry out the work ahead in time. Jobs
/// beyond the guaranteed rate that cannot are rejected at once.
bool fitsBehindGuaranteed(const Job &J, const QueueSettings &Q,
                          const PoolLoad &L);

/// Returns the time until the work ahead has shrunk so far that the job can
/// complete within its objective, as a Retry-After; its upper bound if that
/// isn't foreseeable.
Millis retryAfterBacklog(const Job &J, const QueueSettings &Q,
                         const PoolLoad &L);

} // namespace heathercross::schedule
