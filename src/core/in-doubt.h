// Resolves transactions whose commit got no response.
#pragma once

#include "heathercross/table.h"

#include <algorithm>
#include <vector>

namespace heathercross {

/// Outcome of a transaction, derived from the rows read back.
enum class InDoubtOutcome : std::uint8_t {
  /// The transaction took effect: this attempt wrote a row that was read back.
  Committed,
  /// It did not take effect and can't take effect later.
  NotCommitted,
  /// All expected versions still hold, so it may still take effect. Send the
  /// same transaction again under the same attempt and read back.
  Undecided,
  /// Other attempts have written all its rows since, so its outcome can't be
  /// derived. Continue from the contents of the rows.
  Overwritten,
};

namespace detail {

inline const Row *findRow(const std::vector<Row> &Rows,
                          const std::string &Key) {
  const auto I = std::ranges::find(Rows, Key, &Row::Key_);
  return I == Rows.end() ? nullptr : &*I;
}

inline bool hasExpectedVersion(const Expectation &E,
                               const std::vector<Row> &Rows) {
  const Row *Found = findRow(Rows, E.Key_);
  return (Found ? Found->Version_ : RowVersion()) == E.Version_;
}

} // namespace detail

/// Derives the outcome of a transaction from all rows that it expects or
/// writes, read after its commit got no response. ReadBack has no entry for a
/// row that doesn't exist.
inline InDoubtOutcome resolveInDoubt(const Transaction &T,
                                     const std::vector<Row> &ReadBack) {
  const auto WrittenByAttempt = [&](const Put &P) {
    const Row *Found = detail::findRow(ReadBack, P.Key_);
    return Found && Found->Writer_ == T.Attempt_;
  };
  if (std::ranges::any_of(T.Put_, WrittenByAttempt))
    return InDoubtOutcome::Committed;
  const auto HasExpectedVersion = [&](const Expectation &E) {
    return detail::hasExpectedVersion(E, ReadBack);
  };
  if (std::ranges::all_of(T.Expect_, HasExpectedVersion))
    return InDoubtOutcome::Undecided;
  // A commit writes all its rows. A row to be written that still has the
  // expected version shows that the transaction did not commit, and the failed
  // expectation shows that it never will.
  const auto NotWritten = [&](const Expectation &E) {
    return HasExpectedVersion(E) &&
           std::ranges::find(T.Put_, E.Key_, &Put::Key_) != T.Put_.end();
  };
  return std::ranges::any_of(T.Expect_, NotWritten)
             ? InDoubtOutcome::NotCommitted
             : InDoubtOutcome::Overwritten;
}

} // namespace heathercross
