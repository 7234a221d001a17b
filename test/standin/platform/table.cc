// The stand-in's transactional table, held in memory.
#include "table.h"

#include <algorithm>

namespace heathercross::standin {
namespace {

std::string segmentOf(const std::string &Key) {
  return Key.substr(0, Key.find('/'));
}

} // namespace

std::vector<Expectation>
Table::conflicts(const std::vector<Expectation> &Expect) const {
  std::vector<Expectation> Found;
  for (const Expectation &E : Expect) {
    const auto At = Rows_.find(E.Key_);
    const RowVersion Actual =
        At == Rows_.end() ? RowVersion() : At->second.Version_;
    if (Actual != E.Version_)
      Found.push_back({E.Key_, Actual});
  }
  return Found;
}

void Table::forget(const std::string &Key) {
  const auto At = Rows_.find(Key);
  if (At == Rows_.end())
    return;
  Versions &Index = Segments_[segmentOf(Key)];
  const auto Slot = Index.find(At->second.Version_);
  std::erase(Slot->second, Key);
  if (Slot->second.empty())
    Index.erase(Slot);
  Rows_.erase(At);
}

CommitResult Table::commit(const Transaction &T) {
  auto Conflicts = conflicts(T.Expect_);
  if (!Conflicts.empty())
    return {CommitStatus::Conflict, {}, std::move(Conflicts)};
  Counter_ = Counter_.next();
  for (const std::string &Key : T.Erase_)
    forget(Key);
  for (const Put &P : T.Put_) {
    forget(P.Key_);
    Rows_[P.Key_] = {P.Key_, Counter_, T.Attempt_, P.Value_};
    Segments_[segmentOf(P.Key_)][Counter_].push_back(P.Key_);
  }
  return {CommitStatus::Committed, Counter_, {}};
}

std::optional<Row> Table::row(const std::string &Key) const {
  const auto At = Rows_.find(Key);
  return At == Rows_.end() ? std::nullopt : std::optional(At->second);
}

std::vector<Row> Table::rowsAfter(const std::string &Prefix,
                                  RowVersion After) const {
  const bool OneSegment = Prefix.find('/') != std::string::npos;
  std::vector<Row> Found;
  for (const auto &[Segment, Index] : Segments_) {
    if (OneSegment && Segment != segmentOf(Prefix))
      continue;
    for (auto At = Index.upper_bound(After); At != Index.end(); ++At)
      for (const std::string &Key : At->second)
        if (Key.starts_with(Prefix))
          Found.push_back(Rows_.at(Key));
  }
  std::ranges::stable_sort(Found, {}, &Row::Version_);
  return Found;
}

ScanPage Table::scan(const std::string &Prefix, RowVersion After,
                     std::size_t Limit) const {
  std::vector<Row> Found = rowsAfter(Prefix, After);
  if (Limit == 0 || Found.size() <= Limit)
    return {std::move(Found), Counter_, false};
  const RowVersion Last = Found[Limit - 1].Version_;
  const auto End = std::ranges::upper_bound(Found, Last, {}, &Row::Version_);
  const bool More = End != Found.end();
  Found.erase(End, Found.end());
  return {std::move(Found), More ? Last : Counter_, More};
}

} // namespace heathercross::standin
