// What goes into the request decisions and what comes out of them.
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

/// A caller's request as admission sees it. Bodies stay with the shell.
struct Spec {
  RequestId Request_;
  TeamId Team_;
  PoolId Pool_;
  /// Present when the request may not be repeated.
  std::optional<IdempotencyKey> Key_;
  /// SHA-256 of the body, in hex.
  std::string Digest_;
  Urgency Urgency_ = Urgency::Normal;
  /// The last moment at which an answer is of use.
  Instant Deadline_;
  /// The run time that the caller declared; zero when it said nothing.
  Millis DeclaredWork_{0};
};

/// How one try on one worker ended.
enum class TryResult : std::uint8_t {
  /// The whole answer to this very request came.
  Answered,
  /// The work ran and failed.
  WorkFailed,
  /// The worker said that it didn't start and won't.
  Refused,
  /// The connection was never made, so no byte of the request left.
  NeverSent,
  /// The answer was lost, cut short, or belonged to something else.
  Lost,
};

/// Why a worker refused, as far as placement cares.
enum class Refusal : std::uint8_t {
  None,
  Full,
  Leaving,
  TooLate,
  Fenced,
  Duplicate
};

/// What a worker said of itself, in a status or beside an answer.
struct WorkerReport {
  InstanceId Worker_;
  /// Requests that it ran at that moment, from all entries.
  Slots Busy_;
  bool Leaving_ = false;
  bool Draining_ = false;
  /// The worker's own clock at that moment, in milliseconds.
  std::int64_t ClockMs_ = 0;
  /// Batch tasks among them that could be checkpointed or stopped.
  Slots BatchTasks_{};
  /// Changes when the worker restarts; empty when not known.
  std::string Boot_{};
};

/// A worker that may serve a pool, as the fleet view has it now.
struct Candidate {
  InstanceId Worker_;
  PoolId Pool_;
  ZoneId Zone_;
  RackId Rack_;
  Slots Total_{8};
  /// False for draining, rebooting, ejected and leaving instances.
  bool TakesWork_ = true;
};

/// The whole set that the requests are placed on; replaces the one before.
struct Fleet {
  TicketNumber Head_;
  std::map<PoolId, Pool> Pools_;
  std::map<TeamId, Quota> Quotas_;
  std::vector<Candidate> Candidates_;
  /// The live entries of this zone, this one included, in order.
  std::vector<EntryId> ZoneEntries_;
};

/// What the table holds under a claim's key. The shell reads and writes it as
/// row "claim/TEAM/KEY".
enum class ClaimState : std::uint8_t { Claimed, Done, Failed, NotRun, Unknown };
struct ClaimRow {
  AttemptId Attempt_;
  std::string Digest_;
  /// The only workers on which the attempt may ever be started.
  std::vector<InstanceId> Workers_;
  ClaimState State_ = ClaimState::Claimed;
  EntryId Entry_;
  /// Identifies the stored answer: the shell keeps the body beside it.
  std::string Answer_;
  RowVersion Version_;
  /// For each named worker its boot when it was named, as far as known. A
  /// worker that restarted has forgotten what it started and fenced before.
  std::vector<std::string> Boots_{};
};

/// What a worker answered to a fence of an attempt.
enum class FenceResult : std::uint8_t {
  Fenced,
  Running,
  Done,
  Failed,
  NoAnswer
};

// Events. Each is given to Dispatcher::on with the time at which it happened.

struct Arrived {
  Spec Spec_;
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
/// The claim's write was answered.
struct ClaimWritten {
  RequestId Request_;
  CommitStatus Status_;
  RowVersion Version_;
};
/// The claim's row was read; nothing when there is none, and Failed_ when the
/// table didn't answer.
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
  /// The boot of the worker that answered; empty when not known.
  std::string Boot_{};
};
struct Reported {
  WorkerReport Report_;
};
struct FleetChanged {
  Fleet Fleet_;
};
/// A planned stop began: finish what is in flight, refuse what is new.
struct StopBegan {};
struct Tick {};

using Event =
    std::variant<Arrived, CallerLeft, TryEnded, ClaimWritten, ClaimRead,
                 FenceEnded, Reported, FleetChanged, StopBegan, Tick>;

// Effects, carried out by the shell in the order given.

/// Send the request to a worker. StartByMs_ is on the worker's own clock; zero
/// when that isn't known.
struct Send {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
  std::int64_t StartByMs_ = 0;
  /// True unless repeatable: use a connection that was never used before.
  bool Fresh_ = false;
  /// Give the try up after this long.
  Micros Timeout_{0};
  /// When not empty, the worker has to refuse unless this is its boot.
  std::string Boot_{};
};
/// Answer the caller. For Done and Failed the answer is the one that came with
/// the try or the stored claim named here.
struct Answer {
  RequestId Request_;
  Outcome Outcome_;
  Reason Reason_ = Reason::None;
  /// The try whose answer is handed on; empty for a stored answer.
  AttemptId Attempt_{};
  /// When not empty, the stored answer to fetch and hand on.
  std::string Stored_{};
};
/// Insert (Version_ zero) or replace the claim's row.
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
/// Fetch the answer that a worker kept for an attempt; ends as TryEnded.
struct FetchAnswer {
  RequestId Request_;
  AttemptId Attempt_;
  InstanceId Worker_;
};
/// Ask the worker to checkpoint or stop one batch task to free a slot.
struct Preempt {
  InstanceId Worker_;
};

using Effect = std::variant<Send, Answer, WriteClaim, ReadClaim, Fence,
                            FetchAnswer, Preempt>;
using Effects = std::vector<Effect>;

} // namespace heathercross::request
