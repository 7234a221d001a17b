// Takes leaving and lost instances out of a pool.
#pragma once

#include "fleet/availability.h"
#include "fleet/pool-plan.h"

#include <map>

namespace heathercross::fleet {

/// An instance that the platform's list doesn't have and that hasn't answered
/// for this long is lost.
constexpr Millis LostAfter{10'000};

/// An instance that is listed but hasn't answered for this long is replaced.
constexpr Millis ReplaceAfter{60'000};

/// Remembers since when instances haven't answered. Instances that this entry
/// doesn't watch (without a status) don't count as silent. Losing it delays the
/// replacement of lost instances.
class SilenceWatch {
public:
  /// Takes in which instances answer now.
  void observe(const Snapshot &S);

  /// How long the instance has been silent; zero while it answers.
  Micros silentFor(const InstanceId &Name, Instant Now) const;

private:
  std::map<InstanceId, Instant> Since_;
};

/// Marks members as leaving when any source says so, and removes the rows of
/// those that are lost. Not voluntary: it asks for no permit.
void retire(const Snapshot &S, const PoolPicture &Picture,
            const SilenceWatch &Silence, PoolPlan &Plan);

/// Whether the member will still be there: it isn't leaving, lost, or silent
/// for so long that it has to be replaced.
bool stays(const Member &M, const SilenceWatch &Silence, Instant Now);

} // namespace heathercross::fleet
