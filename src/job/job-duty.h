// Runs the jobs of one pool: the decisions of the duty "job-POOL".
#pragma once

#include "heathercross/table.h"
#include "heathercross/units.h"
#include "job/failure-blame.h"
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
  /// A worker stops a task that wasn't renewed for this long.
  Micros Lease_ = Seconds(10);
  Micros RenewEvery_ = Seconds(3);
  /// How long an uncertain write may take before its rows are read back.
  Micros WriteTimeout_ = Seconds(3);
  /// A worker that refused gets no job for this long.
  Micros RefusedPause_ = Seconds(2);
  /// A job that failed on this many distinct workers is set aside.
  std::size_t MaxFailedOn_ = 3;
  BlameSettings Blame_;
};

/// What a worker answered to one of the calls below.
enum class TaskAnswer : std::uint8_t {
  /// The task was started, or still runs.
  Running,
  Done,
  Failed,
  /// It stopped after writing a checkpoint.
  Checkpointed,
  /// The worker won't start it now.
  Refused,
  /// The worker had started this attempt before.
  Duplicate,
  /// The worker knows no such task.
  NotFound,
  /// The worker has seen a higher epoch.
  StaleEpoch,
  NoAnswer,
};

struct TaskReply {
  JobId Job_;
  InstanceId Worker_;
  Epoch Epoch_;
  TaskAnswer Answer_ = TaskAnswer::NoAnswer;
  /// The result, or the object that holds it, when done.
  std::string Result_;
  /// The checkpoint's object, when there is one.
  std::string Checkpoint_;
};

// Effects.

/// Commit; ends as onWritten, in any case.
struct WriteJobs {
  Transaction Write_;
};
/// Read these rows; ends as onRows, if the table answers, with the rows found.
struct ReadJobs {
  std::vector<JobId> Jobs_;
};
/// POST /tasks; ends as onReply.
struct StartTask {
  InstanceId Worker_;
  JobId Job_;
  AttemptId Attempt_;
  Epoch Epoch_;
  Millis Lease_{0};
  Millis Work_{0};
  std::string Checkpoint_;
};
/// POST /tasks/renew; ends as onReply.
struct RenewTask {
  InstanceId Worker_;
  JobId Job_;
  Epoch Epoch_;
  Millis Lease_{0};
};
/// POST /tasks/stop; its answer isn't awaited.
struct StopTask {
  InstanceId Worker_;
  JobId Job_;
  Epoch Epoch_;
};
/// POST /tasks/checkpoint; ends as onReply.
struct CheckpointTask {
  InstanceId Worker_;
  JobId Job_;
  Epoch Epoch_;
};
/// Take the worker out of rotation: too many distinct jobs fail on it. Comes
/// with each tick until the worker is given as ejected.
struct SuspectWorker {
  InstanceId Worker_;
};

using JobEffect = std::variant<WriteJobs, ReadJobs, StartTask, RenewTask,
                               StopTask, CheckpointTask, SuspectWorker>;
using JobEffects = std::vector<JobEffect>;

/// Brings the jobs of a pool from what their rows say to their end. Made anew
/// each time the duty is taken over, and dropped when it ends: all that must
/// last is in the rows. A task is started only after the row that names its
/// worker and epoch is committed; a result and its bill are one write; every
/// write carries the guard of the duty's lease.
class JobDuty {
public:
  /// AttemptPrefix makes this holder's attempts unique.
  JobDuty(PoolId Pool, std::string AttemptPrefix, JobSettings Settings = {});

  /// Rows under "job/" as they were read, of any pool. Final and foreign ones
  /// are dropped.
  JobEffects onRows(Instant Now, const std::vector<Row> &Rows);
  JobEffects onReply(Instant Now, const TaskReply &Reply);
  JobEffects onWritten(Instant Now, const AttemptId &Attempt,
                       const CommitResult &Result);
  /// Plans what is due. To be called every 200 ms or so while the duty is
  /// held, with the lease's guard, all workers of the pool, and the weights of
  /// teams (1 for those left out).
  JobEffects tick(Instant Now, const Expectation &Guard,
                  const std::vector<JobWorker> &Workers,
                  const std::map<TeamId, Quota> &Quotas);
  /// Frees one slot of a worker for urgent work: checkpoints its job that was
  /// started last.
  JobEffects preempt(const InstanceId &Worker);
  /// Checkpoints all jobs of a worker that drains.
  JobEffects vacate(const InstanceId &Worker);

  /// How many jobs wait or run.
  std::size_t active() const { return Jobs_.size(); }
  std::string dump() const;

private:
  /// How the task of a running row ended, until that is written.
  struct Ending {
    TaskAnswer Answer_ = TaskAnswer::NoAnswer;
    std::string Result_;
    std::string Checkpoint_;
  };
  struct Job {
    JobRow Row_;
    RowVersion Version_;
    /// The write that is under way for this row.
    std::optional<AttemptId> Writing_;
    Instant WritingSince_;
    std::optional<Ending> Ending_;
    Instant PlacedAt_;
    Instant HeardAt_;
    std::optional<Instant> RenewedAt_;
    bool DuplicateSeen_ = false;
    bool CheckpointAsked_ = false;
    bool runs() const { return Row_.State_ == JobState::Running && !Ending_; }
  };
  using Plan = std::vector<JobRow>;

  // Rows and replies.
  void take(Instant Now, Job &J, JobRow Row, RowVersion Version);
  void takeRow(Instant Now, const Row &R, JobEffects &Out);
  void drop(const JobId &Id, const JobRow &Final, JobEffects &Out);
  void committed(Instant Now, const JobRow &Row, RowVersion Version,
                 JobEffects &Out);
  void taskMissing(Instant Now, Job &J, JobEffects &Out);
  void endTask(Instant Now, Job &J, const TaskReply &Reply);

  // Calls to workers.
  void start(const Job &J, JobEffects &Out) const;
  void renew(Instant Now, Job &J, JobEffects &Out) const;
  void renewDue(Instant Now, JobEffects &Out);
  void loseTask(Instant Now, Job &J);
  static void askCheckpoint(Job &J, JobEffects &Out);

  // Planning.
  void readBackOverdue(Instant Now, JobEffects &Out);
  Placement placement(Instant Now, const std::vector<JobWorker> &Workers,
                      const std::map<TeamId, Quota> &Quotas);
  Plan planEndings(Instant Now, std::size_t PoolSize, Placement &P);
  void planWaiting(Placement &P, Plan &Planned);
  void applyEnding(Instant Now, const Ending &E, std::size_t PoolSize,
                   JobRow &Row);
  void applyFailure(Instant Now, std::size_t PoolSize, JobRow &Row);
  bool place(Placement &P, JobRow &Row);
  void write(Instant Now, const Expectation &Guard, Plan Planned,
             JobEffects &Out);
  void suspectWorkers(Instant Now, const std::vector<JobWorker> &Workers,
                      JobEffects &Out);
  AttemptId nextAttempt();

  PoolId Pool_;
  std::string AttemptPrefix_;
  JobSettings Settings_;
  std::uint64_t Attempts_ = 0;
  std::uint64_t UnreadableRows_ = 0;

  std::map<JobId, Job> Jobs_;
  std::map<AttemptId, Plan> Batches_;
  std::map<InstanceId, Instant> PausedUntil_;
  FailureBlame Blame_;
};

} // namespace heathercross::job
