// The state of one worker as known to its pool's scheduler.
#pragma once

#include "schedule/model.h"
#include "schedule/placement-advice.h"
#include "schedule/worker-speed.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <optional>
#include <utility>

namespace heathercross::schedule {

enum class RunPhase : std::uint8_t {
  /// The start order is unanswered.
  Ordered,
  Working,
  /// The start order got no clear answer; the worker may still carry it out.
  Unresolved,
  /// The worker refuses the start order, because of a raised fence. The order
  /// is
  /// given again.
  Void,
};

/// One run of a task on a worker. Its resources stay reserved until it has
/// certainly ended.
struct Run {
  Attempt Attempt_ = 0;
  Resources Reserved_;
  /// The account of the job, and what the run counts towards its limit.
  AccountId Account_;
  Resources AccountNeeds_;
  /// Copied from the step's specification.
  bool LongRunning_ = false;
  bool BestEffort_ = false;
  Millis LatencyGoal_{0};
  std::string Image_;
  RunPhase Phase_ = RunPhase::Ordered;
  /// When an answer or a report first confirmed the run.
  Instant ConfirmedAt_;
  /// The task began from its start at ConfirmedAt_, as far as the answers to
  /// this holder's orders show.
  bool StartSeen_ = false;
  /// Whether the run belongs to the incarnation on whose clock leases are
  /// counted.
  bool LeaseKnown_ = false;
  /// The run isn't the current one of its task, and is stopped.
  bool Unwanted_ = false;
  Instant OrderedAt_;
  /// The fence of the start order.
  FenceGeneration Fence_;
  bool StopWanted_ = false;
  /// The run is stopped to be moved, which is decided again if the worker
  /// refuses the stop.
  bool StopForMove_ = false;
  bool StopInFlight_ = false;
  /// The fence of the last stop order.
  std::optional<FenceGeneration> StopFence_;
  /// When the worker accepted the stop order.
  std::optional<Instant> StopAcceptedAt_;
  Instant NextStopAt_;
  std::uint32_t Percent_ = 0;
  Instant LastProgress_;
  std::int64_t Load_ = 0;
  /// The percentage of its work that a best-effort task may do now.
  std::uint32_t WorkPercent_ = 100;
  /// Whether the worker is known to apply WorkPercent_. An earlier holder may
  /// have throttled an adopted run.
  bool ThrottleKnown_ = true;
  Instant ThrottleChangedAt_;

