// The current agreed view of an entry; its head never decreases.
#pragma once

#include "view/ticket.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::view {

/// Maximum number of rows accepted from a peer at once.
inline constexpr std::size_t MaxChangedRows = 10'000;

/// All rows of the view that tickets above Since_ and up to Head_ have written,
/// as stored by one entry.
struct ViewChanges {
  TicketNumber Since_;
  TicketNumber Head_;
  std::vector<Row> Rows_;
  bool operator==(const ViewChanges &) const = default;
};

/// Result of applying rows to a ViewStore.
enum class Applied : std::uint8_t {
  /// The store advanced to a newer head.
  Newer,
  /// The head is not newer than the store's.
  Unchanged,
  /// The rows don't form the complete view at that head. Read the head and the
  /// rows again, or request changes since an older head.
  Torn,
};

/// Stores the agreed view. It always contains the complete view at a single
/// head, which never decreases.
class ViewStore {
public:
  /// Applies rows of the table: Head, read before the rows, and all rows under
  /// "view/" written after cursor(). Throws FormatError and then leaves the
  /// store unchanged.
  Applied apply(const std::vector<Row> &Rows, TicketNumber Head);

  /// Applies the rows of a peer. Throws FormatError and then leaves the store
  /// unchanged.
  Applied merge(const ViewChanges &Changes);

  /// The changes for a peer whose view is at head Since.
  ViewChanges changesSince(TicketNumber Since) const;

  /// Whether the store has a view, possibly an empty one.
  bool hasView() const { return HasView_; }
  TicketNumber head() const { return View_.Head_; }
  const View &view() const { return View_; }
  /// The row version after which to scan the table.
  RowVersion cursor() const { return Cursor_; }
  /// The version of an object; zero if it doesn't exist.
  TicketNumber versionOf(const ObjectKey &Object) const;

  /// The agreed view for submit() and vote(), if the store is at the head in
  /// this row.
  std::optional<AgreedState>
  agreedState(const std::optional<Row> &HeadRow) const;

  /// The head, the objects and their versions as a JSON object.
  std::string dump() const;

private:
  struct Entry {
    ViewObject Value_;
    Row Row_;
  };
  using Entries = std::map<ObjectKey, Entry>;

  Applied applyRows(const std::vector<Row> &Rows, TicketNumber Head);

  Entries Entries_;
  View View_;
  RowVersion Cursor_;
  bool HasView_ = false;
};

} // namespace heathercross::view
