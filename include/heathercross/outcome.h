// The closed sets of outcomes and refusal reasons of a request.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

namespace heathercross {

/// What became of a request. The same word stands in the HTTP answer, the
/// log, the metric and the history.
enum class Outcome : std::uint8_t {
  /// The whole answer to this very request was returned.
  Done,
  /// It ran, and the work itself failed.
  Failed,
  /// It never started anywhere and can't start later; repeat at will.
  NotRun,
  /// It may have run; repeat only if it is repeatable.
  Unknown,
};

/// Why a request was not run, or why its outcome is unknown.
enum class Reason : std::uint8_t {
  None,
  /// No view of the fleet has been obtained yet.
  NotReady,
  /// The pool isn't in the view in force.
  NoSuchPool,
  /// The window can't be met any more.
  WindowTooShort,
  /// The queue for the pool is full.
  QueueFull,
  /// The team is over its share while the pool is short.
  OverQuota,
  /// Every worker that may serve it refused.
  WorkersRefused,
  /// The pool has no worker that may take new work.
  NoWorkers,
  /// The platform's table didn't confirm the claim in time.
  ClaimUnconfirmed,
  /// The same key came with another body.
  KeyReused,
  /// Another entry holds the claim and hasn't settled it.
  ClaimPending,
  /// The entry is stopping.
  Stopping,
  /// The worker's answer didn't come, or not whole.
  AnswerLost,
  /// The window passed while the request was running.
  WindowPassed,
  /// The declared size fits no worker of the pool.
  NeverFits,
  /// The retry budget is spent.
  RetryBudgetSpent,
};

/// How soon a request has to be served. Lower values go first.
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

/// The word for an outcome, reason or urgency.
constexpr std::string_view name(Outcome O) {
  return detail::nameOf(detail::OutcomeNames, O);
}
constexpr std::string_view name(Reason R) {
  return detail::nameOf(detail::ReasonNames, R);
}
constexpr std::string_view name(Urgency U) {
  return detail::nameOf(detail::UrgencyNames, U);
}

/// The value that a word stands for, if there is one.
constexpr std::optional<Outcome> parseOutcome(std::string_view S) {
  return detail::valueOf(detail::OutcomeNames, S);
}
constexpr std::optional<Urgency> parseUrgency(std::string_view S) {
  return detail::valueOf(detail::UrgencyNames, S);
}

} // namespace heathercross
