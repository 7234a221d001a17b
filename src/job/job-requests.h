// What teams ask of their jobs: submit, cancel, read the result.
//
// Pure functions over rows as they were read. After a conflict or an uncertain
// answer, read the rows again and call again: each is idempotent.
#pragma once

#include "heathercross/error.h"
#include "heathercross/fleet-model.h"
#include "job/job-row.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::job {

/// The most rows that one transaction of the job part writes.
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

/// There is no such job, or it belongs to another team.
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

/// What a submission is judged by.
struct JobContext {
  /// The view in force.
  const View &View_;
  /// Every instance of the pool that is known, whether it takes work or not.
  /// Without any the size isn't judged yet.
  std::vector<JobSize> Instances_;
  /// The team's jobs that wait or run, as this entry last saw them. Entries
  /// that accept at the same moment may together pass the limit by a few.
  std::uint32_t TeamJobs_ = 0;
};

struct JobStep {
  JobRow Job_;
  /// Nothing when the job had been accepted before.
  std::optional<Transaction> Write_;
};

/// Accepts a job: it is acknowledged only once the write is committed. Throws
/// JobIdTaken, NoSuchPool, JobNeverFits, TooManyJobs, FormatError.
JobStep submitJob(const JobSpec &Spec, const TeamId &Team,
                  const std::optional<Row> &Existing, const JobContext &Context,
                  const AttemptId &Attempt);

struct Cancellation {
  /// Each writes at most MaxBatch rows; a conflict concerns only its own.
  std::vector<Transaction> Writes_;
  /// The state of each asked job once the writes are committed. Jobs that
  /// aren't the team's are left out.
  std::map<JobId, JobState> States_;
};

/// Cancels those of the jobs that wait or run.
Cancellation cancelJobs(const TeamId &Team, const std::vector<Row> &Rows,
                        const AttemptId &Attempt);

/// The job, if it is the team's. Throws NoSuchJob.
JobRow jobFor(const TeamId &Team, const JobId &Job,
              const std::optional<Row> &Found);
/// What a done job's row says of its result, if it is the team's. Throws
/// NoSuchJob, JobNotDone.
std::string resultFor(const TeamId &Team, const JobId &Job,
                      const std::optional<Row> &Found);

/// Whether a declared size fits into an instance.
bool fits(const JobSize &Need, const JobSize &Instance);

} // namespace heathercross::job
