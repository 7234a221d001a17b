// The view in force at one entry, which only goes up.
#pragma once

#include "view/ticket.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::view {

/// The most rows that are taken from a peer at once.
inline constexpr std::size_t MaxChangedRows = 10'000;

/// All rows of the view that were written by tickets above Since_ and up to
/// Head_, as one entry holds them.
struct ViewChanges {
  TicketNumber Since_;
  TicketNumber Head_;
  std::vector<Row> Rows_;
  bool operator==(const ViewChanges &) const = default;
};

enum class Applied : std::uint8_t {
  /// A newer head is in force now.
  Newer,
  /// Nothing new.
  Unchanged,
  /// The rows don't make up the whole of that head: read head and rows again,
  /// or ask for more.
  Torn,
};

/// Holds the agreed view. What it shows is always the whole state at one head,
/// and that head never goes down.
class ViewStore {
public:
  /// Takes what the table holds: Head as it was read before the rows, and all
  /// rows under "view/" that were written after cursor(). Throws FormatError,
  /// and then nothing has changed.
  Applied apply(const std::vector<Row> &Rows, TicketNumber Head);

  /// Takes what a peer holds. Throws FormatError, and then nothing has
  /// changed.
  Applied merge(const ViewChanges &Changes);

  /// What a peer needs that has the whole state at Since.
  ViewChanges changesSince(TicketNumber Since) const;

  /// Whether any view, even an empty one, was obtained.
  bool known() const { return Known_; }
  TicketNumber head() const { return View_.Head_; }
  const View &view() const { return View_; }
  /// The version after which the table is to be scanned.
  RowVersion cursor() const { return Cursor_; }
  /// The version of an object; zero when it doesn't exist.
  TicketNumber versionOf(const ObjectKey &Object) const;

  /// The agreed state for submit and vote, if this store holds the head that
  /// the row says.
  std::optional<Agreed> agreed(const std::optional<Row> &HeadRow) const;

  /// The head, the objects and their versions as one JSON text.
  std::string dump() const;

private:
  struct Entry {
    ViewObject Value_;
    Row Row_;
  };
  using Entries = std::map<ObjectKey, Entry>;

  Applied take(const std::vector<Row> &Rows, TicketNumber Head);

  Entries Entries_;
  View View_;
  RowVersion Cursor_;
  bool Known_ = false;
};

} // namespace heathercross::view
