// Requests of teams about their jobs: submission, cancellation and results.
#include "job/job-requests.h"

#include <algorithm>

namespace heathercross::job {

namespace {

void checkSize(const JobSpec &Spec, const std::vector<JobSize> &Instances) {
  const auto Fits = [&](const JobSize &I) { return fits(Spec.Size_, I); };
  if (Instances.empty() || std::ranges::any_of(Instances, Fits))
    return;
  JobSize Largest;
  for (const JobSize &I : Instances) {
    Largest.Cores_ = std::max(Largest.Cores_, I.Cores_);
    Largest.MemoryMb_ = std::max(Largest.MemoryMb_, I.MemoryMb_);
  }
  raise(JobNeverFits(Spec, Largest));
}

void checkPool(const JobSpec &Spec, const View &V) {
  const auto P = V.Pools_.find(Spec.Pool_);
  if (P == V.Pools_.end() || P->second.Removed_)
    raise(NoSuchPool(Spec.Pool_));
}

void checkQuota(const TeamId &Team, const SubmitContext &Context) {
  const auto Q = Context.View_.Quotas_.find(Team);
  const Quota Default;
  const std::uint32_t Limit =
      Q == Context.View_.Quotas_.end() ? Default.MaxJobs_ : Q->second.MaxJobs_;
  if (Context.ActiveTeamJobs_ >= Limit)
    raise(TooManyJobs(Team, Limit));
}

} // namespace

JobIdTaken::JobIdTaken(const JobId &Job)
    : Error("job " + Job.str() +
            " was already submitted with different contents") {}

JobNeverFits::JobNeverFits(const JobSpec &Spec, const JobSize &Largest)
    : Error("job " + Spec.Job_.str() + " needs " +
            std::to_string(Spec.Size_.Cores_) + " cores and " +
            std::to_string(Spec.Size_.MemoryMb_) + " MB, pool " +
            Spec.Pool_.str() + " offers up to " +
            std::to_string(Largest.Cores_) + " and " +
            std::to_string(Largest.MemoryMb_)) {}

TooManyJobs::TooManyJobs(const TeamId &Team, std::uint32_t Limit)
    : Error("team " + Team.str() + " has reached its maximum of " +
            std::to_string(Limit) + " jobs") {}

NoSuchPool::NoSuchPool(const PoolId &Pool)
    : Error("there is no pool " + Pool.str()) {}

NoSuchJob::NoSuchJob(const JobId &Job)
    : Error("there is no job " + Job.str()) {}

JobNotDone::JobNotDone(const JobId &Job, JobState State)
    : Error("job " + Job.str() + " is " + std::string(name(State))) {}

bool fits(const JobSize &Need, const JobSize &Instance) {
  return Need.Cores_ <= Instance.Cores_ && Need.MemoryMb_ <= Instance.MemoryMb_;
}

SubmitResult submitJob(const JobSpec &Spec, const TeamId &Team,
                       const std::optional<Row> &Existing,
                       const SubmitContext &Context, const AttemptId &Attempt) {
  JobRow Job;
  Job.Job_ = Spec.Job_;
  Job.Team_ = Team;
  Job.Pool_ = Spec.Pool_;
  Job.Digest_ = digestOf(Spec);
  Job.Size_ = Spec.Size_;
  if (Existing) {
    JobRow Accepted = decodeJobRow(Existing->Value_);
    if (Accepted.Team_ != Team || Accepted.Digest_ != Job.Digest_)
      raise(JobIdTaken(Spec.Job_));
    return {std::move(Accepted), std::nullopt};
  }
  checkPool(Spec, Context.View_);
  checkSize(Spec, Context.Instances_);
  checkQuota(Team, Context);
  Transaction Write;
  Write.Attempt_ = Attempt;
  Write.Expect_ = {{rowKey(Job.Job_), RowVersion()}};
  Write.Put_ = {{rowKey(Job.Job_), encode(Job)}};
  return {std::move(Job), std::move(Write)};
}

Cancellation cancelJobs(const TeamId &Team, const std::vector<Row> &Rows,
                        const AttemptId &Attempt) {
  Cancellation Result;
  for (const Row &R : Rows) {
    JobRow Job = decodeJobRow(R.Value_);
    if (Job.Team_ != Team || Result.States_.contains(Job.Job_))
      continue;
    Result.States_[Job.Job_] = Job.State_;
    if (isFinal(Job.State_))
      continue;
    Result.States_[Job.Job_] = Job.State_ = JobState::Cancelled;
    auto &Writes = Result.Writes_;
    if (Writes.empty() || Writes.back().Put_.size() == MaxBatch) {
      const std::string Suffix = "." + std::to_string(Writes.size());
      Writes.emplace_back().Attempt_ = AttemptId(Attempt.str() + Suffix);
    }
    Writes.back().Expect_.push_back({R.Key_, R.Version_});
    Writes.back().Put_.push_back({R.Key_, encode(Job)});
  }
  return Result;
}

JobRow jobFor(const TeamId &Team, const JobId &Job,
              const std::optional<Row> &Found) {
  if (!Found)
    raise(NoSuchJob(Job));
  JobRow Result = decodeJobRow(Found->Value_);
  if (Result.Team_ != Team)
    raise(NoSuchJob(Job));
  return Result;
}

std::string resultFor(const TeamId &Team, const JobId &Job,
                      const std::optional<Row> &Found) {
  JobRow Result = jobFor(Team, Job, Found);
  if (Result.State_ != JobState::Done)
    raise(JobNotDone(Job, Result.State_));
  return std::move(Result.Result_);
}

} // namespace heathercross::job
