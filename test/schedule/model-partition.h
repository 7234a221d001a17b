// A model of one partition of the store, as a journal writes it.
#pragma once

#include "schedule/long-value.h"
#include "schedule/pool-journal.h"

#include <map>
#include <string>

namespace heathercross::schedule::test {

/// The holder row and the written rows.
struct ModelPartition {
  HolderRow Holder_;
  RowVersion Version_{10};
  std::map<RowKind, std::map<std::string, std::string>> Rows_ = {};

  /// Carries out a batch if its condition holds.
  bool apply(const Batch &B) {
    if (B.Guard_ != Version_)
      return false;
    Version_ = Version_.next();
    Holder_ = B.Holder_;
    for (const RowWrite &W : B.Writes_)
      if (W.Value_)
        Rows_[W.Kind_][W.Key_] = *W.Value_;
      else
        Rows_[W.Kind_].erase(W.Key_);
    return true;
  }

  /// Gives the duty to another holder, so that earlier batches don't apply any
  /// more.
  HeldDuty claim(Instant Now) {
    Version_ = Version_.next();
    Holder_.Epoch_ = Holder_.Epoch_.next();
    Holder_.Serial_ = 0;
    return {Holder_, Version_, Now};
  }

  std::size_t rowCount(RowKind Kind) const {
    const auto It = Rows_.find(Kind);
    return It == Rows_.end() ? 0 : It->second.size();
  }

  JoinedValues values(RowKind Kind) const {
    const auto It = Rows_.find(Kind);
    return It == Rows_.end() ? JoinedValues() : joinValues(It->second);
  }

  /// The stored value; empty if there is none.
  std::string value(RowKind Kind, const std::string &Key) const {
    const JoinedValues Joined = values(Kind);
    const auto It = Joined.Values_.find(Key);
    return It == Joined.Values_.end() ? std::string() : It->second.Value_;
  }
};

} // namespace heathercross::schedule::test
