// Applies rows of the table and of peers to the current agreed view.
#include "view/view-store.h"

#include <algorithm>

namespace heathercross::view {

Applied ViewStore::apply(const std::vector<Row> &Rows, TicketNumber Head) {
  return applyRows(Rows, Head);
}

Applied ViewStore::merge(const ViewChanges &Changes) {
  if (Changes.Rows_.size() > MaxChangedRows)
    raise(FormatError("rows", "too many"));
  if (Changes.Since_ > head())
    return Applied::Torn;
  return applyRows(Changes.Rows_, Changes.Head_);
}

Applied ViewStore::applyRows(const std::vector<Row> &Rows, TicketNumber Head) {
  if (HasView_ && Head <= head())
    return Applied::Unchanged;
  Entries Next = Entries_;
  RowVersion Cursor = Cursor_;
  for (const Row &R : Rows) {
    const ViewObject Object = decodeViewObject(R.Value_);
    if (Object.Ticket_ > Head)
      return Applied::Torn;
    Entry &Stored = Next[keyOf(Object.Object_)];
    if (Object.Ticket_ > Stored.Value_.Ticket_)
      Stored = {Object, R};
    Cursor = std::max(Cursor, R.Version_);
  }
  AgreedState State{Head, RowVersion(), {}};
  TicketNumber Highest;
  for (const auto &[Key, Stored] : Next) {
    Highest = std::max(Highest, Stored.Value_.Ticket_);
    State.Objects_[Key] = {Stored.Value_, Stored.Row_.Version_};
  }
  if (Highest != Head)
    return Applied::Torn;
  Entries_ = std::move(Next);
  View_ = viewOf(State);
  Cursor_ = Cursor;
  HasView_ = true;
  return Applied::Newer;
}

ViewChanges ViewStore::changesSince(TicketNumber Since) const {
  ViewChanges Changes{Since, head(), {}};
  for (const auto &[Key, Stored] : Entries_)
    if (Stored.Value_.Ticket_ > Since)
      Changes.Rows_.push_back(Stored.Row_);
  return Changes;
}

TicketNumber ViewStore::versionOf(const ObjectKey &Object) const {
  const auto I = Entries_.find(Object);
  return I == Entries_.end() ? TicketNumber() : I->second.Value_.Ticket_;
}

std::optional<AgreedState>
ViewStore::agreedState(const std::optional<Row> &HeadRow) const {
  AgreedState State;
  if (HeadRow) {
    State.Head_ = decodeHead(HeadRow->Value_);
    State.HeadVersion_ = HeadRow->Version_;
  }
  if (!HasView_ || State.Head_ != head())
    return std::nullopt;
  for (const auto &[Key, Stored] : Entries_)
    State.Objects_[Key] = {Stored.Value_, Stored.Row_.Version_};
  return State;
}

std::string ViewStore::dump() const {
  QJsonObject Versions;
  for (const auto &[Key, Stored] : Entries_)
    Versions[QString::fromStdString(Key.str())] =
        jsonValue(Stored.Value_.Ticket_.value());
  return jsonText({{"known", HasView_},
                   {"cursor", jsonValue(Cursor_.value())},
                   {"versions", Versions},
                   {"view", toJson(View_)}});
}

} // namespace heathercross::view
