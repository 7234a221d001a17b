// The decisions of the duty "job-POOL", which runs the jobs of one pool.
#pragma once

#include "heathercross/table.h"
#include "heathercross/units.h"
#include "job/failure-attribution.h"
#include "job/job-requests.h"
#include "job/placement.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace heathercross::job {

struct JobSettings {
  /// A worker stops a task whose lease hasn't been renewed for this long.
  Micros Lease_ = Seconds(10);
  Micros RenewInterval_ = Seconds(3);
  /// Rows of a write without a result are read back after this time.
  Micros WriteTimeout_ = Seconds(3);
  /// A worker that refused a task is assigned no job for this long.
  Micros RefusalBackoff_ = Seconds(2);
  /// A job that has failed on this many distinct workers is set aside.
  std::size_t MaxFailedWorkers_ = 3;
  FailureAttributionSettings FailureAttribution_;
};

/// The response of a worker to one of the calls below.
enum class TaskAnswer : std::uint8_t {
  /// The task was started or is still running.
  Running,
  Done,
  Failed,
  /// The task stopped after writing a checkpoint.
  Checkpointed,
  /// The worker refuses to start the task now.
  Refused,
  /// The worker has already started this attempt.
  Duplicate,
  /// The worker knows no such task.
  NotFound,
  /// The worker knows a higher epoch for the job.
  StaleEpoch,
  NoAnswer,
};

struct TaskReply {
  JobId Job_;
  InstanceId Worker_;
  Epoch Epoch_;
  TaskAnswer Answer_ = TaskAnswer::NoAnswer;
  /// The result of a done task, or the name of the object that holds it.
  std::string Result_;
  /// The name of the checkpoint's object, if any.
  std::string Checkpoint_;
};

// Effects: requests to the caller of the duty.

/// Commit a transaction. onWritten is called with the result in any case.
struct WriteJobs {
  Transaction Write_;
};
/// Read rows. onRows is called with the rows found, if the table responds.
struct ReadJobs {
  std::vector<JobId> Jobs_;
};
/// POST /tasks. onReply is called with the response.
struct StartTask {
  InstanceId Worker_;
  JobId Job_;
  AttemptId Attempt_;
  Epoch Epoch_;
  Millis Lease_{0};
  Millis Work_{0};
  std::string Checkpoint_;
};
/// POST /tasks/renew. onReply is called with the response.
struct RenewTask {
  InstanceId Worker_;
  JobId Job_;
  Epoch Epoch_;
  Millis Lease_{0};
};
/// POST /tasks/stop. The response is ignored.
struct StopTask {
  InstanceId Worker_;
  JobId Job_;
  Epoch Epoch_;
};
/// POST /tasks/checkpoint. onReply is called with the response.
struct CheckpointTask {
  InstanceId Worker_;
  JobId Job_;
  Epoch Epoch_;
};
/// Eject a worker on which too many distinct jobs failed. Repeated with each
/// tick until tick() is given the worker as ejected.
struct SuspectWorker {
  InstanceId Worker_;
};

using JobEffect = std::variant<WriteJobs, ReadJobs, StartTask, RenewTask,
                               StopTask, CheckpointTask, SuspectWorker>;
using JobEffects = std::vector<JobEffect>;

/// Runs the jobs of a pool until they end. All durable state is in the rows: a
/// JobDuty is created when the duty is acquired and destroyed when it is lost.
///
/// A task is started only after the row with its worker and epoch is committed.
/// A result and its bill are written in one transaction. Every write expects
/// the version of the duty's lease row (the guard), so that writes of a former
/// holder conflict.
class JobDuty {
public:
  /// AttemptPrefix makes this holder's attempt ids unique.
  JobDuty(PoolId Pool, std::string AttemptPrefix, JobSettings Settings = {});

