// Assigns the tasks of one pool to its workers.
#pragma once

#include "schedule/account-usage.h"
#include "schedule/arrival-rate.h"
#include "schedule/interference.h"
#include "schedule/job.h"
#include "schedule/orders.h"
#include "schedule/placement-advice.h"
#include "schedule/ranking.h"
#include "schedule/run-times.h"
#include "schedule/share-admission.h"
#include "schedule/task-placement.h"
#include "schedule/worker.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// The scheduler of one pool, a state machine without I/O: it takes in events
/// with their times and returns orders, which the caller delivers and whose
/// answers it reports. One entry instance at a time runs it, under a fencing
/// epoch that workers check.
class PoolScheduler {
public:
  PoolScheduler() { updateUnknownQueue(); }
  PoolScheduler(PoolScheduler &&) = default;
  PoolScheduler &operator=(PoolScheduler &&) = default;
  PoolScheduler(const PoolScheduler &) = delete;
  PoolScheduler &operator=(const PoolScheduler &) = delete;

  /// Sets the configured queues. One that was removed from the configuration
  /// keeps its settings for the jobs that it accepted.
  void setQueues(const std::map<QueueId, QueueSettings> &Queues);
  /// Sets the settings that earlier holders knew, for queues that this one
  /// doesn't know from the configuration.
  void restoreQueues(const std::map<QueueId, QueueSettings> &Queues);

  /// Sets the maximum number of unanswered start orders. Further tasks stay
  /// unordered, because orders wait at the entry in a queue that more urgent
  /// work cannot overtake.
  void setOrderLimit(std::size_t Limit) { OrderLimit_ = Limit; }
  /// Whether the last step held back orders because of that limit.
  bool heldBack() const { return HeldBack_; }

  /// Sets what the accounts with a limit may use in this pool.
  void
  setAllowances(const std::map<AccountId, accounts::Allowance> &Allowances) {
    Accounts_.setAllowances(Allowances);
  }
  /// What the accounts with a limit used and needed in the last step.
  AccountUsage::AccountNeeds accountNeeds() const { return Accounts_.needs(); }

  /// Records that this holder had the duty at this time, as the store has
  /// shown. A later holder may renew leases, so only those that ended before
  /// then are known to have ended.
  void dutyHeldAt(Instant At) { DutyHeldAt_ = At; }
  /// Sets how long the leases last that holders ask for, and the longest one
  /// that a worker grants.
  void setLeases(Millis Requested, Millis Longest) {
    RequestedLease_ = Requested;
    MaxLease_ = Longest;
  }

  /// Adds or updates a registered worker.
  void setWorker(const WorkerInfo &Info);
  /// Marks a worker as unregistered; it is removed once it has no runs.
  void removeWorker(const InstanceId &Id);
  /// Sets whether the stored roster names the worker. No task starts on a
  /// worker outside the roster.
  void setRostered(const InstanceId &Id, bool Rostered);
  /// Records that the instance has ended, and all its runs with it.
  void instanceEnded(const InstanceId &Id);

  /// Adds a job that has been stored.
  void admit(Job J);
  /// Adds a job to the arrival rate of its queue.
  void recordArrival(const Job &J, Instant Now);
  /// Adds a job that an earlier holder accepted. New attempts of its tasks are
  /// numbered above AttemptFloor.
  void restore(Job J, Attempt AttemptFloor);
  /// Delays the tasks of restored jobs until each of these workers has reported
  /// or its time has passed, because runs of an earlier holder may still be
  /// there.
  void awaitWorkers(std::map<InstanceId, Instant> Workers);
  /// When all runs of a worker that is unresponsive for some time have ended;
  /// nothing for other workers. A later holder needn't wait longer, provided
  /// that the worker gets no lease and no order meanwhile.
  std::optional<Instant> silentRunsEnd(const InstanceId &Id, Instant Now) const;
  /// Cancels a job; false if it is unknown or has ended.
  bool cancel(const JobId &Id);
  void forget(const JobId &Id);

