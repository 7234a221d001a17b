// Collects the changes of one step to one pool in a conditional transaction.
#pragma once

#include "fleet/availability.h"
#include "fleet/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace heathercross::fleet {

/// The changes of one step to one pool. Waves, transfers and ejections share
/// the same permits.
class PoolPlan {
public:
  /// The pool snapshot must outlive the plan.
  PoolPlan(const PoolSnapshot &Pool, const HeldLease &Lease);

  const PoolId &pool() const { return Pool_.Name_; }

  /// Returns how many more voluntary disruptions this step may start.
  std::uint32_t permitsLeft() const { return PermitsLeft_; }

  /// Whether this step already changes the instance.
  bool hasChange(const InstanceId &Name) const {
    return Changes_.contains(Name);
  }

  /// Replaces the member's row for a voluntary disruption. Uses a permit only
  /// if the member is available, and returns false without a change if none is
  /// left.
  bool disrupt(const Member &M, InstanceRow New);

  /// Replaces the member's row and releases its permit, if any.
  void updateAndRelease(const Member &M, InstanceRow New);

  /// Replaces the member's row and leaves its permit unchanged.
  void update(const Member &M, InstanceRow New);

  /// Adds an instance that has no row to the pool.
  void insert(InstanceRow New);

  /// Erases the row of a lost instance and releases its permit.
  void erase(const Member &M);

  /// Records that a wave is finished in this pool.
  void finishWave(const WaveId &Wave);

  /// Returns the transaction, or nothing if there are no changes.
  std::optional<Transaction> transaction(AttemptId Attempt) const;

private:
  struct RowChange {
    RowVersion Expected_;
    /// Absent if the row is to be erased.
    std::optional<InstanceRow> New_;
  };

  void setRow(const InstanceId &Name, RowVersion Expected,
              std::optional<InstanceRow> New);
  void releasePermit(const InstanceId &Name);
  void dropStalePermits();

  const PoolSnapshot &Pool_;
  HeldLease Lease_;
  PermitRecord Permit_;
  std::uint32_t PermitsLeft_;
  std::map<InstanceId, RowChange> Changes_;
};

} // namespace heathercross::fleet
