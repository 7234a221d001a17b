// Requests of teams about their jobs: submission, cancellation and results.
//
// Pure, idempotent functions over rows that the caller has read. After a
// conflict or an uncertain result, the caller reads the rows again and repeats
// the call.
#pragma once

#include "heathercross/error.h"
#include "heathercross/fleet-model.h"
#include "job/job-row.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::job {

/// Maximum number of job rows that one transaction writes.
inline constexpr std::size_t MaxBatch = 100;

class JobIdTaken : public Error {
public:
  explicit JobIdTaken(const JobId &Job);
  const char *code() const noexcept override { return "job-id-taken"; }
};

/// No instance of the pool is large enough for the job.
class JobNeverFits : public Error {
public:
  JobNeverFits(const JobSpec &Spec, const JobSize &Largest);
  const char *code() const noexcept override { return "never-fits"; }
};

class TooManyJobs : public Error {
public:
  TooManyJobs(const TeamId &Team, std::uint32_t Limit);
  const char *code() const noexcept override { return "too-many-jobs"; }
};

class NoSuchPool : public Error {
public:
  explicit NoSuchPool(const PoolId &Pool);
  const char *code() const noexcept override { return "no-such-pool"; }
};

/// The job doesn't exist or belongs to another team.
class NoSuchJob : public Error {
public:
  explicit NoSuchJob(const JobId &Job);
  const char *code() const noexcept override { return "no-such-job"; }
};

class JobNotDone : public Error {
public:
  JobNotDone(const JobId &Job, JobState State);
  const char *code() const noexcept override { return "job-not-done"; }
};

/// The state that a submission is checked against.
struct SubmitContext {
  /// The agreed view.
  const View &View_;
  /// The sizes of all known instances of the pool, whether they accept work or
  /// not. If there are none, the job's size isn't checked.
  std::vector<JobSize> Instances_;
  /// The team's waiting and running jobs that this entry knows. Entries that
  /// accept jobs at the same time may exceed the limit by a few.
  std::uint32_t ActiveTeamJobs_ = 0;
};

struct SubmitResult {
  JobRow Job_;
  /// Absent if the job was already accepted.
  std::optional<Transaction> Write_;
};

/// Accepts a job. Acknowledge it only after the write is committed. Throws
/// JobIdTaken, NoSuchPool, JobNeverFits, TooManyJobs, FormatError.
SubmitResult submitJob(const JobSpec &Spec, const TeamId &Team,
                       const std::optional<Row> &Existing,
                       const SubmitContext &Context, const AttemptId &Attempt);

struct Cancellation {
  /// Independent transactions of at most MaxBatch rows each.
  std::vector<Transaction> Writes_;
  /// The state of each requested job after the writes are committed. Jobs of
  /// other teams are omitted.
  std::map<JobId, JobState> States_;
};

/// Cancels those of the given jobs that are waiting or running.
Cancellation cancelJobs(const TeamId &Team, const std::vector<Row> &Rows,
                        const AttemptId &Attempt);

/// Returns the job if it belongs to the team. Throws NoSuchJob.
JobRow jobFor(const TeamId &Team, const JobId &Job,
              const std::optional<Row> &Found);
/// Returns the Result_ of a done job's row if it belongs to the team. Throws
/// NoSuchJob, JobNotDone.
std::string resultFor(const TeamId &Team, const JobId &Job,
                      const std::optional<Row> &Found);

/// Whether an instance is large enough for a job.
bool fits(const JobSize &Need, const JobSize &Instance);

} // namespace heathercross::job
