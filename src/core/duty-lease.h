// The lease under which one entry at a time does a control duty.
#pragma once

#include "heathercross/error.h"
#include "heathercross/ids.h"
#include "heathercross/table.h"
#include "heathercross/units.h"

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathercross {

/// What the row "lease/DUTY" holds.
struct LeaseRow {
  EntryId Holder_;
  Epoch Epoch_;
  /// Goes up with each renewal; a watcher sees by it that the holder lives.
  std::uint64_t Beat_ = 0;
  bool operator==(const LeaseRow &) const = default;
};

/// The value of a lease's row.
std::string encodeLease(const LeaseRow &Lease);
/// Reads the value of a lease's row. Throws FormatError.
LeaseRow decodeLease(std::string_view Text);

struct DutyLeaseSettings {
  /// How long a watcher must see an unchanged beat before it takes the lease.
  Micros Length_ = Seconds(6);
  /// How often the holder renews and a watcher reads.
  Micros Interval_ = Seconds(2);
  /// How much earlier than Length_ after its last confirmed renewal began the
  /// holder stops by itself.
  Micros Margin_ = Seconds(1);
};

/// A guard was asked for a duty that this entry doesn't hold.
class DutyNotHeld : public Error {
public:
  explicit DutyNotHeld(const std::string &Key)
      : Error("this entry doesn't hold " + Key) {}
  const char *code() const noexcept override { return "duty-not-held"; }
};

/// The write that the lease needs: a conditional transaction on its row.
struct WriteLease {
  Transaction Write_;
};
/// Read the lease's row.
struct ReadLease {
  std::string Key_;
};
/// From now on this entry may do the duty, under this epoch.
struct DutyBegan {
  Epoch Epoch_;
};
/// From now on this entry may not begin anything for the duty.
struct DutyEnded {};

using LeaseEffect = std::variant<WriteLease, ReadLease, DutyBegan, DutyEnded>;
using LeaseEffects = std::vector<LeaseEffect>;

/// One entry's part in the lease of one duty: a state machine that gets the
/// answers of the table with their time and says what to read and write.
///
/// A lease is judged on the watcher's own time line: when the row hasn't
/// changed for the lease's length as this watcher saw it, the watcher takes it
/// with the next epoch by a conditional write. The holder gives up by itself
/// before that. Neither makes the duty safe: safety comes from guard(), which
/// each write of the duty must carry, so that a write under an older epoch
/// fails at the table.
class DutyLease {
public:
  /// Incarnation tells this run of the entry from earlier ones; it makes the
  /// attempt ids unique.
  DutyLease(std::string_view Duty, EntryId Self, std::uint64_t Incarnation,
            DutyLeaseSettings Settings = {});

  /// To be called at least every few hundred milliseconds.
  LeaseEffects tick(Instant Now);
  /// The row as it was read; nothing when there is none.
  LeaseEffects onRead(Instant Now, const std::optional<Row> &Found);
  /// The table didn't answer the read.
  LeaseEffects onReadFailed(Instant Now);
  /// How a WriteLease ended.
  LeaseEffects onWritten(Instant Now, const AttemptId &Attempt,
                         const CommitResult &Result);
  /// Gives the lease up, so that another entry needn't wait for its length.
  /// The effect is a last write whose answer isn't awaited; afterwards this
  /// object does nothing any more.
  LeaseEffects release();

  /// Whether this entry may begin something for the duty now.
  bool held(Instant Now) const;
  /// The epoch under which it is held; zero when it isn't.
  Epoch epoch(Instant Now) const;
  /// The expectation that each write of the duty must carry, so that it fails
  /// once anyone else holds the lease. A renewal changes it too: take it
  /// afresh for each write, and plan again after a conflict. Throws
  /// DutyNotHeld.
  Expectation guard(Instant Now) const;

  const std::string &key() const { return Key_; }
  const EntryId &self() const { return Self_; }
  /// The row as it was last seen.
  const LeaseRow &seen() const { return Seen_; }

private:
  /// A write that may or may not have taken effect yet.
  struct Pending {
    LeaseRow Row_;
    Transaction Write_;
    /// When it was first sent. The lease counts from here.
    Instant Since_;
  };

  Micros lifetime() const { return Settings_.Length_ - Settings_.Margin_; }
  void see(Instant Now, const Row &Found);
  bool mayTake(Instant Now) const;
  /// Takes the lease if it may be taken.
  LeaseEffects afterRead(Instant Now);
  /// Forgets what the row, as it was just seen, has made impossible. A pending
  /// write that is still possible is sent again as the same attempt: at most
  /// one of the two takes effect.
  LeaseEffects dropIfOvertaken();
  LeaseEffects read(Instant Now);
  LeaseEffects write(Instant Now, LeaseRow Next);
  LeaseEffects confirm(Instant Now, RowVersion Version);
  LeaseEffects expire(Instant Now);

  std::string Key_;
  EntryId Self_;
  std::uint64_t Incarnation_;
  DutyLeaseSettings Settings_;

  /// The row as it was last seen, its version (zero for no row), and when that
  /// version was first seen here.
  LeaseRow Seen_;
  RowVersion Version_;
  Instant SeenSince_;

  std::optional<Instant> AskedAt_;
  std::optional<Pending> Pending_;
  std::uint64_t Attempts_ = 0;

  bool Holding_ = false;
  bool Released_ = false;
  Epoch HeldEpoch_;
  Instant HeldSince_;
};

} // namespace heathercross
