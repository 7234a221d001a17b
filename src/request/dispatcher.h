// The request decisions of one entry: events with a time in, effects out.
#pragma once

#include "request/claim.h"
#include "request/config.h"
#include "request/events.h"
#include "request/fair-queue.h"
#include "request/metrics.h"
#include "request/placement.h"
#include "request/retry-budget.h"
#include "request/run-time-estimate.h"
#include "request/worker-board.h"
#include "request/worker-health.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace heathercross::request {

/// Admits, queues, places and settles the requests of one entry. Deterministic:
/// the same configuration and the same events give the same effects.
///
/// The shell carries out the effects in order. It answers each Send and
/// FetchAnswer by one TryEnded, each WriteClaim by one ClaimWritten, each
/// ReadClaim by one ClaimRead and each Fence by one FenceEnded; answers that
/// come after the request's Answer are expected and harmless. Tick has to come
/// every few milliseconds, or at nextWake().
class Dispatcher {
public:
  explicit Dispatcher(Config C);
  Dispatcher(const Dispatcher &) = delete;
  Dispatcher &operator=(const Dispatcher &) = delete;

  Effects on(const Event &E, Instant Now);

  /// The state as one JSON text of bounded size.
  std::string dump() const;

  /// When a Tick is due; nothing while no request is open.
  std::optional<Instant> nextWake() const;

  std::size_t queued() const;
  std::size_t queued(const PoolId &Pool) const;
  /// Tries that were sent and haven't ended.
  std::size_t inFlight() const { return Tries_.size(); }
  /// Requests that aren't answered yet.
  std::size_t open() const { return Open_.size(); }
  bool stopping() const { return Stopping_; }
  const Counters &counters() const { return Counters_; }
  /// The learned run time of a request that declares nothing.
  Micros runTime(const PoolId &Pool) const;
  double retryTokens() const { return Budget_.tokens(); }

private:
  /// Where an open request stands.
  enum class Stage : std::uint8_t { Queued, Parked, Trying, Claiming, Joined };

  struct OpenRequest {
    Spec Spec_;
    Sequence Sequence_ = 0;
    Stage Stage_ = Stage::Queued;
    Instant TimerAt_{};
    Micros Work_{0};
    /// The present try of a repeatable request.
    AttemptId Attempt_;
    std::uint32_t Tries_ = 0;
    bool MayHaveRun_ = false;
    bool CallerLeft_ = false;
    /// Whether it was answered; it is removed when the event is handled.
    bool Over_ = false;
    Instant PreemptedAt_{};
    /// Workers on which a try got lost.
    std::vector<InstanceId> LostOn_;
    std::optional<Claim> Claim_;
    /// The worker on which a slot is kept for a claim.
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

  std::optional<Reason> refusal(const Spec &S);
  void admit(OpenRequest &R);
  std::optional<Reason> queueRefusal(const OpenRequest &R, PoolState &P);
  bool makeRoom(const Waiting &W, PoolState &P);
  bool joinsLeader(OpenRequest &R);
  Waiting waiting(const OpenRequest &R) const;
  /// Whether the window can't be met any more. While others wait for the slot
  /// it isn't given to a request that may well come too late.
  bool tooLate(OpenRequest &R);
  void enqueue(OpenRequest &R);
  void park(OpenRequest &R);

  void pump(const PoolId &Pool);
  void pumpAll();
  bool serveFront(PoolState &P);
  PlaceRules rulesFor(const OpenRequest &R, const PoolState &P) const;
  std::optional<Place> placeFor(const OpenRequest &R, const PoolState &P);
  void preemptFor(OpenRequest &R, const PoolState &P);
  void start(OpenRequest &R, PoolState &P, const Place &At);
  void startClaim(OpenRequest &R, const PoolState &P, const Place &At);

  bool noteTryEnd(const TryEnded &E);
  void noteRefusal(const TryEnded &E, PoolState &P);
  void noteHealth(const TryEnded &E, const TryInfo &Info);
  void repeatableEnded(OpenRequest &R, const TryEnded &E);
  void placeAgain(OpenRequest &R);

  /// Runs one step of the request's claim and carries out what it asks for.
  template <class StepFunction>
  void stepClaim(OpenRequest &R, const StepFunction &F) {
    Effects Local;
    ClaimStep Step{Now_, Budget_, Local};
    F(*R.Claim_, Step);
    takeEffects(R, std::move(Local));
    afterClaimStep(R);
  }
  void takeEffects(OpenRequest &R, Effects Out);
  void afterClaimStep(OpenRequest &R);
  void releaseReservation(OpenRequest &R);

  void emitSend(OpenRequest &R, Send S);
  void finish(OpenRequest &R, Answer A);
  void finishUnserved(OpenRequest &R, Reason Why);
  void lookUp(OpenRequest &R);
  void wakeFollowers(const ClaimKey &Key, bool Recorded);

  void setTimer(OpenRequest &R, Instant At);
  void runTimers();
  void onTimer(OpenRequest &R);
  void removeFinished();
  void drainRemovedPool(PoolState &P);

  AttemptId newAttempt();
  OpenRequest *find(const RequestId &Id);
  PoolState &poolOf(const OpenRequest &R);
  static Cause causeOf(const Spec &S);

  Config Config_;
  WorkerBoard Board_;
  Placement Placement_;
  HealthWatch Health_;
  RetryBudget Budget_;
  Counters Counters_;

  std::map<PoolId, PoolState> Pools_;
  std::vector<PoolId> SparePools_;
  FairQueue::Weights Weights_;
  bool HasFleet_ = false;
  bool Stopping_ = false;

  std::unordered_map<Sequence, OpenRequest> Open_;
  std::unordered_map<RequestId, Sequence> ById_;
  std::map<TryKey, TryInfo> Tries_;
  std::set<std::pair<Instant, Sequence>> Timers_;
  /// For each key that is being claimed here the request that claims it, and
  /// those that wait for it.
  std::map<ClaimKey, Sequence> Leaders_;
  std::map<ClaimKey, std::vector<Sequence>> Followers_;
  std::vector<Sequence> Finished_;
  Sequence LastSequence_ = 0;
  std::uint64_t LastAttempt_ = 0;

  /// The effects and the time of the event that is being handled.
  Effects Out_;
  Instant Now_{};
};

} // namespace heathercross::request
