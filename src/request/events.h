// Events and effects of the request logic.
#pragma once

#include "heathercross/fleet-model.h"
#include "heathercross/ids.h"
#include "heathercross/outcome.h"
#include "heathercross/table.h"
#include "heathercross/units.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heathercross::request {

/// The properties of a request that admission needs; RequestService keeps the
/// body.
struct RequestSpec {
  RequestId Request_;
  TeamId Team_;
  PoolId Pool_;
  /// Present if the request must run at most once.
  std::optional<IdempotencyKey> Key_;
  /// SHA-256 of the body, in hex.
  std::string Digest_;
  Urgency Urgency_ = Urgency::Normal;
  /// End of the request's window.
  Instant Deadline_;
  /// Run time declared by the caller; zero if none.
  Millis DeclaredWork_{0};
};

/// Result of one try on one worker.
enum class TryResult : std::uint8_t {
  /// The complete answer to this request arrived.
  Answered,
  /// The work ran and failed.
  WorkFailed,
  /// The worker reported that it didn't and won't start the work.
  Refused,
  /// No connection was made, so no byte of the request was sent.
  NeverSent,
  /// The answer was lost, truncated, or for another request.
  Lost,
};

/// Why a worker refused; lists only the reasons that the request logic
/// distinguishes.
enum class Refusal : std::uint8_t {
  None,
  Full,
  Leaving,
  TooLate,
  Fenced,
  Duplicate
};

/// A worker's report of its state, in a status or along with an answer.
struct WorkerReport {
  InstanceId Worker_;
  /// Requests of all entries that the worker was running.
  Slots Busy_;
  bool Leaving_ = false;
  bool Draining_ = false;
  /// The worker's clock at the time of the report, in milliseconds.
  std::int64_t ClockMs_ = 0;
  /// Batch tasks among the running requests that can be checkpointed or
  /// stopped.
  Slots BatchTasks_{};
  /// Boot id, which changes when the worker restarts; empty if unknown.
  std::string Boot_{};
};

/// A worker that may serve a pool, according to the fleet view.
struct Candidate {
  InstanceId Worker_;
  PoolId Pool_;
  ZoneId Zone_;
  RackId Rack_;
  Slots SlotCount_{8};
  /// False for draining, rebooting, ejected and leaving instances.
  bool TakesWork_ = true;
};

/// The complete set of pools and workers; replaces the previous one.
struct Fleet {
  TicketNumber Head_;
  std::map<PoolId, Pool> Pools_;
  std::map<TeamId, Quota> Quotas_;
  std::vector<Candidate> Candidates_;
  /// The live entries of this zone in sorted order, this one included.
  std::vector<EntryId> ZoneEntries_;
};

/// State of a claim in the shared table. RequestService stores it as row
/// "claim/TEAM/KEY".
enum class ClaimState : std::uint8_t { Claimed, Done, Failed, NotRun, Unknown };

/// A claim of an idempotency key by one attempt.
struct ClaimRow {
  AttemptId Attempt_;
  std::string Digest_;
  /// The attempt may be started only on these workers.
  std::vector<InstanceId> Workers_;
  ClaimState State_ = ClaimState::Claimed;
  EntryId Entry_;
  /// Identifies the stored answer, whose body RequestService keeps.
  std::string Answer_;
  RowVersion Version_;
  /// Boot id of each worker when the claim was written; empty if unknown. A
  /// worker loses its record of started and fenced attempts when it restarts.
  std::vector<std::string> Boots_{};
};

/// A worker's answer to the request to fence an attempt.
enum class FenceResult : std::uint8_t {
  Fenced,
  Running,
  Done,
  Failed,
  NoAnswer
};

// Events, passed to Dispatcher::on() with the time at which they happened.

struct Arrived {
  RequestSpec Spec_;
};
struct CallerLeft {
  RequestId Request_;
};
struct TryEnded {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
  TryResult Result_ = TryResult::Lost;
  Refusal Refusal_ = Refusal::None;
  Micros Took_{0};
};
/// The table answered the write of a claim.
struct ClaimWritten {
  RequestId Request_;
  CommitStatus Status_;
  RowVersion Version_;
};
/// The table answered the read of a claim. Row_ is empty if there is no row;
/// Failed_ is set if the table didn't answer.
struct ClaimRead {
  RequestId Request_;
  std::optional<ClaimRow> Row_;
  bool Failed_ = false;
};
struct FenceEnded {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
  FenceResult Result_;
  /// Boot id of the worker that answered; empty if unknown.
  std::string Boot_{};
};
struct Reported {
  WorkerReport Report_;
};
struct FleetChanged {
  Fleet Fleet_;
};
/// A planned stop began: open requests finish, new ones are refused.
struct StopBegan {};
struct Tick {};

using Event =
    std::variant<Arrived, CallerLeft, TryEnded, ClaimWritten, ClaimRead,
                 FenceEnded, Reported, FleetChanged, StopBegan, Tick>;

// Effects, carried out by RequestService in the given order.

/// Sends the request to a worker. StartByMs_ refers to the worker's clock and
/// is zero if that is unknown.
struct Send {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
  std::int64_t StartByMs_ = 0;
  /// Use a new connection; set for requests that must run at most once.
  bool NewConnection_ = false;
  /// The try counts as lost after this time.
  Micros Timeout_{0};
  /// If not empty, the worker has to refuse unless this is its boot id.
  std::string Boot_{};
};
/// Answers the caller. For Done and Failed, the body is that of the try or the
/// stored answer named here.
struct Answer {
  RequestId Request_;
  Outcome Outcome_;
  Reason Reason_ = Reason::None;
  /// The try whose answer is forwarded; empty for a stored answer.
  AttemptId Attempt_{};
  /// If not empty, the stored answer to fetch and forward.
  std::string StoredAnswer_{};
};
/// Inserts the claim's row if Version_ is zero, and replaces that version
/// otherwise.
struct WriteClaim {
  RequestId Request_;
  ClaimRow Row_;
};
struct ReadClaim {
  RequestId Request_;
};
struct Fence {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
};
/// Fetches the answer that a worker kept for an attempt; ends in a TryEnded.
struct FetchAnswer {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
};
/// Asks the worker to checkpoint or stop one batch task to free a slot.
struct Preempt {
  InstanceId Worker_;
};

using Effect = std::variant<Send, Answer, WriteClaim, ReadClaim, Fence,
                            FetchAnswer, Preempt>;
using Effects = std::vector<Effect>;

} // namespace heathercross::request
