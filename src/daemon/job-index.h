// The rows of jobs as this entry last read them.
#pragma once

#include "job/job-row.h"
#include "store/table-client.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace heathercross::daemon {

/// Follows the rows under "job/" by reading what changed. Of jobs that ended it
/// keeps only whose they are and how they ended.
class JobIndex {
public:
  struct Entry {
    TeamId Team_;
    PoolId Pool_;
    job::JobState State_ = job::JobState::Waiting;
    /// The whole row, while the job isn't over.
    Row Row_;
  };

  explicit JobIndex(store::TableClient &Platform) : Platform_(Platform) {}

  /// Reads what changed; Done gets the changed rows, or false when the table
  /// didn't answer.
  using Done = std::function<void(bool, const std::vector<Row> &)>;
  void refresh(Done OnDone);

  const std::map<JobId, Entry> &jobs() const { return Jobs_; }
  /// The rows of all jobs that wait or run.
  std::vector<Row> activeRows() const;
  std::uint32_t activeOf(const TeamId &Team) const;

private:
  void take(const Row &R);

  store::TableClient &Platform_;
  std::map<JobId, Entry> Jobs_;
  RowVersion Cursor_;
};

} // namespace heathercross::daemon
