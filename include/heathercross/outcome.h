// Outcomes, refusal reasons and urgency classes of requests, and their names.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace heathercross {

/// The outcome of a request. Its name is the same in the HTTP response, the
/// log, the metrics and the history.
enum class Outcome : std::uint8_t {
  /// The complete answer to this request was returned.
  Done,
  /// The request ran, and the work itself failed.
  Failed,
  /// The request didn't start on any worker and can't start later; the caller
  /// may safely repeat it.
  NotRun,
  /// The request may have run; repeat it only if it is idempotent.
  Unknown,
};

/// Why a request was not run, or why its outcome is unknown.
enum class Reason : std::uint8_t {
  None,
  /// The entry has no agreed view yet.
  NotReady,
  /// The pool doesn't exist in the current agreed view.
  NoSuchPool,
  /// The remaining time window is too short to run the request.
  WindowTooShort,
  /// The queue for the pool is full.
  QueueFull,
  /// The team exceeds its share while the pool lacks capacity.
  OverQuota,
  /// Every eligible worker refused the request.
  WorkersRefused,
  /// The pool has no worker that accepts new work.
  NoWorkers,
  /// The platform's table didn't confirm the claim row in time.
  ClaimUnconfirmed,
  /// The idempotency key was used before with a different body.
  KeyReused,
  /// Another entry holds the claim and hasn't completed it.
  ClaimPending,
  /// The entry is stopping.
  Stopping,
  /// The worker's answer didn't arrive or was incomplete.
  AnswerLost,
  /// The time window ended while the request was running.
  WindowPassed,
  /// The declared size exceeds every worker of the pool.
  NeverFits,
  /// The retry budget is exhausted.
  RetryBudgetSpent,
};

/// Priority class of a request; lower values are served first.
enum class Urgency : std::uint8_t { Urgent, Normal, Batch };

namespace detail {

template <class E, std::size_t N>
using Names = std::array<std::pair<E, std::string_view>, N>;

inline constexpr Names<Outcome, 4> OutcomeNames{{
    {Outcome::Done, "done"},
    {Outcome::Failed, "failed"},
    {Outcome::NotRun, "not-run"},
    {Outcome::Unknown, "unknown"},
}};

inline constexpr Names<Reason, 16> ReasonNames{{
    {Reason::None, "none"},
    {Reason::NotReady, "not-ready"},
    {Reason::NoSuchPool, "no-such-pool"},
    {Reason::WindowTooShort, "window-too-short"},
    {Reason::QueueFull, "queue-full"},
    {Reason::OverQuota, "over-quota"},
    {Reason::WorkersRefused, "workers-refused"},
    {Reason::NoWorkers, "no-workers"},
    {Reason::ClaimUnconfirmed, "claim-unconfirmed"},
    {Reason::KeyReused, "key-reused"},
    {Reason::ClaimPending, "claim-pending"},
    {Reason::Stopping, "stopping"},
    {Reason::AnswerLost, "answer-lost"},
    {Reason::WindowPassed, "window-passed"},
    {Reason::NeverFits, "never-fits"},
    {Reason::RetryBudgetSpent, "retry-budget-spent"},
}};

inline constexpr Names<Urgency, 3> UrgencyNames{{
    {Urgency::Urgent, "urgent"},
    {Urgency::Normal, "normal"},
    {Urgency::Batch, "batch"},
}};

template <class E, std::size_t N>
constexpr std::string_view nameOf(const Names<E, N> &Table, E Value) {
  for (const auto &[Key, Name] : Table)
    if (Key == Value)
      return Name;
  return "?";
}

template <class E, std::size_t N>
constexpr std::optional<E> valueOf(const Names<E, N> &Table,
                                   std::string_view Name) {
  for (const auto &[Key, Text] : Table)
    if (Text == Name)
      return Key;
  return std::nullopt;
}

} // namespace detail

/// The external name of an outcome, reason or urgency.
constexpr std::string_view name(Outcome O) {
  return detail::nameOf(detail::OutcomeNames, O);
}
constexpr std::string_view name(Reason R) {
  return detail::nameOf(detail::ReasonNames, R);
}
constexpr std::string_view name(Urgency U) {
  return detail::nameOf(detail::UrgencyNames, U);
}

/// The value with this external name, if there is one.
constexpr std::optional<Outcome> parseOutcome(std::string_view S) {
  return detail::valueOf(detail::OutcomeNames, S);
}
constexpr std::optional<Urgency> parseUrgency(std::string_view S) {
  return detail::valueOf(detail::UrgencyNames, S);
}

} // namespace heathercross