  /// Whether an order for the run is open: to start it, or to stop it.
  bool unsettled() const { return Phase_ != RunPhase::Working || StopWanted_; }
};

/// An unanswered order is carried out within this time, if at all.
inline constexpr Millis MaxOrderDelay{12'000};

/// Which lease a run of an unresponsive worker may hold.
enum class LeaseKind : std::uint8_t {
  /// The lease that this holder asked for.
  Requested,
  /// The longest one that a worker grants.
  Longest,
  /// The longest one, granted by a call that arrived late.
  LongestLate,
};

/// Returns the name of a kind of lease for logs.
constexpr const char *leaseKindName(LeaseKind K) {
  switch (K) {
  case LeaseKind::Requested:
    return "requested";
  case LeaseKind::Longest:
    return "longest";
  case LeaseKind::LongestLate:
    return "longest-late";
  }
  return "unknown";
}

class Worker {
public:
  /// Fence is that of the first call.
  Worker(WorkerInfo Info, FenceGeneration Fence)
      : Fence_(Fence), Info_(std::move(Info)) {}

  const WorkerInfo &info() const { return Info_; }
  void setInfo(WorkerInfo Info) { Info_ = std::move(Info); }

  Resources free() const {
    Resources Free = Info_.Capacity_;
    return Free -= Used_;
  }
  const Resources &used() const { return Used_; }
  /// What runs count towards the limits of their accounts.
  const std::map<AccountId, Resources> &accountUsage() const {
    return AccountUsage_;
  }
  const std::map<TaskKey, Run> &runs() const { return Runs_; }
  std::map<TaskKey, Run> &runs() { return Runs_; }
  /// The numbers of long-running and of best-effort runs.
  std::uint32_t longRunningRuns() const { return LongRunningRuns_; }
  std::uint32_t bestEffortRuns() const { return BestEffortRuns_; }
  /// The number of runs of each image; runs without an image aren't counted.
  const std::map<std::string, std::uint32_t> &images() const { return Images_; }

  Run *find(const TaskKey &Key) {
    const auto It = Runs_.find(Key);
    return It == Runs_.end() ? nullptr : &It->second;
  }
  Run &add(const TaskKey &Key, Run R) {
    remove(Key);
    Used_ += R.Reserved_;
    if (!R.Account_.empty())
      AccountUsage_[R.Account_] += R.AccountNeeds_;
    LongRunningRuns_ += R.LongRunning_ ? 1 : 0;
    BestEffortRuns_ += R.BestEffort_ ? 1 : 0;
    Unsettled_ = Unsettled_ || R.unsettled();
    if (!R.Image_.empty())
      ++Images_[R.Image_];
    return Runs_[Key] = std::move(R);
  }
  void remove(const TaskKey &Key) {
    const auto It = Runs_.find(Key);
    if (It == Runs_.end())
      return;
    Used_ -= It->second.Reserved_;
    removeAccountUsage(It->second);
    LongRunningRuns_ -= It->second.LongRunning_ ? 1 : 0;
    BestEffortRuns_ -= It->second.BestEffort_ ? 1 : 0;
    if (const auto Image = Images_.find(It->second.Image_);
        Image != Images_.end() && --Image->second == 0)
      Images_.erase(Image);
    Runs_.erase(It);
  }

  /// The number of runs of a step's tasks.
  std::uint32_t runsOf(const StepKey &S) const {
    const auto First = Runs_.lower_bound({S.Job_, S.Occurrence_, S.Step_, 0});
    const auto Last =
        Runs_.lower_bound({S.Job_, S.Occurrence_, S.Step_ + 1, 0});
    return static_cast<std::uint32_t>(std::distance(First, Last));
  }

  /// Whether the worker has reported at least once.
  bool hasReported() const { return Incarnation_.has_value(); }

  /// Whether the worker refuses all orders of earlier fences, as far as its
  /// current incarnation is concerned.
  bool fenceConfirmed() const { return ConfirmedFence_ == Fence_; }

  /// When a run has ended that an order may have started unseen. The order was
  /// released without a clear answer and is carried out before Until, if at
  /// all, after the worker has lost its fence in a restart. MaxLease is the
  /// longest lease that the worker grants.
  Instant lateRunEnd(Instant Until, Millis MaxLease) const {
    return ReportSentAt_ < Until
               ? std::max(Until + MaxLease, MaxLeaseEnd_ + MaxOrderDelay)
               : Instant();
  }

  /// Whether such an order may still start a task, or such a run may last.
  bool mayStartLate(Instant Until, Instant Now, Millis MaxLease) const {
    return Now < lateRunEnd(Until, MaxLease);
  }

  /// Whether the registration is that of the reported incarnation. A new one
  /// may have another capacity and other labels.
  bool matchesRegistration() const {
    return !Info_.Incarnation_ || !Incarnation_ ||
           Info_.Incarnation_ == Incarnation_;
  }

  /// Whether the worker is unregistered, draining or being evacuated.
  bool isLeaving(Instant Now) const {
    return !Registered_ || Info_.Draining_ || EvacuateUntil_ > Now;
  }

  /// Whether the worker has runs, as far as is known, or an order that may
  /// still start one.
  bool isBusy(Instant Now) const {
    return !Runs_.empty() || Now < LateStartsEnd_;
  }

  /// Records a lease as requested, and the longest one that the worker may have
  /// granted instead.
  void leaseGranted(Instant At, Millis Requested, Millis Longest) {
    LeasesEnd_ = std::max(LeasesEnd_, At + Requested);
    MaxLeaseEnd_ = std::max(MaxLeaseEnd_, At + Longest);
  }

  /// Which lease a run may hold. Until the fence is confirmed after a restart,
  /// a late renewal may extend the lease of any run. A worker that is no longer
  /// registered may still be working, but a late order isn't waited for: its
  /// task would wait for every worker that is lost with an order unanswered.
  LeaseKind leaseKind(const Run &R) const {
    const bool Settled = R.Phase_ == RunPhase::Working && !Restarted_;
    if (Settled && R.LeaseKnown_)
      return LeaseKind::Requested;
    const bool Late = !Settled && (Registered_ || Restarted_);
    return Late ? LeaseKind::LongestLate : LeaseKind::Longest;
  }

  /// When a run has ended if no lease is renewed until then.
  Instant leaseEnd(const Run &R) const {
    switch (leaseKind(R)) {
    case LeaseKind::Requested:
      return LeasesEnd_;
    case LeaseKind::Longest:
      return MaxLeaseEnd_;
    case LeaseKind::LongestLate:
      break;
    }
    return MaxLeaseEnd_ + MaxOrderDelay;
  }

  /// When all runs have ended if no lease is renewed and no order given until
  /// then. MaxLease is the longest lease that the worker grants.
  Instant runsEnd(Millis MaxLease) const {
    Instant End = LeasesEnd_;
    for (const auto &[Key, R] : Runs_)
      End = std::max(End, leaseEnd(R));
    return std::max(End, lateRunEnd(LateStartsEnd_, MaxLease));
  }

  /// Whether the worker may have runs, now or soon. A later holder waits for
  /// such workers; workers that are sure to stay empty are left out.
  bool mayHoldRuns(Instant Now, Millis MaxLease) const {
    return isBusy(Now) || mayStartLate(LateStartsEnd_, Now, MaxLease) ||
           !hasReported() ||
           (Registered_ && !UnresponsiveSince_ && !Info_.Draining_ &&
            EvacuateUntil_ <= Now);
  }

  /// The worker's number in PlacementAdvice.
  WorkerNumber Number_ = 0;
  std::optional<std::int64_t> Incarnation_;
  /// The fence of the next call, and the highest one that a report confirmed.
  FenceGeneration Fence_;
  FenceGeneration ConfirmedFence_;
  /// When the last report was requested.
  Instant ReportSentAt_;
  /// Until when a released order may still be carried out.
  Instant LateStartsEnd_;
  bool Registered_ = true;
  /// Whether the stored roster names the worker. A later holder learns from the
  /// roster where runs may exist.
  bool Rostered_ = false;
  /// When the worker became unresponsive: lease renewals fail since then.
  std::optional<Instant> UnresponsiveSince_;
  /// When the leases of all its runs expire unless they are renewed.
  Instant LeasesEnd_;
  /// The same if the worker granted the longest lease instead of the requested
  /// one, because it has started again and counts time anew.
  Instant MaxLeaseEnd_;
  /// The worker has started again, and its fence wasn't confirmed since.
  bool Restarted_ = false;
  /// Sequence number of the last ended run that was processed.
  std::uint64_t LastEnd_ = 0;
  /// No task starts on the worker before this time.
  Instant PausedUntil_;
  /// Consecutive failed runs; repeated failures of the same job count once.
  std::uint32_t ConsecutiveFailures_ = 0;
  JobId LastFailedJob_;
  /// A start order has been unanswered for longer than its timeout. The worker
  /// may be unreachable and gets no further orders until it answers.
  bool AnswerOverdue_ = false;
  /// The worker is being evacuated: no task starts on it until then.
  Instant EvacuateUntil_;
  /// How its run times compare with those of other workers.
  WorkerSpeed Speed_;
  /// Whether any run may be unsettled. Most workers have none, so a scheduling
  /// round needn't look at their runs.
  bool Unsettled_ = false;

private:
  void removeAccountUsage(const Run &R) {
    const auto It = AccountUsage_.find(R.Account_);
    if (It != AccountUsage_.end() &&
        (It->second -= R.AccountNeeds_) == Resources())
      AccountUsage_.erase(It);
  }

  WorkerInfo Info_;
  Resources Used_;
  std::map<AccountId, Resources> AccountUsage_;
  std::uint32_t LongRunningRuns_ = 0;
  std::uint32_t BestEffortRuns_ = 0;
  std::map<std::string, std::uint32_t> Images_;
  std::map<TaskKey, Run> Runs_;
};

} // namespace heathercross::schedule
