// The row store of the platform stand-in, held in memory.
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

constexpr std::size_t MaxPageRows = 500;

} // namespace

StoredRow Rows::current(const RowPlace &Place) const {
  const auto It = Rows_.find(Place);
  if (It != Rows_.end() && !It->second.Removed_)
    return It->second;
  return {Place, "", RowVersion(), true};
}

void Rows::put(StoredRow R) {
  auto &Table = PlacesByVersion_[R.Place_.Table_];
  if (const auto Old = Rows_.find(R.Place_); Old != Rows_.end()) {
    const auto [First, Last] = Table.equal_range(Old->second.Version_);
    const auto It = std::find_if(
        First, Last, [&](const auto &E) { return E.second == R.Place_; });
    if (It != Last)
      Table.erase(It);
  }
  Table.emplace(R.Version_, R.Place_);
  Rows_[R.Place_] = std::move(R);
}

std::optional<std::vector<StoredRow>> Rows::apply(const StoreTransaction &T) {
  std::vector<StoredRow> CurrentRows;
  for (const RowCondition &C : T.Conditions_)
    CurrentRows.push_back(current(C.Place_));
  const auto Holds = [&](const RowCondition &C) {
    return current(C.Place_).Version_ == C.Version_;
  };
  if (!std::ranges::all_of(T.Conditions_, Holds))
    return CurrentRows;
  Version_ = Version_.next();
  for (const RowChange &C : T.Changes_)
    put({C.Place_, C.Value_.value_or(""), Version_, !C.Value_.has_value()});
  return std::nullopt;
}

RowPage Rows::read(const std::string &Table, const std::string &Partition,
                   const std::string &From, const std::string &To,
                   std::size_t Limit) const {
  const std::size_t MaxRows =
      Limit == 0 ? MaxPageRows : std::min(Limit, MaxPageRows);
  RowPage Page;
  for (auto It = Rows_.lower_bound({Table, Partition, From});
       It != Rows_.end() && It->first.Table_ == Table &&
       It->first.Partition_ == Partition;
       ++It) {
    if (!To.empty() && It->first.Key_ >= To)
      break;
    if (It->second.Removed_)
      continue;
    if (Page.Rows_.size() == MaxRows) {
      Page.More_ = true;
      break;
    }
    Page.Rows_.push_back(It->second);
  }
  return Page;
}

std::vector<StoredRow> Rows::changes(const std::string &Table,
                                     RowVersion After) const {
  std::vector<StoredRow> Found;
  const auto Changes = PlacesByVersion_.find(Table);
  if (Changes == PlacesByVersion_.end())
    return Found;
  for (auto It = Changes->second.upper_bound(After);
       It != Changes->second.end(); ++It)
    Found.push_back(Rows_.at(It->second));
  return Found;
}

} // namespace heathercross::standin
