// Rows and conditional transactions of the platform's table.
#pragma once

#include "heathercross/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace heathercross {

/// A table row: a key, the version set by its last write, and a JSON value.
struct Row {
  std::string Key_;
  RowVersion Version_;
  /// The attempt that wrote this version. A writer that got no response to its
  /// commit reads it back to find out whether the write took effect.
  AttemptId Writer_;
  std::string Value_;
  bool operator==(const Row &) const = default;
};

/// A precondition: the row is at this version; zero means that it must not
/// exist.
struct Expectation {
  std::string Key_;
  RowVersion Version_;
  auto operator<=>(const Expectation &) const = default;
};

/// Sets the value of a row.
struct Put {
  std::string Key_;
  std::string Value_;
  auto operator<=>(const Put &) const = default;
};

/// An atomic set of writes, applied only if every expectation holds.
struct Transaction {
  AttemptId Attempt_;
  std::vector<Expectation> Expect_;
  std::vector<Put> Put_;
  std::vector<std::string> Erase_;
  bool operator==(const Transaction &) const = default;
};

/// Result of committing a transaction.
enum class CommitStatus : std::uint8_t {
  Committed,
  /// An expectation failed; nothing was written.
  Conflict,
  /// No response: the transaction may or may not have taken effect. Read the
  /// rows back to find out.
  Uncertain,
  /// The table refused without writing anything, for example during an outage.
  Refused,
};

/// The response to a transaction.
struct CommitResult {
  CommitStatus Status_ = CommitStatus::Uncertain;
  /// When committed: the new version of the written rows.
  RowVersion Version_;
  /// On a conflict: the rows whose versions differ, with their actual versions.
  std::vector<Expectation> Conflicts_;
};

} // namespace heathercross
