// Group commit for the changes of a pool's holder.
#pragma once

#include "heathercross/error.h"
#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::schedule {

/// The kinds of rows that a pool stores.
enum class RowKind : std::uint8_t {
  /// A job as submitted; never modified.
  Job,
  /// The state of a job and which of its tasks are done.
  Progress,
  /// What a pool stores once: the workers on which tasks may run, and the
  /// settings of the queues that have jobs.
  Roster,
  /// The machines of a maintenance wave whose upkeep has begun.
  Wave,
};

struct RowWrite {
  RowKind Kind_ = RowKind::Job;
  /// Contains no slash, except in a batch.
  std::string Key_;
  /// The new value, at most MaxValueBytes long; without one the row is deleted.
  std::optional<std::string> Value_;
};

/// The holder of a pool's duty. The row is written with each batch, so it also
/// renews the duty and tells which batch was applied last.
struct HolderRow {
  /// Empty if the duty was released.
  EntryId Holder_;
  /// "IP:PORT" for calls from other entries.
  std::string Address_;
  Epoch Epoch_;
  /// Number of the last batch of this epoch.
  std::uint64_t Serial_ = 0;
  bool operator==(const HolderRow &) const = default;
};

/// A renewal time that is older than every limit, whatever the clock shows.
inline constexpr Instant NeverRenewed{-Seconds(3600)};

/// A holder whose row wasn't renewed for this long grants no leases and starts
/// nothing, since another entry may have taken the duty. Together with the run
/// lease it bridges a store outage of 10 s.
inline constexpr Millis MaxRenewalAge{4000};

/// A duty that this entry holds by a holder row that it wrote.
struct HeldDuty {
  HolderRow Self_;
  /// The version of that row.
  RowVersion Guard_;
  /// When the write of the row was sent; NeverRenewed if that isn't known. The
  /// holder acts for a limited time from then on.
  Instant RenewedAt_ = NeverRenewed;
  /// The latest time at which a former holder may have granted a lease; absent
  /// if that isn't known.
  std::optional<Instant> FormerActsUntil_ = std::nullopt;

  /// When every lease has ended that a former holder granted without delay, if
  /// workers grant none that lasts longer than Longest. A worker may have
  /// started again, and have granted more than that holder asked for.
  Instant formerLeasesEnd(Instant Now, Millis Longest) const {
    return FormerActsUntil_.value_or(Now + MaxRenewalAge) + Longest;
  }
};

/// One transaction, conditional on the version of the holder row.
struct Batch {
  RowVersion Guard_;
  HolderRow Holder_;
  /// The rows to write. A long value takes several.
  std::vector<RowWrite> Writes_;
};

/// Collects changes into one transaction at a time. A batch with an unknown
/// outcome is sent again unchanged: its precondition lets it apply at most
/// once, and the serial in the holder row tells whether it has been applied.
class PoolJournal {
public:
  using Ticket = std::uint64_t;

  /// The version of the holder row is the precondition of the first batch.
  explicit PoolJournal(HeldDuty Duty);

  /// Records how many rows a stored value takes, unless it is one.
  void restoreParts(RowKind Kind, const std::string &Key, std::size_t Parts);

  /// Adds a change. An urgent change makes the next batch due at once.
  Ticket put(RowWrite W, bool Urgent, Instant Now);
  /// Removes a change that has not been part of any batch; returns false if it
  /// is too late.
  bool withdraw(Ticket T);

  /// Returns the batch to send now, if one is due.
  std::optional<Batch> next(Instant Now);
  /// When the next batch is due, if no further change is added.
  Instant dueAt(Instant Now) const;

  void committed(RowVersion Guard, Instant SentAt);
  /// The store reported that it did not apply the batch.
  void refused(Instant Now);
  /// There was no answer, or one that leaves the outcome open.
  void outcomeUnknown(Instant Now);
  /// The precondition failed; Current is the stored row. If it shows the batch
  /// in flight, that batch is already applied. If it shows an earlier batch of
  /// this holder, the batch in flight is sent again with the new version.
  /// Otherwise the duty is lost.
  void conflict(const std::optional<HolderRow> &Current, RowVersion Version,
                Instant SentAt);

  /// Every change up to this ticket is durable.
  Ticket durable() const { return Durable_; }
  Ticket last() const { return Last_; }
  bool lost() const { return Lost_; }
  bool inFlight() const { return InFlight_; }
  /// Whether a batch has been sent and isn't known to be stored.
  bool hasUnsettledBatch() const { return Current_.has_value(); }
  /// The batch in flight may already be applied.
  bool uncertain() const { return Uncertain_; }
  /// When the current run of failed attempts began.
  std::optional<Instant> failingSince() const { return FailingSince_; }
  /// When the last applied batch was sent.
  Instant renewedAt() const { return RenewedAt_; }
  std::size_t waiting() const { return Waiting_.size(); }
  const HolderRow &self() const { return Self_; }
  RowVersion guard() const { return Guard_; }

private:
  struct Change {
    Ticket Ticket_ = 0;
    RowWrite Write_;
    bool Urgent_ = false;
    Instant AddedAt_;
  };

  using RowId = std::pair<RowKind, std::string>;

  /// Number of rows that a change writes or deletes.
  std::size_t rowCount(const RowWrite &W) const;
  /// Appends the rows of a change, or replaces them if an earlier change of the
  /// same batch wrote them. Positions are those of the batch's rows.
  void addRows(const RowWrite &W, Batch &B,
               std::map<RowId, std::size_t> &Positions);
  void applied(RowVersion Guard, Instant SentAt);
  void failed(Instant Now);

  HolderRow Self_;
  RowVersion Guard_;
  std::deque<Change> Waiting_;
  /// The number of rows of each value that takes several, as of the last batch.
  std::map<RowId, std::size_t> LongValues_;
  /// The batch in flight or to be sent again, and the last ticket in it.
  std::optional<Batch> Current_;
  Ticket CurrentLastTicket_ = 0;
  /// When that batch was first sent.
  Instant CurrentSentAt_;
  bool InFlight_ = false;
  bool Uncertain_ = false;
  Ticket Last_ = 0;
  Ticket Durable_ = 0;
  bool Lost_ = false;
  Instant RenewedAt_;
  Instant NotBefore_;
  Millis Backoff_{0};
  std::optional<Instant> FailingSince_;
};

} // namespace heathercross::schedule
