// An in-memory model of the platform's table for tests, with conditional
// transactions.
#pragma once

#include "heathercross/table.h"

#include <algorithm>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace heathercross::test {

class ModelTable {
public:
  CommitResult commit(const Transaction &T) {
    CommitResult Result;
    for (const Expectation &E : T.Expect_)
      if (version(E.Key_) != E.Version_)
        Result.Conflicts_.push_back({E.Key_, version(E.Key_)});
    if (!Result.Conflicts_.empty()) {
      Result.Status_ = CommitStatus::Conflict;
      return Result;
    }
    ++Commits_;
    Result = {CommitStatus::Committed, RowVersion(Commits_), {}};
    for (const Put &P : T.Put_)
      Rows_[P.Key_] = {P.Key_, Result.Version_, T.Attempt_, P.Value_};
    for (const std::string &Key : T.Erase_)
      Rows_.erase(Key);
    return Result;
  }

  std::optional<Row> read(const std::string &Key) const {
    const auto I = Rows_.find(Key);
    return I == Rows_.end() ? std::nullopt : std::optional(I->second);
  }

  /// The rows with a key prefix that were written after a version, sorted by
  /// version.
  std::vector<Row> scan(std::string_view Prefix,
                        RowVersion After = RowVersion()) const {
    std::vector<Row> Found;
    for (const auto &[Key, R] : Rows_)
      if (Key.starts_with(Prefix) && R.Version_ > After)
        Found.push_back(R);
    std::ranges::stable_sort(Found, {}, &Row::Version_);
    return Found;
  }

private:
  RowVersion version(const std::string &Key) const {
    const auto Found = read(Key);
    return Found ? Found->Version_ : RowVersion();
  }

  std::map<std::string, Row> Rows_;
  std::uint64_t Commits_ = 0;
};

} // namespace heathercross::test
