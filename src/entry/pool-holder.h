// Runs the scheduler of one pool while this entry holds the pool's duty.
#pragma once

#include "accounts/account-rate.h"
#include "entry/account-shares.h"
#include "entry/context.h"
#include "entry/journal-writer.h"
#include "entry/rows.h"
#include "schedule/configuration.h"
#include "schedule/job-memory.h"
#include "schedule/job-rows.h"
#include "schedule/pool-scheduler.h"
#include "schedule/start-rate.h"
#include "schedule/worker-clock.h"

#include <QJsonArray>
#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace heathercross::entry {

/// The answer to a caller's request.
struct JobAnswer {
  enum class Kind : std::uint8_t {
    /// The job or the cancellation is stored.
    Accepted,
    /// The job isn't stored, and never will be.
    Rejected,
    /// This entry doesn't hold the duty, or lost it during the request;
    /// Uncertain_ says whether the request may have taken effect.
    NotHolder,
    /// State_ or Queued_ holds the answer.
    Known,
    /// The pool has no job with this id.
    NoSuchJob,
    /// The body of the submission can't be parsed.
    Malformed,
    /// The job belongs to another account.
    Forbidden,
    /// The id is unknown, and the pools in Former_ have to be asked first.
    AskFormer,
  };
  JobAnswer() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): most answers are only a kind.
  JobAnswer(Kind K) : Kind_(K) {}

  Kind Kind_ = Kind::NotHolder;
  schedule::JobState State_ = schedule::JobState::Queued;
  /// Number of the queue's accepted jobs of which no task has started.
  std::uint32_t Queued_ = 0;
  /// With NotHolder: the request may have been stored nevertheless.
  bool Uncertain_ = false;
  Millis RetryAfter_{0};
  /// Reason for a rejection, written to the log.
  std::string Cause_;
  /// With AskFormer, and with the number of queued jobs: the pools that had the
  /// ingress before, and the version for which this one claimed it.
  std::set<PoolId> Former_ = {};
  std::uint64_t ClaimedFor_ = 0;
};

/// By which ingress a request came, and what other pools were asked.
struct IngressCall {
  schedule::IngressId Ingress_ = {};
  /// Pools that have answered that they don't know the job, and for which claim
  /// they were asked.
  std::set<PoolId> Asked_ = {};
  std::uint64_t AskedFor_ = 0;
  /// Set if the pool is asked as a former one, for a pool that claimed the
  /// ingress for this version: it accepts nothing new.
  std::uint64_t FormerFor_ = 0;
};

/// Demand and load of a pool, as reported to the holder of the fleet duty.
struct PoolSnapshot {
  schedule::Demand Demand_;
  /// Cores of the workers that accept tasks.
  double Cores_ = 0;
  /// Load of one worker.
  struct Load {
    /// Number of runs, and how many of them are of long-running tasks.
    std::uint32_t Runs_ = 0;
    std::uint32_t LongRunning_ = 0;
    /// Being evacuated: no run starts there for now.
    bool Evacuating_ = false;
  };
  std::map<InstanceId, Load> Loads_;
  /// Arrival rates of the accounts that have a guaranteed rate.
  accounts::ArrivalRates AccountRates_ = {};
};

/// Loads the stored jobs of a pool, then schedules them: sends orders to the
/// pool's workers, renews their leases and stores what changes.
class PoolHolder : public QObject {
public:
  using AnswerHandler = std::function<void(const JobAnswer &)>;

  /// OnLost is called once when the duty is lost or given back.
  PoolHolder(Context &C, PoolId Pool, schedule::HeldDuty Duty,
             std::function<void()> OnLost);

  void setConfiguration(const schedule::Configuration &C);
  void setWorkers(const std::map<InstanceId, schedule::WorkerInfo> &All);

  /// Accepts or rejects a job. Idempotent: a repeated id means the same job.
  void submit(const JobId &Id, const schedule::QueueId &Queue,
              const AccountId &Account, const QByteArray &Body,
              const IngressCall &Ingress, AnswerHandler OnAnswer);
  /// The account is that of the caller; empty where no key is needed.
  void state(const JobId &Id, const AccountId &Account,
             const IngressCall &Ingress, const AnswerHandler &OnAnswer);
  void cancel(const JobId &Id, const AccountId &Account,
              const IngressCall &Ingress, AnswerHandler OnAnswer);
  void queued(const schedule::QueueId &Queue, const IngressCall &Ingress,
              const AnswerHandler &OnAnswer);

  /// Evacuates workers: starts no run on them for a time. The caller repeats
  /// the call for as long as it needs them empty.
  void evacuate(const std::set<InstanceId> &Workers, Millis Duration);
  /// Sets the arrival rates of accounts in all other pools.
  void setOtherPools(const accounts::ArrivalRates &Rates);
  /// Returns nothing until the stored jobs are loaded.
  std::optional<PoolSnapshot> snapshot() const;

