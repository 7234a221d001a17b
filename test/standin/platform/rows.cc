// The stand-in's store of rows, held in memory.
#include "rows.h"

#include <algorithm>
#include <iterator>

namespace heathercross::standin {

using platform_api::RowChange;
using platform_api::RowCondition;
using platform_api::RowPlace;
using platform_api::StoredRow;
using platform_api::StoreTransaction;

namespace {

constexpr std::size_t MaxPage = 500;

} // namespace

StoredRow Rows::current(const RowPlace &Place) const {
  const auto At = Rows_.find(Place);
  if (At != Rows_.end() && !At->second.Removed_)
    return At->second;
  return {Place, "", RowVersion(), true};
}

void Rows::put(StoredRow R) {
  auto &Table = History_[R.Place_.Table_];
  if (const auto Old = Rows_.find(R.Place_); Old != Rows_.end()) {
    const auto [First, Last] = Table.equal_range(Old->second.Version_);
    const auto At = std::find_if(
        First, Last, [&](const auto &E) { return E.second == R.Place_; });
    if (At != Last)
      Table.erase(At);
  }
  Table.emplace(R.Version_, R.Place_);
  Rows_[R.Place_] = std::move(R);
}

std::optional<std::vector<StoredRow>> Rows::apply(const StoreTransaction &T) {
  std::vector<StoredRow> Expected;
  for (const RowCondition &C : T.Conditions_)
    Expected.push_back(current(C.Place_));
  const auto Holds = [&](const RowCondition &C) {
    return current(C.Place_).Version_ == C.Version_;
  };
  if (!std::ranges::all_of(T.Conditions_, Holds))
    return Expected;
  Version_ = Version_.next();
  for (const RowChange &C : T.Changes_)
    put({C.Place_, C.Value_.value_or(""), Version_, !C.Value_.has_value()});
  return std::nullopt;
}

RowPage Rows::read(const std::string &Table, const std::string &Partition,
                   const std::string &From, const std::string &To,
                   std::size_t Limit) const {
  const std::size_t Most = Limit == 0 ? MaxPage : std::min(Limit, MaxPage);
  RowPage Page;
  for (auto At = Rows_.lower_bound({Table, Partition, From});
       At != Rows_.end() && At->first.Table_ == Table &&
       At->first.Partition_ == Partition;
       ++At) {
    if (!To.empty() && At->first.Key_ >= To)
      break;
    if (At->second.Removed_)
      continue;
    if (Page.Rows_.size() == Most) {
      Page.More_ = true;
      break;
    }
    Page.Rows_.push_back(At->second);
  }
  return Page;
}

std::vector<StoredRow> Rows::changes(const std::string &Table,
                                     RowVersion After) const {
  std::vector<StoredRow> Found;
  const auto Changes = History_.find(Table);
  if (Changes == History_.end())
    return Found;
  for (auto At = Changes->second.upper_bound(After);
       At != Changes->second.end(); ++At)
    Found.push_back(Rows_.at(At->second));
  return Found;
}

} // namespace heathercross::standin
