// The request logic of one entry instance: handles events and returns effects.
#pragma once

#include "core/run-time-estimate.h"
#include "request/claim.h"
#include "request/config.h"
#include "request/counters.h"
#include "request/events.h"
#include "request/fair-queue.h"
#include "request/placement.h"
#include "request/retry-budget.h"
#include "request/worker-health.h"
#include "request/worker-registry.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathercross::request {

/// Admits, queues, places and answers the requests of one entry instance.
/// Deterministic: the same configuration and events produce the same effects.
///
/// RequestService carries out the effects in order and does all I/O. Each Send
/// and FetchAnswer must be followed by one TryEnded, each WriteClaim by one
/// ClaimWritten, each ReadClaim by one ClaimRead and each Fence by one
/// FenceEnded; these events may arrive after the request's Answer. A Tick is
/// due every few milliseconds, or at nextWake().
class Dispatcher {
public:
  explicit Dispatcher(Config C);
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  /// Handles one event and returns the effects to carry out.
  Effects on(const Event &E, Instant Now);

  /// Returns the state as JSON of bounded size.
  std::string dump() const;

  /// Returns when the next Tick is due, or nothing while no timer is set.
  std::optional<Instant> nextWake() const;

  std::size_t queued() const;
  std::size_t queued(const PoolId &Pool) const;
  /// Number of tries that were sent and haven't ended.
  std::size_t inFlight() const { return OpenTries_.size(); }
  /// Number of requests that aren't answered yet.
  std::size_t open() const { return OpenRequests_.size(); }
  bool stopping() const { return Stopping_; }
  const Counters &counters() const { return Counters_; }
  /// Expected run time of a request that declares none.
  Micros runTime(const PoolId &Pool) const;
  double retryTokens() const { return Budget_.tokens(); }

private:
  /// Processing stage of an open request.
  enum class Stage : std::uint8_t {
    /// Waits in its pool's queue for a free slot.
    Queued,
    /// Waits for a token of the retry budget.
    Parked,
    /// A repeatable request that was sent to a worker.
    Trying,
    /// Runs the claim protocol of its idempotency key.
    Claiming,
    /// Waits for another request here that claims the same key.
    Joined
  };

  struct OpenRequest {
    RequestSpec Spec_;
    Sequence Sequence_ = 0;
    Stage Stage_ = Stage::Queued;
    Instant TimerAt_{};
    /// Estimated run time.
    Micros Work_{0};
    /// Current try of a repeatable request.
    AttemptId Attempt_;
    std::uint32_t TryCount_ = 0;
    /// Whether a try was lost and may have run.
    bool MayHaveRun_ = false;
    bool CallerLeft_ = false;
    /// Answered requests are removed at the end of the event.
    bool Answered_ = false;
    Instant PreemptedAt_{};
    /// Workers on which a try was lost or couldn't be sent.
    std::vector<InstanceId> FailedWorkers_;
    std::optional<Claim> Claim_;
    /// Worker with a slot reserved until the claim is confirmed.
    std::optional<InstanceId> Reserved_;
  };

  struct TryKey {
    AttemptId Attempt_;
    InstanceId Worker_;
    auto operator<=>(const TryKey &) const = default;
  };
  struct TryInfo {
    PoolId Pool_;
    Millis Declared_{0};
    Cause Cause_;
    Instant SentAt_;
    bool CallerLeft_ = false;
  };

  struct PoolState {
    Pool Pool_;
    FairQueue Queue_;
    RunTimeEstimate RunTime_;
    BorrowMargin Margin_;
    std::size_t InFlight_ = 0;
  };
  using ClaimKey = std::pair<TeamId, IdempotencyKey>;

  void handle(const Arrived &E);
  void handle(const CallerLeft &E);
  void handle(const TryEnded &E);
  void handle(const ClaimWritten &E);
  void handle(const ClaimRead &E);
  void handle(const FenceEnded &E);
  void handle(const Reported &E);
  void handle(const FleetChanged &E);
  void handle(const StopBegan &E);
  void handle(const Tick &E);

