// The order in which a pool's holder makes its changes durable.
#pragma once

#include "heathercross/error.h"
#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// What a row of a pool holds.
enum class RowKind : std::uint8_t {
  /// A job as submitted; written once.
  Job,
  /// Which tasks of a job are done, and its state.
  Progress,
  /// The workers on which something may run.
  Roster,
  /// Which machines of a wave had their upkeep.
  Wave,
};

struct RowWrite {
  RowKind Kind_ = RowKind::Job;
  std::string Key_;
  /// Nothing removes the row.
  std::optional<std::string> Value_;
};

/// Who holds a pool's duty. The row is written with each batch, so it also
/// shows that the holder lives, and which batch was applied last.
struct HolderRow {
  /// Empty when the duty was given back.
  EntryId Holder_;
  /// "IP:PORT" for calls from other entries.
  std::string Address_;
  Epoch Epoch_;
  /// Counts the batches of this epoch.
  std::uint64_t Serial_ = 0;
  bool operator==(const HolderRow &) const = default;
};

/// One transaction. It applies only while the holder row has the version.
struct Batch {
  RowVersion Guard_;
  HolderRow Holder_;
  std::vector<RowWrite> Writes_;
};

/// Collects changes into one transaction at a time (group commit). The batch
/// after an uncertain one is the same batch again: the guard lets it apply at
/// most once, and the serial in the holder row tells whether it has.
class PoolJournal {
public:
  using Ticket = std::uint64_t;

  /// Guard is the version of the holder row that Self wrote.
  PoolJournal(HolderRow Self, RowVersion Guard, Instant Now);

  /// Adds a change; urgent ones go with the next batch at once.
  Ticket put(RowWrite W, bool Urgent, Instant Now);
  /// Takes a change back that was never part of a batch that may have been
  /// applied; false when it is too late for that.
  bool withdraw(Ticket T);

  /// The batch to send now, if one is due.
  std::optional<Batch> next(Instant Now);
  /// When next() may have something, at the latest.
  Instant dueAt(Instant Now) const;

  void committed(RowVersion Guard, Instant SentAt);
  /// The store said that it did nothing.
  void refused(Instant Now);
  /// No answer, or one that doesn't tell.
  void unknown(Instant Now);
  /// The guard didn't match; Current is the row that stands there. Either the
  /// batch had been applied before, or an earlier batch of this holder stands
  /// there and the batch is tried again on top of it, or the duty is lost.
  void conflict(const std::optional<HolderRow> &Current, RowVersion Version,
                Instant SentAt);

  /// Every change up to this ticket is durable.
  Ticket durable() const { return Durable_; }
  Ticket last() const { return Last_; }
  bool lost() const { return Lost_; }
  bool inFlight() const { return InFlight_; }
  /// The batch in flight may have been applied already.
  bool uncertain() const { return Uncertain_; }
  /// Since when attempts fail.
  std::optional<Instant> failingSince() const { return FailingSince_; }
  /// When the last batch that was applied had been sent.
  Instant renewedAt() const { return RenewedAt_; }
  std::size_t waiting() const { return Waiting_.size(); }
  const HolderRow &self() const { return Self_; }
  RowVersion guard() const { return Guard_; }

private:
  struct Change {
    Ticket Ticket_ = 0;
    RowWrite Write_;
    bool Urgent_ = false;
    Instant Since_;
  };

  void applied(RowVersion Guard, Instant SentAt);
  void failed(Instant Now);

  HolderRow Self_;
  RowVersion Guard_;
  std::deque<Change> Waiting_;
  /// The batch that is being tried, with the last ticket in it.
  std::optional<Batch> Current_;
  Ticket CurrentLast_ = 0;
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