  /// Takes in a worker's answer to a lease renewal that was sent at SentAt with
  /// the given fence. Wall tells how long ago the incarnation started; without
  /// it, the incarnation counts as new.
  void report(const InstanceId &Id, const WorkerReport &R, Instant SentAt,
              FenceGeneration Fence, Instant Now, WallTime Wall = {});
  /// Records that a worker's clock doesn't agree with its earlier answers.
  void suspectRestart(const InstanceId &Id);
  /// The fence for calls to a worker.
  FenceGeneration fence(const InstanceId &Id) const;
  /// The highest fence of all workers.
  FenceGeneration highestFence() const { return Fence_; }
  /// Records that the worker did not respond to a call.
  void unresponsive(const InstanceId &Id, Instant Now);
  /// Records that the leases of the worker's runs last this long, whatever the
  /// worker's clock.
  void leaseGranted(const InstanceId &Id, Instant GrantedAt, Millis Lease);
  /// Take in the answer to an order. An answer to an order that has been
  /// repeated since is ignored.
  void started(const StartOrder &O, StartAnswer Answer, Instant Now);
  void stopped(const StopOrder &O, StopAnswer Answer, Instant Now);

  /// The next query to the placement service, and none while no answer would
  /// help a step. The caller has one query answered at a time.
  std::optional<AdviceRequest> nextAdviceRequest(Instant Now, WallTime Wall);
  /// Takes in the answer to a query, or with no value that there was none.
  void
  adviceAnswered(const AdviceRequest &R, Micros Took,
                 const std::optional<std::vector<PlacementTicket>> &Allowed,
                 Instant ValidUntil);

  /// Evacuates these workers until the given time: no task starts on them, and
  /// long-running tasks move to other workers.
  void evacuate(const std::set<InstanceId> &Workers, Instant Until);

  /// Records whether the worker confirmed a throttle order.
  void throttled(const ThrottleOrder &O, bool Confirmed);

  /// Returns the orders that are due. Now is the local monotonic time, Wall the
  /// time of day.
  Orders step(Instant Now, WallTime Wall);

  const Job *find(const JobId &Id) const;
  const std::map<JobId, Job> &jobs() const { return Jobs_; }
  const std::map<InstanceId, Worker> &workers() const { return Workers_; }
  bool knowsQueue(const QueueId &Queue) const {
    return Queues_.contains(Queue);
  }
  /// The settings of a queue. One that isn't known gets the fewest attempts of
  /// the pool's queues, so that its jobs neither fail at once nor start too
  /// often.
  const QueueSettings &settings(const QueueId &Queue) const;
  /// Returns and clears the set of jobs whose progress changed.
  std::set<JobId> takeChanged() { return std::exchange(Changed_, {}); }
  bool anyChanged() const { return !Changed_.empty(); }
  /// Which images are known to slow each other down.
  const Interference &interference() const { return Interference_; }
  /// Returns and clears the numbers of starts that interference affected.
  InterferenceStarts takeInterferenceStarts() {
    return std::exchange(Interference_.Starts_, {});
  }
  std::vector<Decision> takeDecisions() { return std::exchange(Log_, {}); }
  /// The number of accepted jobs of which no task has started, of all queues
  /// that have had this ingress; of one queue if its ingress isn't known.
  std::uint32_t queuedJobs(const QueueId &Queue,
                           const IngressId &Ingress = {}) const;
  Demand demand(Instant Now, WallTime Wall) const;
  /// Total cores of the registered, responsive workers that are not draining.
  double cores() const;
  /// The equivalent of R in cores: the largest worker's cores times the share
  /// of its scarcest resource that R takes.
  double coresFor(const Resources &R) const;
  /// Core-seconds of unfinished work that is ranked ahead of a job.
  double workAhead(const Job &J, Instant Now, WallTime Wall) const;
  /// The load that a job meets if it is accepted now.
  PoolLoad loadAhead(const Job &J, Instant Now, WallTime Wall) const;
  /// Whether a task of the step fits into the maximum capacity of all workers
  /// seen so far, or no worker has been seen yet.
  bool fitsKnownCapacity(const StepSpec &S) const;

private:
  struct ReadyStep {
    Rank Rank_;
    const Job *Job_ = nullptr;
    std::uint32_t Occurrence_ = 0;
    std::uint32_t Step_ = 0;
  };

  /// Work of open jobs.
  struct Backlog {
    double CoreSeconds_ = 0;
    std::uint32_t Tasks_ = 0;
  };
  /// The unfinished work, and the tasks that haven't started, of jobs that are
  /// ranked ahead of a job.
  Backlog backlogAhead(const Job &J, Instant Now, WallTime Wall) const;
  /// Counts the idle cores once a round: a burst brings up to 200 submissions a
  /// second, and a count for each would take the processor time that starts
  /// need.
  void updateIdleCores(const std::vector<ReadyStep> &Ready);

