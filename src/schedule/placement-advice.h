// What the placement service has said about the steps of a pool's jobs.
//
// Which workers may run a step doesn't change, so a refusal holds for the whole
// life of a worker, and an expired ticket still shows whom to ask again. A pool
// of 1,200 workers with 10,000 steps must fit into an entry of 160 MB: a step
// keeps one bit for each worker that was refused, and tickets only of workers
// that are allowed.
#pragma once

#include "schedule/model.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// Number of a worker within its pool; small, so that sets of workers are
/// compact.
using WorkerNumber = std::uint32_t;

/// A worker as named in a query, in one of its lives.
struct AdvisedWorker {
  InstanceId Id_;
  std::int64_t Incarnation_ = 0;
};

/// A query to the placement service: which of these workers may run the step?
struct AdviceRequest {
  StepKey Step_;
  std::vector<AdvisedWorker> Workers_;
  AdviceTimes Times_;
};

/// Why a step that needs advice waits.
enum class AdviceState : std::uint8_t {
  Unknown,
  /// No worker that was asked about is allowed; others haven't been asked
  /// about.
  NoneAllowedSoFar,
  /// No worker of the pool that suits the step is allowed.
  NoneAllowed,
  /// Workers are allowed, and none of them has room.
  NoRoom,
  /// An allowed worker has room.
  Placeable,
};

/// Returns the name of a state for logs.
const char *adviceStateName(AdviceState S);

/// How many workers a query names, as the service takes its time for each.
class AdviceBatch {
public:
  /// The maximum number of workers in the next query for a step about which
  /// this many queries were answered.
  std::size_t limit(const AdviceTimes &T, std::uint32_t Answered) const;
  /// How long to wait for the answer to a query.
  static Millis timeout(const AdviceTimes &T, std::size_t Workers);
  /// Takes in how long a query of this size took; Answered tells whether it
  /// was answered.
  void took(const AdviceTimes &T, std::size_t Workers, Micros Duration,
            bool Answered);

private:
  /// Lowered while the service is slower than the settings say.
  std::size_t Cap_ = MaxNamed;

  /// Maximum number of workers in a query (platform protocol).
  static constexpr std::size_t MaxNamed = 100;
};

class PlacementAdvice {
public:
  enum class Answer : std::uint8_t {
    /// The worker hasn't been asked about in its current life.
    None,
    Refused,
    /// The worker is allowed and its ticket has expired.
    Expired,
    Valid,
  };

  /// Returns the lowest number that no worker has.
  WorkerNumber addWorker();
  /// Forgets what was said about a worker; its number is given again.
  void removeWorker(WorkerNumber N);
  /// Forgets what was said about a former life of a worker.
  void workerRestarted(WorkerNumber N);

  /// Records an answer about one worker; without a ticket it is a refusal.
  void record(const StepKey &Step, WorkerNumber N,
              std::optional<std::string> Ticket, Instant ValidUntil);
  /// Records when a query for the step was sent, or answered.
  void asked(const StepKey &Step, Instant At);
  void answered(const StepKey &Step);
  Answer answer(const StepKey &Step, WorkerNumber N, Instant Now) const;
  /// The last ticket for a worker; empty if it isn't allowed.
  std::string ticket(const StepKey &Step, WorkerNumber N) const;
  /// Forgets what was said about one worker: it rejected its ticket.
  void ticketRejected(const StepKey &Step, WorkerNumber N);
  /// Whether any worker is known to be allowed.
  bool anyAllowed(const StepKey &Step) const;
  /// How many queries for the step were answered.
  std::uint32_t queries(const StepKey &Step) const;
  /// When a query for the step was last sent.
  std::optional<Instant> lastAsked(const StepKey &Step) const;
  /// Sets why a step waits; returns whether that is new. A step of which
  /// nothing is known stays Unknown.
  bool setState(const StepKey &Step, AdviceState S);
  void forget(const JobId &Id);
  std::size_t steps() const { return Steps_.size(); }

private:
  struct ValidTicket {
    std::string Text_;
    Instant ValidUntil_;
  };
  struct Step {
    /// By the numbers of workers; shorter if the last ones weren't refused.
    std::vector<bool> Refused_;
    std::map<WorkerNumber, ValidTicket> Tickets_;
    std::uint32_t Queries_ = 0;
    std::optional<Instant> LastAsked_;
    AdviceState State_ = AdviceState::Unknown;
  };
  const Step *find(const StepKey &Key) const;
  static void forgetWorker(Step &S, WorkerNumber N);

  std::map<StepKey, Step> Steps_;
  std::vector<bool> Numbers_;
};

} // namespace heathercross::schedule
