// Counts a pool's available instances pessimistically.
#pragma once

#include "fleet/model.h"

#include <cstdint>
#include <vector>

namespace heathercross::fleet {

/// Whether an instance can take work, and if not, the first reason why.
enum class Standing : std::uint8_t {
  Available,
  /// The worker doesn't answer, or its last status is too old.
  Unknown,
  Leaving,
  Draining,
  Rebooting,
  Ejected,
};

/// One instance of a pool with all that is known of it.
struct Member {
  const InstanceRecord *Record_ = nullptr;
  /// Null when the worker was never heard.
  const WorkerStatus *Status_ = nullptr;
  Standing Standing_ = Standing::Unknown;
  /// Whether the platform's list has it, or wasn't readable.
  bool Listed_ = true;
  /// Whether a voluntary disruption holds a permit for it.
  bool Held_ = false;

  const InstanceRow &row() const { return Record_->Row_; }
  const InstanceId &id() const { return Record_->Row_.Name_; }
  bool available() const { return Standing_ == Standing::Available; }
  bool answers() const { return Status_ && Standing_ != Standing::Unknown; }
};

/// The member's row in another state; a boot id in it is dropped.
InstanceRow withState(const Member &M, InstanceState State);

/// One pool at one moment.
struct PoolPicture {
  PoolId Name_;
  std::uint32_t Size_ = 0;
  bool Spare_ = false;
  std::uint32_t MinAvailable_ = 0;
  PermitRecord Permit_;
  std::vector<Member> Members_;

  std::uint32_t available() const;

  /// How many more instances may be disrupted voluntarily now. Failures count
  /// in it, since what has failed isn't available.
  std::uint32_t permitsLeft() const;

  /// Whether the budget would leave room with every member in good health.
  bool budgetLeavesRoom() const;

  /// The member of that name, or null.
  const Member *find(const InstanceId &Name) const;
};

/// A status that is older than this is no evidence of availability.
constexpr Millis StatusMaxAge{5'000};

/// What the snapshot says of one pool. Pointers in it point into the
/// snapshot. A pool without a budget is kept at its size less one.
PoolPicture pictureOf(const Snapshot &S, const PoolId &Pool);

/// Whether any source says that the instance is leaving: the platform's list,
/// the worker itself or an operator.
bool saidLeaving(const Snapshot &S, const InstanceId &Name);

/// Whether the worker answered and its status is recent enough to count.
bool recentlyHeard(const Snapshot &S, const WorkerStatus *Status);

} // namespace heathercross::fleet
