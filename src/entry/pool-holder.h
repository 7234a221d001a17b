// Carries out the decisions for one pool while this entry holds its duty.
#pragma once

#include "entry/context.h"
#include "entry/journal-writer.h"
#include "entry/rows.h"
#include "schedule/configuration.h"
#include "schedule/pool-scheduler.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace heathercross::entry {

/// The answer to a caller's request.
struct JobAnswer {
  enum class Kind : std::uint8_t {
    /// Stored.
    Accepted,
    /// Not stored, and never will be.
    Rejected,
    /// This entry doesn't hold the duty, or holds it no longer. What was
    /// submitted may be stored.
    NotHolder,
    /// A state, or a count, is given.
    Known,
    /// There is no such job.
    NoSuchJob,
    /// The submission can't be read.
    Malformed,
  };
  JobAnswer() = default;
  // NOLINTNEXTLINE(google-explicit-constructor): most answers are only a kind.
  JobAnswer(Kind K) : Kind_(K) {}

  Kind Kind_ = Kind::NotHolder;
  schedule::JobState State_ = schedule::JobState::Queued;
  std::uint32_t Queued_ = 0;
  /// With NotHolder: what was asked may be stored all the same.
  bool Uncertain_ = false;
  Millis RetryAfter_{0};
  /// Why, for the log.
  std::string Cause_;
};

/// What other duties want to know of a pool.
struct PoolPicture {
  schedule::Demand Demand_;
  double Cores_ = 0;
  /// For each instance: how many runs, and how many of them last.
  struct Load {
    std::uint32_t Runs_ = 0;
    std::uint32_t Lasting_ = 0;
    /// Nothing more starts there for now.
    bool Vacating_ = false;
  };
  std::map<InstanceId, Load> Loads_;
};

class PoolHolder : public QObject {
public:
  using Answer = std::function<void(const JobAnswer &)>;

  /// Guard is the version of the holder row that Self wrote.
  PoolHolder(Context &C, PoolId Pool, schedule::HolderRow Self,
             RowVersion Guard, std::function<void()> OnLost);

  void setConfiguration(const schedule::Configuration &C);
  void setWorkers(const std::map<InstanceId, schedule::WorkerInfo> &All);

  /// Accepts a job or rejects it. The same id is the same job.
  void submit(const JobId &Id, const schedule::QueueId &Queue,
              const QByteArray &Body, Answer OnAnswer);
  void state(const JobId &Id, const Answer &OnAnswer);
  void cancel(const JobId &Id, Answer OnAnswer);
  void queued(const schedule::QueueId &Queue, const Answer &OnAnswer);

  /// Workers that shall become empty for a while; repeated while it matters.
  void vacate(const std::set<InstanceId> &Workers, Millis For);
  /// Nothing before the stored jobs are loaded.
  std::optional<PoolPicture> picture() const;

  /// Gives the duty back once what waits is stored; then calls back.
  void handOver(std::function<void()> OnDone);

  const PoolId &pool() const { return Pool_; }
  const schedule::HolderRow &self() const { return Journal_.self(); }
  QJsonObject dump() const;

private:
  /// One worker as this holder calls it.
  struct Link {
    std::string Address_;
    /// The worker's clock when it last answered, and when that was.
    std::int64_t ClockMs_ = 0;
    Instant ClockAt_;
    bool RenewInFlight_ = false;
    Instant NextRenew_;
    /// Ends up to this one are durable.
    std::uint64_t EndsStored_ = 0;
    std::int64_t Born_ = 0;
  };
  struct Waiter {
    schedule::PoolJournal::Ticket Ticket_ = 0;
    Answer Answer_;
    JobAnswer Then_;
  };
  struct Submission {
    JobRow Row_;
    schedule::JobSpec Spec_;
    schedule::PoolJournal::Ticket Ticket_ = 0;
    Instant Since_;
    std::vector<Answer> Answers_;
  };

  // Loading what earlier holders stored.
  void load();
  void readRows(const std::string &Table, const std::string &From,
                std::function<void()> Then);
  void restoreJobs();

  void kick();
  void noteLag();
  void pump();
  void afterCommit();
  void lose(const char *Cause);
  void putProgress(const JobId &Id, bool Urgent);
  void storeChanges();
  void updateRoster();
  void purge();

  void renew(const InstanceId &Id, Link &L);
  void renewed(const InstanceId &Id, const platform_api::RenewReply &R,
               Instant SentAt);
  void askAdvice();
  void deliver(const schedule::Orders &Orders);
  void deliverStart(const schedule::StartOrder &O);
  void deliverStop(const schedule::StopOrder &O);
  std::int64_t clockOf(const Link &L) const;
  platform_api::WorkerAddress addressOf(const InstanceId &Id) const;
  void logDecisions();
  QJsonObject fields(const JobId &Id) const;
  Millis runLease() const;
  /// Until a worker on which something runs is asked again.
  Millis busyRenewPause() const;
  /// When a lease that was granted at a time has ended for certain.
  Instant leaseEnd(Instant GrantedAt) const;
  /// Whether the duty was renewed lately enough.
  bool mayOrder() const;

  Context &Context_;
  PoolId Pool_;
  std::function<void()> OnLost_;
  JournalWriter Writer_;
  schedule::PoolJournal &Journal_;
  schedule::PoolScheduler Scheduler_;
  schedule::Configuration Configuration_;
  std::map<InstanceId, Link> Links_;
  /// Registered instances at whose address another one answers.
  std::map<InstanceId, std::string> EndedInstances_;
  Roster Roster_;
  schedule::PoolJournal::Ticket RosterTicket_ = 0;
  std::map<JobId, Submission> Submissions_;
  std::vector<Waiter> Waiters_;
  /// Ended jobs: the change that made the end durable, and when that was put.
  struct Ending {
    schedule::PoolJournal::Ticket Ticket_ = 0;
    Instant At_;
  };
  std::map<JobId, Ending> Endings_;
  /// Ends of each worker that the changes up to a ticket contain.
  struct Noted {
    schedule::PoolJournal::Ticket Ticket_ = 0;
    std::map<InstanceId, std::pair<std::int64_t, std::uint64_t>> Ends_;
  };
  std::vector<Noted> Noted_;
  std::map<std::string, std::vector<platform_api::StoredRow>> Loaded_;
  bool Ready_ = false;
  bool Lost_ = false;
  bool Leaving_ = false;
  /// The placement service takes one call of an entry at a time.
  bool AskingAdvice_ = false;
  Instant NextAdvice_;
  std::function<void()> OnHandedOver_;
  /// How late the event loop is, on average: it grows with the processor's
  /// load.
  Micros Lag_{0};
  Instant LastRegular_;
  /// How long to wait before the next round of decisions, at least.
  int PumpPauseMs_ = 0;
  QTimer Soon_;
  QTimer Regular_;
  Instant LastPurge_;
};

} // namespace heathercross::entry
