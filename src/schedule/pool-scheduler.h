// Decides what runs where in one pool.
#pragma once

#include "schedule/arrival-rate.h"
#include "schedule/job.h"
#include "schedule/ranking.h"
#include "schedule/task-placement.h"
#include "schedule/worker.h"

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace heathercross::schedule {

struct StartOrder {
  InstanceId Worker_;
  TaskKey Task_;
  Attempt Attempt_ = 0;
  std::string Payload_;
  std::string Checkpoint_;
  /// Empty for queues that need no advice.
  std::string Ticket_;
};

struct StopOrder {
  InstanceId Worker_;
  TaskKey Task_;
  Attempt Attempt_ = 0;
};

/// Lets a filler do only a share of its work.
struct PaceOrder {
  InstanceId Worker_;
  TaskKey Task_;
  Attempt Attempt_ = 0;
  std::uint32_t Percent_ = 100;
};

struct Orders {
  std::vector<StartOrder> Starts_;
  std::vector<StopOrder> Stops_;
  std::vector<PaceOrder> Paces_;
};

/// A worker's answer to an order to start.
enum class StartAnswer : std::uint8_t {
  Started,
  NoRoom,
  /// The attempt isn't higher than one that ended there.
  Outdated,
  /// The lease had expired when the order arrived.
  LeaseExpired,
  /// Another holder has a higher fencing epoch.
  Fenced,
  NoTicket,
  Unhealthy,
  /// Another instance answers at the address.
  WrongInstance,
  Malformed,
  /// None: the order may be carried out yet.
  Unknown,
};

enum class StopAnswer : std::uint8_t {
  Accepted,
  Fenced,
  WrongInstance,
  Malformed,
  Unknown,
};

/// What was decided about a task, for the log.
struct Decision {
  const char *Kind_ = "";
  TaskKey Task_;
  Attempt Attempt_ = 0;
  InstanceId Worker_;
  std::string Cause_;
};

/// What a pool's work asks for at the moment, in cores.
struct Demand {
  double Running_ = 0;
  /// Tasks that are ready and could still be in time.
  double WaitingInTime_ = 0;
  /// Tasks that are ready, but late already.
  double WaitingLate_ = 0;
  /// Held by tasks that last.
  double Lasting_ = 0;
  /// The fewest workers on which the tasks that last can be placed.
  std::uint32_t MinWorkers_ = 0;
  /// What keeps up with the work that arrives.
  double Arriving_ = 0;
};

/// The scheduler of one pool. Events with their times go in, orders come out;
/// the caller delivers them and reports the answers. One entry instance at a
/// time runs it, under a fencing epoch that workers check.
class PoolScheduler {
public:
  void setQueues(const std::map<QueueId, QueueSettings> &Queues);

  /// The most orders to start that may be without an answer. What is ordered
  /// waits its turn at the entry, where no more pressing work can overtake it.
  void setOrderLimit(std::size_t Most) { OrderLimit_ = Most; }
  /// Whether the last step held orders back for that limit.
  bool heldBack() const { return HeldBack_; }

  /// A worker that is registered. A worker of another pool is forgotten once
  /// nothing of it can run any more.
  void setWorker(const WorkerInfo &Info);
  void removeWorker(const InstanceId &Id);
  /// Whether the stored roster names the worker; nothing starts on it unless
  /// it does.
  void setRostered(const InstanceId &Id, bool Rostered);
  /// The life of the instance is over: nothing of it runs any more.
  void instanceEnded(const InstanceId &Id);

  /// Takes in a job that is stored.
  void admit(Job J);
  /// Counts a job's work as arriving now.
  void noteArrival(const Job &J, Instant Now);
  /// Takes in a job that an earlier holder accepted. Attempts of its tasks go
  /// on above FirstAttempt.
  void restore(Job J, Attempt FirstAttempt);
  /// Nothing restored starts until these workers have answered or Until has
  /// passed: an earlier holder's runs may be there.
  void awaitWorkers(std::set<InstanceId> Workers, Instant Until);
  /// Cancels a job; false when there is no such job or it has ended.
  bool cancel(const JobId &Id);
  void forget(const JobId &Id);

  void report(const InstanceId &Id, const WorkerReport &R, Instant SentAt,
              Instant Now);
  /// A worker didn't answer.
  void silent(const InstanceId &Id, Instant Now);
  /// What runs on a worker may go on until then.
  void leaseGranted(const InstanceId &Id, Instant Until);
  void started(const InstanceId &Id, const TaskKey &Key, Attempt A,
               StartAnswer Answer, Instant Now);
  void stopped(const InstanceId &Id, const TaskKey &Key, Attempt A,
               StopAnswer Answer, Instant Now);

  /// The workers that may run a step, as the placement service said; valid
  /// until a time.
  void advised(const StepKey &Key, std::vector<PlacementTicket> Tickets,
               Instant ValidUntil);
  /// The most pressing step that needs advice, and the workers to ask about.
  struct AdviceWish {
    StepKey Step_;
    std::vector<InstanceId> Workers_;
  };
  std::optional<AdviceWish> adviceWish(Instant Now, WallTime Wall);

  /// Workers that shall become empty, until a time.
  void vacate(const std::set<InstanceId> &Workers, Instant Until);

  /// Decides. Now is the local time line, Wall the time of day.
  Orders step(Instant Now, WallTime Wall);

  const Job *find(const JobId &Id) const;
  const std::map<JobId, Job> &jobs() const { return Jobs_; }
  const std::map<InstanceId, Worker> &workers() const { return Workers_; }
  const QueueSettings &settings(const QueueId &Queue) const;
  /// Jobs whose progress changed since the last call.
  std::set<JobId> takeChanged() { return std::exchange(Changed_, {}); }
  bool anyChanged() const { return !Changed_.empty(); }
  std::vector<Decision> takeDecisions() { return std::exchange(Log_, {}); }
  /// Accepted jobs of a queue of which nothing has started.
  std::uint32_t queued(const QueueId &Queue) const;
  Demand demand(Instant Now, WallTime Wall) const;
  /// Cores of the workers that may take tasks.
  double cores() const;
  /// The cores of a worker that are taken along with its scarcest resource.
  double coresFor(const Resources &R) const;
  /// Core-seconds of waiting work that is ranked before a job.
  double workAhead(const Job &J, Instant Now, WallTime Wall) const;
  /// Whether a worker that was ever seen could hold a task of the step.
  bool everFits(const StepSpec &S) const;

private:
  struct Advice {
    std::map<InstanceId, std::string> Tickets_;
    Instant ValidUntil_;
  };
  struct ReadyStep {
    Rank Rank_;
    const Job *Job_ = nullptr;
    std::uint32_t Occurrence_ = 0;
    std::uint32_t Step_ = 0;
  };

  Job *findJob(const JobId &Id);
  Worker *findWorker(const InstanceId &Id);
  void takeEnd(Worker &W, const EndReport &E, Instant Now);
  void takeFailure(Worker &W, Job &J, const TaskKey &Key, Attempt A,
                   Instant Now);
  void takeRunning(Worker &W, const RunningReport &R, Instant Now);
  void dropAbsent(Worker &W, const WorkerReport &R, Instant SentAt);
  void startLife(Worker &W, std::int64_t Born);
  void finish(Job &J, const TaskKey &Key);
  void endJob(Job &J, JobState State);
  void loseRuns(Worker &W, const char *Cause);
  /// Gives a run's task back to the waiting ones.
  void release(Worker &W, const TaskKey &Key, const char *Cause);
  void stopRun(Run &R);
  void stopForGood(Run &R);

  void expire(Instant Now);
  void orderStops(Instant Now, Orders &Out);
  void findStuck(Worker &W, Instant Now);
  void moveLasting(Instant Now);
  void orderPaces(Instant Now, Orders &Out);
  void orderStarts(Instant Now, WallTime Wall, Orders &Out);
  void startTasks(const ReadyStep &S, const std::vector<Worker *> &Takers,
                  Instant Now, Orders &Out);
  void startGang(const ReadyStep &S, const std::vector<Worker *> &Takers,
                 Instant Now, Orders &Out);
  void order(Job &J, const TaskKey &Key, Worker &W, Attempt A, Instant Now,
             Orders &Out);
  /// Core-seconds of a queue's jobs; 0 while none is known.
  double meanWork(const QueueId &Queue) const;
  std::vector<ReadyStep> readySteps(Instant Now, WallTime Wall) const;
  /// The rank of work that lasts only a while.
  Rank timedRank(const Job &J, std::uint32_t OccurrenceIndex, Instant Now,
                 WallTime Wall) const;
  Rank rank(const Job &J, std::uint32_t OccurrenceIndex, std::uint32_t Step,
            Instant Now, WallTime Wall) const;
  /// A run of a step's task, not yet ordered.
  static Run plannedRun(const StepSpec &S);
  /// The workers that may take tasks now, in the order of their ids.
  std::vector<Worker *> takers(Instant Now);
  /// Those of them that have room for a task of the step.
  std::vector<Candidate> candidates(const Job &J, const ReadyStep &S,
                                    const std::vector<Worker *> &Takers,
                                    Instant Now) const;
  bool mayTake(const Worker &W, Instant Now) const;
  /// The advice for a step, or null while there is none that is valid.
  const Advice *adviceFor(const Job &J, const ReadyStep &S, Instant Now) const;
  void dropAdvice(const JobId &Id);
  PlacementRequest request(const Job &J, const ReadyStep &S,
                           const TaskState &T) const;
  std::uint32_t away(const Job &J, std::uint32_t OccurrenceIndex,
                     std::uint32_t Step) const;
  bool restoredMayStart(Instant Now) const;
  void note(const char *Kind, const TaskKey &Key, Attempt A,
            const InstanceId &Worker, std::string Cause);

  std::map<QueueId, QueueSettings> Queues_;
  std::map<JobId, Job> Jobs_;
  /// Jobs that haven't ended.
  std::set<JobId> Open_;
  std::set<JobId> Restored_;
  std::set<InstanceId> Awaited_;
  Instant AwaitUntil_;
  std::map<InstanceId, Worker> Workers_;
  std::map<StepKey, Advice> Advice_;
  std::set<JobId> Changed_;
  std::vector<Decision> Log_;
  Resources Largest_;
  std::map<QueueId, ArrivalRate> Arrivals_;
  std::size_t OrderLimit_ = ~std::size_t{0};
  /// Orders to start without an answer, when the last step began.
  std::size_t Unanswered_ = 0;
  bool HeldBack_ = false;
};

} // namespace heathercross::schedule