  void updateUnknownQueue();
  Job *findJob(const JobId &Id);
  Worker *findWorker(const InstanceId &Id);
  /// The run of this attempt on the worker, or null. W may be null.
  static Run *findRun(Worker *W, const TaskKey &Key, Attempt A);
  /// Records that a worker has carried out an attempt, or refused it as
  /// outdated.
  static void markSeen(Job &J, const TaskKey &Key, Attempt A);
  /// Keeps the checkpoint of a task that isn't done; an empty one is ignored.
  static void saveCheckpoint(Job &J, const TaskKey &Key,
                             const std::string &Checkpoint);
  void handleEnd(Worker &W, const EndReport &E, Instant Now);
  void handleFailure(Worker &W, Job &J, const TaskKey &Key, Attempt A,
                     Instant Now);
  void handleRunning(Worker &W, const RunningReport &R, FenceGeneration Fence,
                     Instant Now);
  /// Logs a listed run whose order this holder had given up.
  void logLateStart(const TaskState &T, const RunningReport &R, const Worker &W,
                    Instant Now);
  /// Releases the runs that the report would list if they still existed.
  void releaseUnlisted(Worker &W, const WorkerReport &R, Instant SentAt,
                       FenceGeneration Fence);
  /// Records that a later incarnation of the worker, which knows no fence, may
  /// carry out the order of a run.
  void recordUnresolved(Worker &W, const TaskKey &Key, const Run &R);
  /// Removes a run from a worker.
  void removeRun(Worker &W, const TaskKey &Key);
  /// Gives void orders again, or releases the run if the worker is being
  /// emptied.
  void repeatStarts(Instant Now, Orders &Out);
  bool isRepeatable(const TaskKey &Key, const Run &R) const;
  /// Whether the worker has the label and the room for a run that is placed on
  /// it. It may have started again as another kind.
  bool suits(const Worker &W, const TaskKey &Key) const;
  /// Releases the runs of an unresponsive worker that have certainly ended.
  void releaseExpired(Worker &W, Instant Now);
  /// The only worker on which the task may start; empty for any.
  InstanceId requiredWorker(const TaskState &T, Instant Now) const;
  /// Records that the worker has started again, as far as its clock or its
  /// reports show.
  void restarted(Worker &W);
  void updateIncarnation(Worker &W, std::int64_t Incarnation);
  /// Makes orders with this fence, and all earlier ones, void once the worker
  /// answers the next renewal.
  void raiseFence(Worker &W, FenceGeneration Above);
  void completeTask(Job &J, const TaskKey &Key);
  void endJob(Job &J, JobState State);
  void releaseAllRuns(Worker &W, const char *Cause);
  /// Forgets a worker that has no runs. Calls that were sent to it are void for
  /// a worker that registers under its id later.
  void eraseWorker(const InstanceId &Id, const char *Cause);
  /// Removes a run and sets its task back to waiting. Detail is for the log.
  void release(Worker &W, const TaskKey &Key, const char *Cause,
               const std::string &Detail = "");
  static void stopRun(Worker &W, Run &R);

