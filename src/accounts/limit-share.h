// How pools divide an account's limit, and which share of it a pool takes.
//
// Load: 20 accounts with work in five pools, whose demand rises to five times
// its mean for some seconds. Each pool starts tasks without asking the others,
// within a share of the limit that is stored as its own.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/resources.h"
#include "heathercross/units.h"

#include <cstdint>
#include <map>
#include <optional>

namespace heathercross::accounts {

/// Shares are counted in millionths of an account's limit.
inline constexpr std::int64_t WholeShare = 1'000'000;

/// What one pool has of an account's limit and needs of it, in millionths.
struct PoolShare {
  /// What the pool's tasks may use.
  std::int64_t Share_ = 0;
  /// What the pool's tasks use and the waiting ones need; at most the whole.
  std::int64_t Wanted_ = 0;
  /// If the pool uses nothing: what its smallest waiting task needs.
  std::int64_t Least_ = 0;
  /// Pools whose part is too small for a single task take turns; 0 for others.
  std::int64_t Turn_ = 0;
  /// What the pool uses beyond its share, after the limit was reduced.
  std::int64_t Over_ = 0;
  bool operator==(const PoolShare &) const = default;
};

/// The stored row of one account.
struct LimitShares {
  std::map<PoolId, PoolShare> Pools_;

  std::int64_t shareOf(const PoolId &Pool) const;
  /// The part of the limit that no pool has.
  std::int64_t unallocated() const;
  bool operator==(const LimitShares &) const = default;
};

/// What an account needs in one pool.
struct AccountNeed {
  /// Reserved by runs, including orders that may still be carried out.
  Resources Used_;
  /// What workers may run that have not reported to this holder yet.
  Resources Awaited_;
  /// The needs of waiting tasks for which the pool may have room soon.
  Resources Waiting_;
  /// The smallest waiting start: a task, or all tasks of a gang.
  std::optional<Resources> Least_;
  /// Whether a start was withheld because of the limit.
  bool AtLimit_ = false;

  bool idle() const {
    return Used_ == Resources() && Awaited_ == Resources() && !Least_;
  }
};

/// What an account may use in one pool.
struct Allowance {
  /// The limit in all pools; 0 in a field means no limit.
  Resources Limit_;
  /// The pool's share.
  std::int64_t Share_ = 0;
  /// The share that the pool can get, at least Share_. Waiting tasks beyond it
  /// need no workers.
  std::int64_t Reachable_ = 0;

  /// Whether a start that needs Total may be added to Used. One is a single
  /// task of the start. With the whole share and nothing in use, a start may
  /// exceed the limit by one task: the limit may be smaller than any task.
  bool permits(const Resources &Used, const Resources &Total,
               const Resources &One) const;
  /// Whether Used and Total stay within the reachable share.
  bool reaches(const Resources &Used, const Resources &Total,
               const Resources &One) const;
};

/// Returns the share of the limit that R takes, rounded up; more than the whole
/// if R exceeds the limit.
std::int64_t shareFor(const Resources &R, const Resources &Limit);

/// Divides the whole limit by the pools' wants: small wants are met, the others
/// get equal parts. A pool that uses nothing and whose part is too small for a
/// task gets enough for one when its turn has come.
std::map<PoolId, std::int64_t> partsOf(const LimitShares &Row);

/// Decides which share of one account's limit a pool takes and releases.
class ShareDecision {
public:
  explicit ShareDecision(PoolId Pool) : Pool_(std::move(Pool)) {}

  /// Returns the row to write instead of the stored one, if any. The sum of its
  /// shares is at most the whole, and only the own pool's entry differs.
  std::optional<LimitShares> next(const LimitShares &Row, const AccountNeed &N,
                                  const Resources &Limit, Instant Now);
  /// Returns what the account may use in the pool by the stored row: less than
  /// the pool's share while other pools lack their part or exceed their share.
  Allowance allowance(const LimitShares &Row, const AccountNeed &N,
                      const Resources &Limit) const;

private:
  /// The own entry with the pool's current needs.
  PoolShare currentNeeds(const LimitShares &Row, const AccountNeed &N,
                         const Resources &Limit) const;
  /// What other pools may have and don't, beyond the unallocated rest.
  std::int64_t missingElsewhere(const LimitShares &View) const;
  /// The share to have by the current needs.
  std::int64_t target(const LimitShares &View, std::int64_t Used, Instant Now);

  /// The needs without waiting tasks while the pool yields.
  AccountNeed effectiveNeed(const AccountNeed &N) const;
  /// Lets other pools go first for a time if the share for a single task could
  /// not be had: another pool's long-running tasks may use it.
  void updateYield(const PoolShare &Own, Instant Now);

  PoolId Pool_;
  /// Since when the pool lacks the share for a single task.
  std::optional<Instant> StarvedSince_;
  std::optional<Instant> YieldUntil_;
  /// Since when the pool has had more than it needs.
  std::optional<Instant> ExcessSince_;
};

} // namespace heathercross::accounts
