// Group commit: batches conditional claim writes into few transactions.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/table.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace heathercross::request {

/// A conditional write that waits for a transaction.
struct ClaimWrite {
  RequestId Request_;
  Expectation Expect_;
  std::string Value_;
};

/// Result of one write.
struct ClaimWriteResult {
  RequestId Request_;
  CommitStatus Status_;
  RowVersion Version_;
};

/// Batches writes into transactions. When one write's expectation conflicts,
/// only that write fails; the others of its transaction are queued again. Two
/// writes to the same key never share a transaction.
class ClaimBatch {
public:
  static constexpr std::size_t MaxWrites = 64;
  static constexpr std::size_t MaxInFlight = 4;

  void add(ClaimWrite Write);
  /// Returns the next transaction to commit; nothing when no write waits or
  /// MaxInFlight transactions are in flight.
  std::optional<Transaction> next(const AttemptId &Attempt);
  /// Handles the result of a transaction and returns the writes that ended.
  std::vector<ClaimWriteResult> commitEnded(const AttemptId &Attempt,
                                            const CommitResult &Result);
  std::size_t waiting() const { return Waiting_.size(); }

private:
  std::deque<ClaimWrite> Waiting_;
  std::map<AttemptId, std::vector<ClaimWrite>> InFlight_;
};

} // namespace heathercross::request