  void refreshWorkers(Instant Now);
  void orderStops(Instant Now, Orders &Out);
  void stopStuckRuns(Worker &W, Instant Now);
  void moveLongRunning(Instant Now);
  void orderThrottles(Instant Now, Orders &Out);
  void orderStarts(Instant Now, WallTime Wall, Orders &Out);
  /// Whether best-effort tasks may start where they would be throttled to 0.
  enum class StallingPlaces : std::uint8_t { LeaveOut, Use };
  /// Starts tasks of a step. Returns whether places were left out.
  bool startTasks(const ReadyStep &S, const std::vector<Worker *> &Available,
                  StallingPlaces Stalling, Instant Now, Orders &Out);
  void startGang(const ReadyStep &S, const std::vector<Worker *> &Available,
                 Instant Now, Orders &Out);
  /// Counts what accounts with a limit use and need.
  void countAccounts(const std::vector<ReadyStep> &Ready, Instant Now,
                     WallTime Wall);
  /// What workers that have not reported may run of restored jobs, by account.
  std::map<AccountId, Resources> awaitedUsage(Instant Now, WallTime Wall) const;
  /// Whether the account's limit permits a start of the step.
  bool accountPermits(const Job &J, const StepSpec &S);
  /// How many waiting tasks of a step the account's limit can permit, beside
  /// what is used. Adds them to Used.
  std::uint32_t reachableTasks(const ReadyStep &S,
                               std::map<AccountId, Resources> &Used) const;
  void orderStart(Job &J, const TaskKey &Key, Worker &W, Attempt A, Instant Now,
                  Orders &Out);
  /// A run of a speculative step's task that takes far longer than expected.
  struct Straggler {
    Rank Rank_;
    TaskKey Task_;
    /// How long the run is working.
    Micros Age_{0};
  };
  /// Takes the run time of a run that ended `Done` into the estimates.
  void learnRunTime(Worker &W, const Job &J, const TaskKey &Key, const Run &R,
                    Instant Now);
  /// Orders copies of stragglers on capacity that waiting tasks left.
  void orderCopies(Instant Now, WallTime Wall, Orders &Out);
  /// The stragglers of which a copy may start, the most urgent ones first. At
  /// most as many as the bound on the pool's copies allows.
  std::vector<Straggler> stragglers(Instant Now, WallTime Wall) const;
  /// Whether another run of the task may work next to the current one.
  bool allowsCopy(const Job &J, const TaskKey &Key, Instant Now) const;
  /// Whether a fresh run is likely to end before this one.
  bool isOvertaken(const Job &J, const TaskKey &Key, const Run &R,
                   Instant Now) const;
  /// Whether a listed run that isn't the current one of its task becomes its
  /// copy.
  bool adoptsCopy(const Job &J, const TaskKey &Key, const Worker &W,
                  Instant Now) const;
  void orderCopy(Job &J, const TaskKey &Key, Worker &W, Instant Now,
                 Orders &Out);
  /// Takes in that a run was released while its task has two: the other one
  /// becomes the task's only run. False if the task has no copy.
  bool releaseOneOfTwo(Job &J, const TaskKey &Key, const Worker &W, Attempt A,
                       bool Began, const char *Cause);
  /// Stops what still runs of a speculative step's task that is done.
  void stopOtherRuns(const Job &J, const TaskKey &Key);
  StartOrder startOrder(const Job &J, const TaskKey &Key, const Worker &W,
                        Attempt A) const;
  /// Mean core-seconds of a queue's jobs; 0 before the first one.
  double meanWork(const QueueId &Queue) const;
  std::vector<ReadyStep> readySteps(Instant Now, WallTime Wall) const;
  /// The rank of a step that is neither long-running nor best-effort.
  Rank timedRank(const Job &J, std::uint32_t OccurrenceIndex, Instant Now,
                 WallTime Wall) const;
  Rank rank(const Job &J, std::uint32_t OccurrenceIndex, std::uint32_t Step,
            Instant Now, WallTime Wall) const;
  /// Returns a new run with the reservations of a task of a step.
  static Run plannedRun(const Job &J, std::uint32_t Step);
  /// The workers that accept new tasks now, ordered by id.
  std::vector<Worker *> availableWorkers(Instant Now);
  /// The available workers that have room for a task of at least one step.
  std::vector<Worker *> workersWithRoom(const std::vector<ReadyStep> &Steps,
                                        Instant Now);
  /// The available workers that have room for a task of the step.
  std::vector<Candidate> candidates(const Job &J, const ReadyStep &S,
                                    const std::vector<Worker *> &Available,
                                    Instant Now) const;
  /// Learns from the figures that a worker has reported now.
  void observeInterference(const Worker &W, Instant Now);
  /// Drops old knowledge of interference, and logs what has changed.
  void updateInterference(Instant Now);
  /// The known interference of a task of the step with those on the worker:
  /// its extent for best-effort tasks, at most 1 percent for others.
  InterferenceCost interferenceOn(const Worker &W, const StepSpec &S) const;
  /// Counts a start that avoids interference, or goes next to it.
  void countStart(const std::vector<Candidate> &Places, const Candidate &Chosen,
                  const StepSpec &S, bool StallingLeftOut);
  bool acceptsTasks(const Worker &W, Instant Now) const;
  /// What an answer of the placement service would do for a step.
  enum class AdviceNeed : std::uint8_t {
    None,
    /// Tickets of workers without room have expired.
    Renew,
    /// No allowed worker is known, and none that may be has room.
    Learn,
    /// Workers with room may be allowed.
    Place
  };
  struct AdviceDemand {
    AdviceNeed Need_ = AdviceNeed::None;
    /// Whom to ask about, the best ones first.
    std::vector<const Worker *> Workers_;
  };
  /// The workers that suit a step, by what the placement service said of them.
  struct AdviceGroups {
    /// How many tasks have to find room at once.
    std::uint64_t Wanted_ = 1;
    /// Tasks for which there is room on workers with a valid ticket.
    std::uint64_t Places_ = 0;
    std::uint64_t Allowed_ = 0;
    bool AnyValid_ = false;
    std::vector<const Worker *> ExpiredWithRoom_;
    std::vector<const Worker *> ExpiredFull_;
    std::vector<const Worker *> UnknownWithRoom_;
    std::vector<const Worker *> UnknownFull_;
  };
  AdviceGroups adviceGroups(const ReadyStep &S, const TaskKey *Copied,
                            const std::vector<Worker *> &LeastLoaded,
                            Instant Now) const;
  AdviceState adviceState(const StepKey &Key, const AdviceGroups &G) const;
  /// Copied is a task of the step that may get a second run, or null.
  AdviceDemand adviceDemand(const ReadyStep &S, const TaskKey *Copied,
                            const std::vector<Worker *> &LeastLoaded,
                            Instant Now);
  /// Workers without a valid ticket on which a task of the step must start.
  std::vector<const Worker *> requiredWithoutTicket(const ReadyStep &S,
                                                    Instant Now) const;
  AdviceRequest adviceRequest(const ReadyStep &S, const AdviceDemand &D,
                              Instant Now);
  PlacementRequest request(const Job &J, const ReadyStep &S, const TaskState &T,
                           Instant Now) const;
  std::uint32_t unavailableTasks(const Job &J, std::uint32_t OccurrenceIndex,
                                 std::uint32_t Step) const;
  /// Whether a task of the step is being stopped on a worker that isn't
  /// draining, to be moved. A stop takes a while to take effect.
  bool isBeingMoved(const Job &J, std::uint32_t OccurrenceIndex,
                    std::uint32_t Step) const;
  bool restoredJobsMayStart(Instant Now) const;
  /// The last time at which no later holder can have renewed leases; the
  /// current time if dutyHeldAt() wasn't called.
  Instant knownHeldAt(Instant Now) const {
    return DutyHeldAt_ ? std::min(*DutyHeldAt_, Now) : Now;
  }
  void logDecision(const char *Kind, const TaskKey &Key, Attempt A,
                   const InstanceId &Worker, std::string Cause);

