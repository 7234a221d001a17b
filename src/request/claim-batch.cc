// Group commit: batches conditional claim writes into few transactions.
#include "request/claim-batch.h"

#include <algorithm>
#include <ranges>

namespace heathercross::request {

void ClaimBatch::add(ClaimWrite Write) { Waiting_.push_back(std::move(Write)); }

std::optional<Transaction> ClaimBatch::next(const AttemptId &Attempt) {
  if (Waiting_.empty() || InFlight_.size() >= MaxInFlight)
    return std::nullopt;
  Transaction T;
  T.Attempt_ = Attempt;
  std::set<std::string> Keys;
  std::deque<ClaimWrite> Deferred;
  std::vector<ClaimWrite> &Batch = InFlight_[Attempt];
  for (ClaimWrite &W : Waiting_) {
    const bool Full = Batch.size() >= MaxWrites;
    if (Full || !Keys.insert(W.Expect_.Key_).second) {
      Deferred.push_back(std::move(W));
      continue;
    }
    T.Expect_.push_back(W.Expect_);
    T.Put_.push_back({W.Expect_.Key_, W.Value_});
    Batch.push_back(std::move(W));
  }
  Waiting_ = std::move(Deferred);
  return T;
}

std::vector<ClaimWriteResult>
ClaimBatch::commitEnded(const AttemptId &Attempt, const CommitResult &Result) {
  auto Node = InFlight_.extract(Attempt);
  std::vector<ClaimWriteResult> Ended;
  if (Node.empty())
    return Ended;
  for (ClaimWrite &W : Node.mapped()) {
    const bool Conflicted =
        std::ranges::any_of(Result.Conflicts_, [&](const Expectation &E) {
          return E.Key_ == W.Expect_.Key_;
        });
    const bool Retry = Result.Status_ == CommitStatus::Conflict &&
                       !Conflicted && !Result.Conflicts_.empty();
    if (Retry)
      Waiting_.push_back(std::move(W));
    else
      Ended.push_back({W.Request_, Result.Status_, Result.Version_});
  }
  return Ended;
}

} // namespace heathercross::request