  /// Handles rows with prefix "job/" that were read, of any pool. Final jobs
  /// and jobs of other pools are removed.
  JobEffects onRows(Instant Now, const std::vector<Row> &Rows);
  JobEffects onReply(Instant Now, const TaskReply &Reply);
  JobEffects onWritten(Instant Now, const AttemptId &Attempt,
                       const CommitResult &Result);
  /// Renews tasks, writes outcomes and assigns waiting jobs. Call it about
  /// every 200 ms while the duty is held, with the lease's guard, all workers
  /// of the pool and the teams' quotas. A team without a quota has weight 1.
  JobEffects tick(Instant Now, const Expectation &Guard,
                  const std::vector<JobWorker> &Workers,
                  const std::map<TeamId, Quota> &Quotas);
  /// Frees one slot of a worker for urgent work by checkpointing the job that
  /// was assigned last.
  JobEffects preempt(const InstanceId &Worker);
  /// Checkpoints all jobs of a draining worker.
  JobEffects evacuate(const InstanceId &Worker);

  /// Returns the number of waiting and running jobs.
  std::size_t active() const { return Jobs_.size(); }
  std::string dump() const;

private:
  /// The outcome of a running row's task that isn't written yet.
  struct TaskOutcome {
    TaskAnswer Answer_ = TaskAnswer::NoAnswer;
    std::string Result_;
    std::string Checkpoint_;
  };
  struct Job {
    JobRow Row_;
    RowVersion Version_;
    /// The write of this row that is in flight.
    std::optional<AttemptId> PendingWrite_;
    Instant WriteSentAt_;
    std::optional<TaskOutcome> Outcome_;
    Instant AssignedAt_;
    Instant LastResponseAt_;
    std::optional<Instant> RenewedAt_;
    bool DuplicateReported_ = false;
    bool CheckpointRequested_ = false;
    bool isRunning() const {
      return Row_.State_ == JobState::Running && !Outcome_;
    }
  };
  /// The new rows that one transaction writes.
  using Plan = std::vector<JobRow>;

  // Rows and responses.
  void setRow(Instant Now, Job &J, JobRow Row, RowVersion Version);
  void applyRow(Instant Now, const Row &R, JobEffects &Out);
  void removeJob(const JobId &Id, const JobRow &NewRow, JobEffects &Out);
  void applyCommitted(Instant Now, const JobRow &Row, RowVersion Version,
                      JobEffects &Out);
  void handleNotFound(Instant Now, Job &J, JobEffects &Out);
  void recordOutcome(Instant Now, Job &J, const TaskReply &Reply);

  // Calls to workers.
  void start(const Job &J, JobEffects &Out) const;
  void renew(Instant Now, Job &J, JobEffects &Out) const;
  void renewTasks(Instant Now, JobEffects &Out);
  void markTaskLost(Instant Now, Job &J);
  static void requestCheckpoint(Job &J, JobEffects &Out);

  // Planning.
  void readBackOverdue(Instant Now, JobEffects &Out);
  Placement makePlacement(Instant Now, const std::vector<JobWorker> &Workers,
                          const std::map<TeamId, Quota> &Quotas);
  Plan planOutcomes(Instant Now, std::size_t PoolSize, Placement &P);
  void assignWaiting(Placement &P, Plan &Planned);
  void applyOutcome(Instant Now, const TaskOutcome &Outcome,
                    std::size_t PoolSize, JobRow &Row);
  void applyFailure(Instant Now, std::size_t PoolSize, JobRow &Row);
  bool assignWorker(Placement &P, JobRow &Row);
  void writePlan(Instant Now, const Expectation &Guard, Plan Planned,
                 JobEffects &Out);
  void reportSuspects(Instant Now, const std::vector<JobWorker> &Workers,
                      JobEffects &Out);
  AttemptId nextAttempt();

  PoolId Pool_;
  std::string AttemptPrefix_;
  JobSettings Settings_;
  std::uint64_t Attempts_ = 0;
  std::uint64_t UnreadableRows_ = 0;

  std::map<JobId, Job> Jobs_;
  std::map<AttemptId, Plan> PendingPlans_;
  std::map<InstanceId, Instant> ExcludedUntil_;
  FailureAttribution FailureAttribution_;
};

} // namespace heathercross::job
