// Collects what one step changes in one pool, as one conditional transaction.
#pragma once

#include "fleet/availability.h"
#include "fleet/model.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace heathercross::fleet {

/// The changes of one step to one pool. All disruptions that are asked for
/// voluntarily spend from the same permits, whatever decided them.
class PoolPlan {
public:
  /// The picture must outlive the plan.
  PoolPlan(const PoolPicture &Picture, const LeaseHold &Lease);

  const PoolId &pool() const { return Picture_.Name_; }

  /// How many more voluntary disruptions this step may start.
  std::uint32_t permitsLeft() const { return PermitsLeft_; }

  /// Whether this step already changes the instance.
  bool touches(const InstanceId &Name) const { return Rows_.contains(Name); }

  /// Takes a permit for the member and gives it the new row. A member that
  /// isn't available costs nothing of the budget. Returns false, with no
  /// change, when no permit is left.
  bool disrupt(const Member &M, InstanceRow New);

  /// Gives the member a new row and returns its permit if it holds one.
  void settle(const Member &M, InstanceRow New);

  /// Gives the member a new row; its permit stays as it is.
  void change(const Member &M, InstanceRow New);

  /// Takes an instance that has no row into the pool.
  void insert(InstanceRow New);

  /// Removes the row of an instance that is gone, and its permit.
  void erase(const Member &M);

  /// Records that a wave is finished in this pool.
  void finish(const WaveId &Wave);

  /// The transaction, or nothing when nothing changes.
  std::optional<Transaction> transaction(AttemptId Attempt) const;

private:
  struct Edit {
    RowVersion Expected_;
    /// Absent when the row is erased.
    std::optional<InstanceRow> New_;
  };

  void edit(const InstanceId &Name, RowVersion Expected,
            std::optional<InstanceRow> New);
  void release(const InstanceId &Name);
  void dropStaleHolds();

  const PoolPicture &Picture_;
  LeaseHold Lease_;
  PermitRecord Permit_;
  std::uint32_t PermitsLeft_;
  std::map<InstanceId, Edit> Rows_;
};

} // namespace heathercross::fleet