  std::map<QueueId, QueueSettings> Queues_;
  /// Settings of queues that aren't known.
  QueueSettings UnknownQueue_;
  std::map<JobId, Job> Jobs_;
  /// Jobs that have not reached a final state; they point into Jobs_.
  std::map<JobId, Job *> Open_;
  std::set<JobId> Restored_;
  /// Workers of earlier holders that have not reported, and when their runs
  /// have ended in any case.
  std::map<InstanceId, Instant> Awaited_;
  std::map<InstanceId, Worker> Workers_;
  PlacementAdvice Advice_;
  AdviceBatch AdviceBatch_;
  /// Tasks that should run on another worker, too, or instead, and that no
  /// worker with a valid ticket has room for.
  std::set<TaskKey> NeedAdvice_;
  /// Whether the next query is for the step that has waited longest for one,
  /// and not for the most urgent step.
  bool AskForLongest_ = false;
  std::set<JobId> Changed_;
  std::vector<Decision> Log_;
  Resources MaxCapacity_;
  Millis RequestedLease_{6'000};
  Millis MaxLease_{10'000};
  std::optional<Instant> DutyHeldAt_;
  /// The last fence that was given to a worker. Fences are unique in the pool,
  /// so that a worker which registers again never gets an earlier one.
  FenceGeneration Fence_;
  AccountUsage Accounts_;
  std::map<QueueId, ArrivalRate> Arrivals_;
  /// Arrivals of jobs within the guaranteed rates of their accounts.
  std::map<QueueId, ArrivalRate> GuaranteedArrivals_;
  Interference Interference_;
  std::map<InstanceId, ActivityHistory> Activity_;
  /// Cores that neither runs nor waiting tasks of jobs in time needed when they
  /// were last counted.
  double IdleCores_ = 0;
  std::size_t OrderLimit_ = ~std::size_t{0};
  /// Unanswered start orders at the beginning of the last step.
  std::size_t Unanswered_ = 0;
  bool HeldBack_ = false;
  RunTimes RunTimes_;
  /// Whether any job that this holder knew has a speculative step.
  bool AnySpeculative_ = false;
  Instant NextCopyRound_;
};

} // namespace heathercross::schedule
