// The rows of a pool's jobs.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/units.h"
#include "schedule/pool-journal.h"
#include "schedule/store-clock.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// The rows of a table by key, as they are in the store: a long value takes
/// several.
using TableRows = std::map<std::string, std::string>;

/// A job as earlier holders stored it.
struct StoredJob {
  std::string Row_;
  /// Absent if no change has been stored since the job was accepted.
  std::optional<std::string> Progress_;
  /// If the job has ended: when, or the time of loading if that isn't known.
  Instant EndedAt_;
};

struct StoredJobs {
  std::map<JobId, StoredJob> Jobs_;
  /// Jobs of which the row or the progress can't be read as a whole. They may
  /// have ended, so they must not begin anew.
  std::set<JobId> Incomplete_;
  /// Number of jobs that were deleted except for their progress.
  std::size_t Leftovers_ = 0;
};

/// Puts the changes of jobs into a pool's journal, and reads what earlier
/// holders stored. A holder may end after any batch, and batches end between
/// any two changes. So whatever changes are missing at the end, the rows have
/// to restore to a state that each job was in.
class JobRows {
public:
  /// The journal and the clock must outlive this object.
  JobRows(PoolJournal &Journal, const StoreClock &Clock);

  /// Takes in the rows of earlier holders, before any other change.
  StoredJobs restore(const TableRows &Jobs, const TableRows &Progress,
                     Instant Now);
  /// Notes that a restored job has ended.
  void restoreEnd(const JobId &Id, Instant EndedAt);

  /// Adds a job. The ticket is that of its row.
  PoolJournal::Ticket add(const JobId &Id, std::string Row, Instant Now);
  /// Stores a job's progress; urgently if the job has ended.
  void putProgress(const JobId &Id, std::string Progress, bool HasEnded,
                   Instant Now);
  /// Whether a job has ended and a later holder knows that.
  bool isEndStored(const JobId &Id) const;
  /// The change that makes a job's end durable; 0 if it hasn't ended or was
  /// restored.
  PoolJournal::Ticket endTicket(const JobId &Id) const;
  /// Now and then, deletes the jobs that ended more than Kept ago, and returns
  /// them.
  std::vector<JobId> purge(Instant Now, Millis Kept);

private:
  struct JobEnd {
    PoolJournal::Ticket Ticket_ = 0;
    Instant EndedAt_;
  };

  PoolJournal &Journal_;
  const StoreClock &Clock_;
  std::map<JobId, JobEnd> Ends_;
  Instant LastPurge_;
};

} // namespace heathercross::schedule