  /// Gives the duty back once pending changes are stored, then calls OnDone,
  /// also if another entry takes the duty meanwhile.
  void handOver(std::function<void()> OnDone);

  /// Whether ready tasks with room for them wait for answers to earlier start
  /// orders.
  bool heldBack() const {
    return Ready_ && !HandingOver_ && mayGiveOrders() && Scheduler_.heldBack();
  }
  bool handingOver() const { return HandingOver_; }
  /// The event loop's delay, which grows with the processor's load.
  Micros lag() const { return Lag_; }

  const PoolId &pool() const { return Pool_; }
  const schedule::HolderRow &self() const { return Journal_.self(); }
  QJsonObject dump() const;
  /// The number of pairs of images that are known to slow each other down.
  std::size_t interferingPairs() const;

private:
  /// State of the calls to one worker.
  struct Link {
    std::string Address_;
    schedule::WorkerClock Clock_;
    int RenewalsInFlight_ = 0;
    /// The fence of the last renewal.
    schedule::FenceGeneration RenewFence_;
    Instant NextRenew_;
    /// When the last report was requested.
    Instant ReportSentAt_;
    /// Number of the last run end whose effect is stored.
    std::uint64_t EndsStored_ = 0;
    std::int64_t Incarnation_ = 0;
  };
  /// A request that is answered once a change is durable.
  struct Waiter {
    schedule::PoolJournal::Ticket Ticket_ = 0;
    AnswerHandler OnAnswer_;
    JobAnswer Result_;
  };
  /// A submitted job whose row isn't durable yet.
  struct Submission {
    JobRow Row_;
    schedule::JobSpec Spec_;
    accounts::RateShare Share_ = accounts::RateShare::Guaranteed;
    schedule::PoolJournal::Ticket Ticket_ = 0;
    Instant ReceivedAt_;
    std::vector<AnswerHandler> Handlers_;
  };

  // Loading of the rows that earlier holders stored.
  void load();
  void readRows(const std::string &Table, const std::string &From,
                std::function<void()> OnDone);
  void restoreRows();
  schedule::StoredJobs restoreJobs();
  /// Takes in one job; false, after a log line, if it can't be read.
  bool restoreJob(const JobId &Id, const schedule::StoredJob &Stored);
  void logIncomplete(const char *Table, const std::string &Key);
  /// Returns the values of the rosters' table by key.
  std::map<std::string, std::string> takeRosterRows();

  void scheduleRound();
  void measureLag();
  void runRound();
  void afterCommit();
  void loseDuty(const char *Cause);
  void giveBack();
  void storeChanges();
  void updateRoster();
  /// Records in the roster when the runs of an unresponsive worker have ended,
  /// and removes that once the worker responds. Returns whether the entry was
  /// changed.
  bool updateSilence(const InstanceId &Id, RosterEntry &Listed);
  /// Takes in that the roster is durable.
  void applyRoster();
  /// Whether the stored roster lists the worker as one that may get runs.
  bool isRostered(const InstanceId &Id) const;
  void purgeEndedJobs();
  /// Stores the settings of a queue that is about to have a job.
  void storeQueue(const schedule::QueueId &Queue);
  /// Brings the stored settings up to date, for the queues that have jobs.
  void updateQueues();
  /// Takes in the row that earlier holders stored; empty if there is none.
  void restoreQueues(const std::string &Row);
  void putQueues(bool Urgent);

  /// Answers a request for an id that this pool doesn't know, unless the
  /// request is a submission that may be accepted; returns whether it did.
  bool answerUnknown(const IngressCall &Ingress, bool IsSubmission,
                     const AnswerHandler &OnAnswer);
  /// Claims the next ingress that is routed to this pool.
  void claimIngress();
  void writeClaim(const schedule::IngressId &Id,
                  const platform_api::StoreReply &Read);
  void claimEnded(const schedule::IngressId &Id, const char *Outcome);
  void putIngresses();

