// The platform's transactional table as the decisions see it.
#pragma once

#include "heathercross/ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace heathercross {

/// One row: a key, the version that its last write gave it, and a JSON text.
struct Row {
  std::string Key_;
  RowVersion Version_;
  /// The attempt that wrote this version. It tells a writer whose answer was
  /// lost whether its write took effect.
  AttemptId Writer_;
  std::string Value_;
  bool operator==(const Row &) const = default;
};

/// That a row is still at a version; version zero expects no such row.
struct Expectation {
  std::string Key_;
  RowVersion Version_;
  auto operator<=>(const Expectation &) const = default;
};

/// A new value for a row.
struct Put {
  std::string Key_;
  std::string Value_;
  auto operator<=>(const Put &) const = default;
};

/// Writes that take effect together, or not at all when any expectation fails.
struct Transaction {
  AttemptId Attempt_;
  std::vector<Expectation> Expect_;
  std::vector<Put> Put_;
  std::vector<std::string> Erase_;
  bool operator==(const Transaction &) const = default;
};

/// What the table answered to a transaction.
enum class CommitStatus : std::uint8_t {
  Committed,
  /// An expectation failed; nothing was written.
  Conflict,
  /// No answer: it may or may not have taken effect. Read back.
  Uncertain,
  /// The table refused before doing anything, for example while down.
  Refused,
};

/// The answer to a transaction.
struct CommitResult {
  CommitStatus Status_ = CommitStatus::Uncertain;
  /// The version that the written rows got, when committed.
  RowVersion Version_;
  /// The rows whose versions differ, when in conflict, with their versions.
  std::vector<Expectation> Conflicts_;
};

} // namespace heathercross
