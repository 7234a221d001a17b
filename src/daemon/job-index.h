// This entry's copy of the job rows in the platform table.
#pragma once

#include "job/job-row.h"
#include "store/table-client.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace heathercross::daemon {

/// Reads changed rows under "job/" on request. Of a finished job it keeps only
/// the team, the pool and the final state.
class JobIndex {
public:
  struct Entry {
    TeamId Team_;
    PoolId Pool_;
    job::JobState State_ = job::JobState::Waiting;
    /// The job's row; empty once the job is finished.
    Row Row_;
  };

  explicit JobIndex(store::TableClient &Platform) : Platform_(Platform) {}

  /// Reads the changed rows. The callback gets whether the table responded, and
  /// the rows.
  using Done = std::function<void(bool, const std::vector<Row> &)>;
  void refresh(Done OnDone);

  const std::map<JobId, Entry> &jobs() const { return Jobs_; }
  /// Returns the rows of all jobs that are not finished.
  std::vector<Row> activeRows() const;
  std::uint32_t activeJobs(const TeamId &Team) const;

private:
  void applyRow(const Row &R);

  store::TableClient &Platform_;
  std::map<JobId, Entry> Jobs_;
  RowVersion Cursor_;
};

} // namespace heathercross::daemon
