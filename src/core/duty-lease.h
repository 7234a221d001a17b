// The lease that assigns a control duty to one entry instance at a time.
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

/// Contents of the row "lease/DUTY".
struct LeaseRow {
  EntryId Holder_;
  Epoch Epoch_;
  /// Incremented by each write of the row; a change tells watchers that the
  /// holder is alive.
  std::uint64_t Heartbeat_ = 0;
  bool operator==(const LeaseRow &) const = default;
};

/// Encodes the value of a lease row.
std::string encodeLease(const LeaseRow &Lease);
/// Decodes the value of a lease row. Throws FormatError.
LeaseRow decodeLease(std::string_view Text);

struct DutyLeaseSettings {
  /// How long the row must stay unchanged before a watcher acquires the lease.
  Micros Duration_ = Seconds(6);
  /// Interval of the holder's renewals and of the watchers' reads.
  Micros Interval_ = Seconds(2);
  /// The holder considers its lease expired this long before Duration_ has
  /// passed since it sent its last confirmed renewal.
  Micros Margin_ = Seconds(1);
};

/// guard() was called while this entry doesn't hold the duty.
class DutyNotHeld : public Error {
public:
  explicit DutyNotHeld(const std::string &Key)
      : Error("this entry doesn't hold " + Key) {}
  const char *code() const noexcept override { return "duty-not-held"; }
};

/// Commit this conditional transaction on the lease row.
struct WriteLease {
  Transaction Write_;
};
/// Read the lease row.
struct ReadLease {
  std::string Key_;
};
/// This entry now holds the duty under this epoch.
struct DutyBegan {
  Epoch Epoch_;
};
/// This entry no longer holds the duty and must start no more work for it.
struct DutyEnded {};

using LeaseEffect = std::variant<WriteLease, ReadLease, DutyBegan, DutyEnded>;
using LeaseEffects = std::vector<LeaseEffect>;

/// State machine of one entry for the lease of one duty. It gets the table's
/// responses with their time and returns the reads and writes to do next.
///
/// A watcher measures the lease with its own clock: when it has seen the row
/// unchanged for Duration_, it acquires the lease with the next epoch by a
/// conditional write. The holder's lease expires earlier, by Margin_. Clocks
/// can't exclude two holders at once; every write of the duty therefore
/// includes guard(), which makes a write under an older epoch fail at the
/// table.
class DutyLease {
public:
  /// Incarnation distinguishes this run of the entry from earlier ones, which
  /// makes the attempt ids unique.
  DutyLease(std::string_view Duty, EntryId Self, std::uint64_t Incarnation,
            DutyLeaseSettings Settings = {});

  /// Renews or reads when due. Call it at least every few hundred milliseconds.
  LeaseEffects tick(Instant Now);
  /// The row was read; nullopt means that it doesn't exist.
  LeaseEffects onRead(Instant Now, const std::optional<Row> &Current);
  /// The read failed or timed out.
  LeaseEffects onReadFailed(Instant Now);
  /// The result of a WriteLease.
  LeaseEffects onWritten(Instant Now, const AttemptId &Attempt,
                         const CommitResult &Result);
  /// Releases the lease, so that another entry can acquire it without waiting
  /// for Duration_. The returned write is the last one and its result is
  /// ignored; all later calls have no effect.
  LeaseEffects release();

  /// Whether this entry holds the duty and may start work for it.
  bool held(Instant Now) const;
  /// The epoch of the held lease; zero when it isn't held.
  Epoch epoch(Instant Now) const;
  /// The expectation that every write of the duty must include, so that it
  /// fails once another entry holds the lease. A renewal changes it too: call
  /// guard() again for each write and replan after a conflict. Throws
  /// DutyNotHeld.
  Expectation guard(Instant Now) const;

  const std::string &key() const { return Key_; }
  const EntryId &self() const { return Self_; }
  /// The row as last read or written.
  const LeaseRow &lastRow() const { return LastRow_; }

private:
  /// A write whose result is not known yet.
  struct Pending {
    LeaseRow Row_;
    Transaction Write_;
    /// When it was first sent; the lease duration counts from here.
    Instant FirstSentAt_;
  };

  Micros lifetime() const { return Settings_.Duration_ - Settings_.Margin_; }
  void recordRow(Instant Now, const Row &Current);
  bool mayAcquire(Instant Now) const;
  /// Acquires the lease if it is free or has expired.
  LeaseEffects acquireIfFree(Instant Now);
  /// Drops a pending write, and the lease, when the row read last rules them
  /// out. A pending write that can still succeed is kept and sent again as the
  /// same attempt, so that at most one transmission takes effect.
  LeaseEffects dropIfOverwritten();
  LeaseEffects read(Instant Now);
  LeaseEffects write(Instant Now, LeaseRow Next);
  LeaseEffects confirm(Instant Now, RowVersion Version);
  LeaseEffects expire(Instant Now);

  std::string Key_;
  EntryId Self_;
  std::uint64_t Incarnation_;
  DutyLeaseSettings Settings_;

  /// The row as last read or written, its version (zero if it doesn't exist),
  /// and when this entry first got that version.
  LeaseRow LastRow_;
  RowVersion Version_;
  Instant UnchangedSince_;

  std::optional<Instant> LastRequestAt_;
  std::optional<Pending> Pending_;
  std::uint64_t AttemptCount_ = 0;

  bool Holding_ = false;
  bool Released_ = false;
  Epoch HeldEpoch_;
  Instant RenewedAt_;
};

} // namespace heathercross
