// What became of a transaction whose answer was lost.
#pragma once

#include "heathercross/table.h"

#include <algorithm>
#include <vector>

namespace heathercross {

enum class Settled : std::uint8_t {
  /// A row that was read back was written by this very attempt.
  Committed,
  /// It didn't take effect and can't any more.
  NotCommitted,
  /// Nothing has changed yet: it may still take effect. Send the same
  /// transaction with the same attempt again and read back.
  Undecided,
  /// Every row that it would have written was written by others since. Judge
  /// by what the rows say.
  Overwritten,
};

namespace detail {

inline const Row *rowIn(const std::vector<Row> &Rows, const std::string &Key) {
  const auto I = std::ranges::find(Rows, Key, &Row::Key_);
  return I == Rows.end() ? nullptr : &*I;
}

inline bool unchanged(const Expectation &E, const std::vector<Row> &Rows) {
  const Row *Found = rowIn(Rows, E.Key_);
  return (Found ? Found->Version_ : RowVersion()) == E.Version_;
}

} // namespace detail

/// Judges a transaction by all rows that it expects or writes, read after its
/// answer was lost; an absent row is one that doesn't exist.
inline Settled settled(const Transaction &T, const std::vector<Row> &ReadBack) {
  const auto IsOwn = [&](const Put &P) {
    const Row *Found = detail::rowIn(ReadBack, P.Key_);
    return Found && Found->Writer_ == T.Attempt_;
  };
  if (std::ranges::any_of(T.Put_, IsOwn))
    return Settled::Committed;
  const auto Unchanged = [&](const Expectation &E) {
    return detail::unchanged(E, ReadBack);
  };
  if (std::ranges::all_of(T.Expect_, Unchanged))
    return Settled::Undecided;
  // A commit writes all its rows, so one that is still as expected tells that
  // it didn't happen; the broken expectation tells that it never will.
  const auto Untouched = [&](const Expectation &E) {
    return Unchanged(E) &&
           std::ranges::find(T.Put_, E.Key_, &Put::Key_) != T.Put_.end();
  };
  return std::ranges::any_of(T.Expect_, Untouched) ? Settled::NotCommitted
                                                   : Settled::Overwritten;
}

} // namespace heathercross
