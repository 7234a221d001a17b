// Computes the availability of a pool's instances. An instance counts as
// available only while its worker's status is recent.
#pragma once

#include "fleet/model.h"

#include <cstdint>
#include <vector>

namespace heathercross::fleet {

/// Whether an instance can accept work and, if not, the first reason that
/// applies.
enum class Availability : std::uint8_t {
  Available,
  /// The worker doesn't respond or its last status is too old.
  Unknown,
  Leaving,
  Draining,
  Rebooting,
  Ejected,
};

/// An instance of a pool with its row, worker status and availability.
struct Member {
  const InstanceRecord *Record_ = nullptr;
  /// Null when the worker has never reported a status.
  const WorkerStatus *Status_ = nullptr;
  Availability Availability_ = Availability::Unknown;
  /// Whether the platform lists the instance. Also true when the list couldn't
  /// be read.
  bool Listed_ = true;
  /// Whether a voluntary disruption holds a permit for the instance.
  bool HoldsPermit_ = false;

  const InstanceRow &row() const { return Record_->Row_; }
  const InstanceId &id() const { return Record_->Row_.Name_; }
  bool available() const { return Availability_ == Availability::Available; }
  bool responds() const {
    return Status_ && Availability_ != Availability::Unknown;
  }
};

/// Returns the member's row in another state and without a boot id.
InstanceRow withState(const Member &M, InstanceState State);

/// The state of one pool in a snapshot.
struct PoolSnapshot {
  PoolId Name_;
  std::uint32_t Size_ = 0;
  bool Spare_ = false;
  std::uint32_t MinAvailable_ = 0;
  PermitRecord Permit_;
  std::vector<Member> Members_;

  std::uint32_t available() const;

  /// Returns how many more instances may be disrupted voluntarily now. Failed
  /// instances use up the budget too, because they aren't available.
  std::uint32_t permitsLeft() const;

  /// Whether the budget would allow a disruption if every member were
  /// available.
  bool budgetAllowsDisruption() const;

  /// Returns the member with that name, or null.
  const Member *find(const InstanceId &Name) const;
};

/// An instance whose last status is older than this counts as unavailable.
constexpr Millis MaxStatusAge{5'000};

/// Extracts the state of one pool. The result points into the snapshot, which
/// must outlive it. A pool without a budget must keep all instances but one.
PoolSnapshot makePoolSnapshot(const Snapshot &S, const PoolId &Name);

/// Whether the platform's list, the worker itself or an operator reports that
/// the instance is leaving.
bool isLeaving(const Snapshot &S, const InstanceId &Name);

/// Whether the worker responds and its status is at most MaxStatusAge old.
bool hasRecentStatus(const Snapshot &S, const WorkerStatus *Status);

} // namespace heathercross::fleet