  std::optional<Reason> arrivalRefusal(const RequestSpec &S);
  void admit(OpenRequest &R);
  /// Returns a refusal if too many requests are ahead of this one for it to be
  /// served within its window.
  std::optional<Reason> queueRefusal(const OpenRequest &R, PoolState &P);
  /// Evicts a waiting request if the queue is full. Returns whether there is
  /// room.
  bool makeRoom(const WaitingRequest &W, PoolState &P);
  /// Makes the request wait if another one of this entry is claiming the same
  /// key. Returns true if it waits.
  bool joinsLeader(OpenRequest &R);
  WaitingRequest waitingRequest(const OpenRequest &R) const;
  /// Updates the estimated run time and returns whether the request can no
  /// longer finish within its window. While other requests are queued, the
  /// conservative estimate is used, so that no slot is spent on a request that
  /// is likely to finish too late.
  bool tooLate(OpenRequest &R);
  void enqueue(OpenRequest &R);
  void park(OpenRequest &R);

  void serveQueue(const PoolId &Pool);
  void serveAllQueues();
  /// Sends or refuses the first request. Returns false if it has to wait.
  bool serveFront(PoolState &P);
  PlacementRules rulesFor(const OpenRequest &R, const PoolState &P) const;
  std::optional<WorkerChoice> findWorker(const OpenRequest &R,
                                         const PoolState &P);
  void preemptFor(OpenRequest &R, const PoolState &P);
  void startTry(OpenRequest &R, PoolState &P, const WorkerChoice &Choice);
  void startClaim(OpenRequest &R, const PoolState &P,
                  const WorkerChoice &Choice);

  bool recordTryEnd(const TryEnded &E);
  void recordRefusal(const TryEnded &E, PoolState &P);
  void recordHealth(const TryEnded &E, const TryInfo &Info);
  void onRepeatableTryEnded(OpenRequest &R, const TryEnded &E);
  void retryOrPark(OpenRequest &R);

  /// Runs one step of the request's claim and processes its effects.
  template <class StepFunction>
  void stepClaim(OpenRequest &R, const StepFunction &F) {
    Effects StepEffects;
    ClaimStep Step{Now_, Budget_, StepEffects};
    F(*R.Claim_, Step);
    takeEffects(R, std::move(StepEffects));
    afterClaimStep(R);
  }
  void takeEffects(OpenRequest &R, Effects Out);
  void afterClaimStep(OpenRequest &R);
  void releaseReservation(OpenRequest &R);

  void emitSend(OpenRequest &R, Send S);
  void finish(OpenRequest &R, Answer A);
  void finishUnserved(OpenRequest &R, Reason Why);
  void lookUpClaim(OpenRequest &R);
  void wakeFollowers(const ClaimKey &Key, bool Recorded);

  void setTimer(OpenRequest &R, Instant At);
  void runTimers();
  void onTimer(OpenRequest &R);
  void removeFinished();
  void drainRemovedPool(PoolState &P);

  AttemptId newAttempt();
  OpenRequest *find(const RequestId &Id);
  PoolState &poolOf(const OpenRequest &R);
  static Cause causeOf(const RequestSpec &S);

  Config Config_;
  WorkerRegistry Registry_;
  Placement Placement_;
  HealthTracker Health_;
  RetryBudget Budget_;
  Counters Counters_;

  std::map<PoolId, PoolState> Pools_;
  std::vector<PoolId> SparePools_;
  FairQueue::Weights Weights_;
  bool HasFleet_ = false;
  bool Stopping_ = false;

  std::unordered_map<Sequence, OpenRequest> OpenRequests_;
  std::unordered_map<RequestId, Sequence> SequenceById_;
  /// Tries that were sent and haven't ended.
  std::map<TryKey, TryInfo> OpenTries_;
  std::set<std::pair<Instant, Sequence>> Timers_;
  /// For each key that is being claimed here: the request that claims it, and
  /// the requests that wait for its outcome.
  std::map<ClaimKey, Sequence> Leaders_;
  std::map<ClaimKey, std::vector<Sequence>> Followers_;
  std::vector<Sequence> Finished_;
  Sequence LastSequence_ = 0;
  std::uint64_t LastAttempt_ = 0;

  /// Effects and time of the event that is being handled.
  Effects Out_;
  Instant Now_{};
};

} // namespace heathercross::request