  /// A renewal that has been sent.
  struct Renewal {
    InstanceId Worker_;
    std::string Address_;
    Instant SentAt_;
    schedule::FenceGeneration Fence_;
  };
  /// Whether a renewal is due. A raised fence is sent although an earlier
  /// renewal is unanswered.
  bool renewalDue(const InstanceId &Id, const Link &L, Instant Now) const;
  void renewLeases(const InstanceId &Id, Link &L);
  void handleRenewReply(const Renewal &Sent, const platform_api::RenewReply &R);
  /// Renews a worker's leases at once if its fence has been raised.
  void renewIfRaised(const InstanceId &Id);
  /// Whether a worker refused a call because another entry has taken the duty,
  /// and not because this holder has raised the fence since.
  bool lostTo(const InstanceId &Id, schedule::FenceGeneration Fence) const;
  void askAdvice();
  void logAdvice(const schedule::AdviceRequest &R, const AdviceAnswer &A);
  void sendOrders(const schedule::Orders &Orders);
  void sendStart(const schedule::StartOrder &O);
  void sendStop(const schedule::StopOrder &O);
  /// When a lease that is granted now ends, in milliseconds on a worker's
  /// clock.
  std::int64_t leaseUntil(const schedule::WorkerClock &Clock) const;
  /// Compares the clock in the answer to an order with the one that the order's
  /// lease was counted on: the clock of a restarted worker counts anew.
  void checkClock(const InstanceId &Id, const schedule::WorkerClock &Clock,
                  Instant SentAt, Millis Answered);
  platform_api::WorkerAddress addressOf(const InstanceId &Id) const;
  void logDecisions();
  /// Whether a submitted job is within its account's guaranteed rate; counts
  /// the submission.
  accounts::RateShare shareOf(const schedule::Job &J, Instant Now);
  void logAccountShares();
  /// Adds the starts that interference affected to the metrics.
  void countInterference();
  /// The known pairs; the tails are shares of the latency goal.
  QJsonArray interferenceDump() const;
  QJsonObject jobFields(const JobId &Id) const;
  Millis runLease() const;
  /// Time between lease renewals of a worker that has runs.
  Millis busyRenewInterval() const;
  /// How long a lease of runLease() lasts at most, whatever the worker's clock.
  Millis leaseBound() const;
  /// How long the longest lease that a worker grants lasts, whatever its clock.
  Millis maxLease() const;
  /// The memory in bytes of the smallest entry, which may have to load what
  /// this one accepts.
  std::uint64_t jobMemoryBase() const;
  /// Whether the duty was renewed recently enough to give orders.
  bool mayGiveOrders() const;

  Context &Context_;
  PoolId Pool_;
  std::function<void()> OnLost_;
  /// As it was claimed.
  schedule::HeldDuty Duty_;
  JournalWriter Writer_;
  schedule::PoolJournal &Journal_;
  AccountShares Shares_;
  schedule::PoolScheduler Scheduler_;
  schedule::Configuration Configuration_;
  schedule::JobMemory JobMemory_;
  accounts::AccountRates AccountRates_;
  std::map<InstanceId, Link> Links_;
  /// Instances that are still registered though another instance answers at
  /// their address, with that address.
  std::map<InstanceId, std::string> EndedInstances_;
  /// The stored settings of the queues that have jobs.
  StoredQueues Queues_;
  schedule::PoolIngresses Ingresses_;
  /// A call for the row of an ingress is under way.
  bool ClaimingIngress_ = false;
  Instant NextClaim_;
  Roster Roster_;
  schedule::PoolJournal::Ticket RosterTicket_ = 0;
  /// Whether the scheduler knows the durable roster.
  bool RosterApplied_ = false;
  /// Workers of which the stored roster may say when their runs end.
  std::set<InstanceId> RecordedSilent_;
  std::map<JobId, Submission> Submissions_;
  std::vector<Waiter> Waiters_;
  schedule::JobRows JobRows_;
  /// Jobs whose rows can't be read. Nothing is known of them, so requests for
  /// them fail.
  std::set<JobId> UnreadableJobs_;
  /// For each worker, its incarnation and the last run end that is durable
  /// once the changes up to Ticket_ are.
  struct UnstoredEnds {
    schedule::PoolJournal::Ticket Ticket_ = 0;
    std::map<InstanceId, std::pair<std::int64_t, std::uint64_t>> Ends_;
  };
  std::vector<UnstoredEnds> UnstoredEnds_;
  /// Workers that reported ended runs since the last scheduling round.
  std::set<InstanceId> ReportedEnds_;
  /// Values of the rows by table and key.
  std::map<std::string, std::map<std::string, std::string>> LoadedRows_;
  bool Ready_ = false;
  bool Lost_ = false;
  bool HandingOver_ = false;
  /// The row that gives the duty back is on its way. The next holder relies on
  /// it that no lease is granted from then on.
  bool GivingBack_ = false;
  /// When the handover stops waiting for changes to be stored.
  Instant FlushUntil_;
  /// The next query depends on the answer to the last one.
  bool AskingAdvice_ = false;
  Instant NextAdvice_;
  /// Called once the duty is lost, if it is being handed over.
  std::vector<std::function<void()>> HandoverHandlers_;
  schedule::StartRate StartRate_;
  /// Moving average of the event loop's delay, which grows with the
  /// processor's load.
  Micros Lag_{0};
  Instant LastTick_;
  /// Minimum pause before the next scheduling round.
  int RoundPauseMs_ = 0;
  QTimer NextRound_;
  QTimer RoundTimer_;
};

} // namespace heathercross::entry
