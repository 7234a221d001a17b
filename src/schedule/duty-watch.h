// Who holds the duty of each pool, and when an entry should take one.
#pragma once

#include "schedule/pool-journal.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace heathercross::schedule {

/// A holder row as it stands in the store.
struct KnownHolder {
  HolderRow Row_;
  RowVersion Version_;
};

/// Why a duty may be taken.
enum class ClaimCause : std::uint8_t {
  /// Nobody had it yet, or its holder gave it back.
  Vacant,
  /// This very machine held it before it started again.
  OwnRestart,
  /// Nobody is at the holder's address.
  Unreachable,
  /// The holder's row stands still.
  Silent,
};

/// The name of a cause in logs.
const char *causeName(ClaimCause C);

/// A wish to take a duty: write a holder row of this epoch if the row still
/// has this version.
struct Claim {
  PoolId Pool_;
  RowVersion Version_;
  Epoch Epoch_;
  ClaimCause Cause_ = ClaimCause::Vacant;
};

/// Watches the holder rows. A holder writes its row about twice a second; one
/// whose row stands still while the store answers is taken to be gone. Taking
/// a duty from a holder that lives is safe, since workers and the store
/// refuse its lower epoch; it only costs a restart of the pool's scheduler.
class DutyWatch {
public:
  /// Self is the entry's name, a slash, and what tells its starts apart.
  /// Weight is the usual processor time against this entry's: above 1 it waits
  /// longer before it takes a duty, below 1 less long.
  DutyWatch(EntryId Self, double Weight);

  /// The duties that need a holder.
  void setPools(std::set<PoolId> Pools, Instant Now);
  void saw(const PoolId &Pool, const KnownHolder &Holder, Instant Now);
  /// The store answered; rows that it didn't report stand as they were.
  void polled(Instant Now);

  /// A call to the holder found nobody at its address.
  void unreachable(const PoolId &Pool);
  /// A claim was turned away: the store takes no writes, so holders can't show
  /// that they live. Silence is counted anew.
  void refused(Instant Now);

  /// The duty to take now, if any. Held is how many duties this entry has; an
  /// entry with many waits longer, so that duties spread.
  std::optional<Claim> due(std::size_t Held, Instant Now);

  /// The holder of a duty; nothing while it is vacant or unknown.
  std::optional<KnownHolder> holder(const PoolId &Pool) const;
  const std::set<PoolId> &pools() const { return Pools_; }

private:
  struct Watch {
    std::optional<KnownHolder> Known_;
    /// Since when the row stands still while the store answers.
    Instant QuietSince_;
    /// Nobody was at the holder's address since then.
    bool Unreachable_ = false;
  };

  Millis patience(const PoolId &Pool, std::size_t Held) const;
  /// How long the row of a duty has to stand still, and why.
  std::pair<Millis, ClaimCause> quietLimit(const Watch &W) const;

  EntryId Self_;
  double Weight_;
  std::set<PoolId> Pools_;
  std::map<PoolId, Watch> Watches_;
  Instant LastPoll_;
};

} // namespace heathercross::schedule
