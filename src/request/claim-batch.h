// Group commit of claims: many conditional writes in few transactions.
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

/// One conditional write that waits for a transaction.
struct ClaimWrite {
  RequestId Request_;
  Expectation Expect_;
  std::string Value_;
};

/// How one write ended.
struct ClaimWriteEnd {
  RequestId Request_;
  CommitStatus Status_;
  RowVersion Version_;
};

/// Collects writes into transactions. A write that fails its own expectation
/// doesn't take the others of its transaction with it: they go again in the
/// next one. Two writes to one key never share a transaction.
class ClaimBatch {
public:
  static constexpr std::size_t MaxWrites = 64;
  static constexpr std::size_t MaxInFlight = 4;

  void add(ClaimWrite Write);
  /// The next transaction to commit, if one is due.
  std::optional<Transaction> next(const AttemptId &Attempt);
  /// Takes the answer to a transaction; gives the writes that ended.
  std::vector<ClaimWriteEnd> ended(const AttemptId &Attempt,
                                   const CommitResult &Result);
  std::size_t waiting() const { return Waiting_.size(); }

private:
  std::deque<ClaimWrite> Waiting_;
  std::map<AttemptId, std::vector<ClaimWrite>> InFlight_;
};

} // namespace heathercross::request
