// Tracks who holds the duty of each pool and decides when an entry claims one.
#pragma once

#include "schedule/pool-journal.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace heathercross::schedule {

/// A holder row as last read from the store.
struct StoredHolder {
  HolderRow Row_;
  RowVersion Version_;
};

/// Why an entry may claim a duty.
enum class ClaimCause : std::uint8_t {
  /// The duty had no holder yet, or its holder released it.
  Vacant,
  /// This entry held the duty before it restarted.
  OwnRestart,
  /// The row names this process, and its duty has ended: it lost the duty, or
  /// couldn't give it back.
  OwnEnd,
  /// Nothing listens at the holder's address.
  Unreachable,
  /// The holder's row no longer changes.
  Unresponsive,
};

/// Returns the name of a cause for logs.
const char *causeName(ClaimCause C);

/// A claim to a duty: write a holder row with this epoch if the row still has
/// this version.
struct Claim {
  PoolId Pool_;
  RowVersion Version_;
  Epoch Epoch_;
  ClaimCause Cause_ = ClaimCause::Vacant;
  /// The latest time at which a holder may have granted a lease, if the row
  /// still has that version.
  Instant FormerActsUntil_{};
};

/// Watches the holder rows. A holder writes its row about twice a second; one
/// whose row stays unchanged while the store answers is presumed dead. Claiming
/// a live holder's duty is safe, because workers and the store reject its lower
/// epoch; it only costs a restart of the pool's scheduler.
class DutyWatch {
public:
  /// Self is the entry's name, a slash and an id of this process start.
  /// DelayFactor is the usual processor time divided by that of this entry:
  /// above 1 the entry waits longer before a claim, below 1 less long.
  /// Kept are duties that this entry claims at once after a restart whatever
  /// its processor time.
  DutyWatch(EntryId Self, double DelayFactor, std::set<PoolId> Kept = {});

  /// Adds pools whose duties need a holder.
  void addPools(const std::set<PoolId> &Pools, Instant Now);
  /// Takes in a holder row. Its pool needs a holder from then on.
  void holderRead(const PoolId &Pool, const StoredHolder &Holder, Instant Now);
  /// Records that the store answered; rows that it did not report are
  /// unchanged.
  void polled(Instant Now);

  /// Records that a call to the holder found nothing listening at its address.
  void holderUnreachable(const PoolId &Pool);
  /// Records that the store refused a claim. Holders then cannot renew their
  /// rows either, so all timeouts start again.
  void claimRefused(Instant Now);

  /// Returns the duty to claim now, if any. Held is the number of duties this
  /// entry holds; an entry with more duties waits longer, so that duties are
  /// spread.
  std::optional<Claim> nextClaim(std::size_t Held, Instant Now);

  /// Returns a duty to release now, if any: an earlier process of this entry
  /// held it, and this entry has less processor time than usual. Entries with
  /// more then claim it first.
  std::optional<StoredHolder> nextRelease(PoolId &Pool, Instant Now) const;
  /// Returns the vacant duty that was released and is to be claimed now by an
  /// entry with more processor time than usual, also between polls.
  std::optional<Claim> nextReleasedClaim(std::size_t Held, Instant Now);

  /// Whether a row names this process as the holder of an epoch that it hasn't
  /// begun, as the answer to its claim was lost. A process begins each epoch
  /// at most once: fences and attempts are numbered within an epoch, and
  /// workers have seen those of the first time.
  bool mayBegin(const PoolId &Pool) const;
  /// Records that this process begins an epoch of a duty.
  void begun(const PoolId &Pool, Epoch E);
  /// Records that the duty ended here. It is taken again only by a claim of the
  /// next epoch.
  void ended(const PoolId &Pool, Instant Now);

  /// Records that this entry handed a duty over because of its load. It claims
  /// the duty again only if nobody else does for a while.
  void handedOver(const PoolId &Pool, Instant Now);

  /// Returns the holder of a duty, or nothing if it is vacant or unknown.
  std::optional<StoredHolder> holder(const PoolId &Pool) const;
  const std::set<PoolId> &pools() const { return Pools_; }

private:
  struct Watch {
    std::optional<StoredHolder> Stored_;
    /// Since when the row is unchanged while the store answers.
    Instant UnchangedSince_;
    /// Whether a call since then found nothing listening at the holder's
    /// address.
    bool Unreachable_ = false;
    /// The latest time at which a holder of an earlier epoch may have granted a
    /// lease.
    Instant EarlierActUntil_;
    /// When this entry handed the duty over, unless another entry has held it
    /// since.
    std::optional<Instant> HandedOverAt_;
    /// The last epoch that this process began, and whether it has ended.
    Epoch Begun_;
    bool Ended_ = false;
  };
  /// Whether the row names this process though its duty has ended.
  bool hasEndedHere(const Watch &W) const;

  /// The claim that is most overdue, of those that Selected admits.
  template <class Predicate>
  std::optional<Claim> mostOverdue(std::size_t Held, Instant Now,
                                   Predicate Selected);
  /// Whether the row names an earlier process of this entry and is to be
  /// released.
  bool mustRelease(const PoolId &Pool, const Watch &W) const;
  /// Additional delay of a duty that this entry handed over.
  static Millis handoverDelay(const Watch &W, Instant Now);
  Millis claimDelay(const PoolId &Pool, std::size_t Held) const;
  /// How long the row must be unchanged before the duty may be claimed, and the
  /// cause of such a claim.
  std::pair<Millis, ClaimCause> unchangedLimit(const Watch &W) const;
  /// The latest time at which a holder may grant a lease if the row isn't
  /// renewed. The last change was sent before it was seen.
  static Instant actsUntil(const Watch &W, ClaimCause Cause, Instant Now);

  EntryId Self_;
  double DelayFactor_;
  std::set<PoolId> Kept_;
  std::set<PoolId> Pools_;
  std::map<PoolId, Watch> Watches_;
  Instant LastPoll_;
};

} // namespace heathercross::schedule
