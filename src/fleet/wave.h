// Runs maintenance waves in a pool: each instance is drained, rebooted and
// returned to service.
#pragma once

#include "fleet/availability.h"
#include "fleet/drain-tracker.h"
#include "fleet/pool-plan.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace heathercross::fleet {

/// Decides how many available instances a wave starts to drain next, given the
/// permits left in the budget and the instances that the wave has disrupted.
template <class P>
concept WavePolicy = requires(const P Policy, std::uint32_t N) {
  { Policy.drainsToStart(N, N) } -> std::same_as<std::uint32_t>;
};

/// Starts as many drains as the budget allows.
struct LargestStep {
  std::uint32_t drainsToStart(std::uint32_t PermitsLeft, std::uint32_t) const {
    return PermitsLeft;
  }
};

/// Drains one instance at a time and waits until it is back in service.
struct OneAtATime {
  std::uint32_t drainsToStart(std::uint32_t PermitsLeft,
                              std::uint32_t InProgress) const {
    return InProgress == 0 ? std::min<std::uint32_t>(PermitsLeft, 1) : 0;
  }
};

enum class WaveState : std::uint8_t {
  /// Instances are disrupted or can be.
  Progressing,
  /// Nothing can start until unavailable instances recover or an earlier wave
  /// finishes.
  Waiting,
  /// The budget allows no disruption even if every instance is available.
  Blocked,
  Paused,
  Aborted,
  Finished,
};

/// The reason why a wave isn't progressing.
enum class WaveObstacle : std::uint8_t {
  None,
  /// The budget allows no disruption even if every member is available.
  BudgetLeavesNoRoom,
  /// Members that are unavailable for other reasons use up the budget.
  FailuresSpendBudget,
  /// All remaining instances are unresponsive.
  InstancesUnreachable,
  /// The wave isn't the pool's current one. Waves run in order of their names.
  OtherWaveFirst,
};

/// The names of a wave's state and obstacle in the API.
std::string_view name(WaveState State);
std::string_view name(WaveObstacle Obstacle);

/// The progress of one wave as shown to operators.
struct WaveReport {
  WaveId Wave_;
  PoolId Pool_;
  WaveState State_ = WaveState::Progressing;
  WaveObstacle Obstacle_ = WaveObstacle::None;
  std::uint32_t Done_ = 0;
  std::uint32_t InProgress_ = 0;
  std::uint32_t Total_ = 0;
};

/// Returns the wave that the pool works on: the first by name that is neither
/// finished nor aborted, or null.
const Wave *currentWave(const View &V, const PoolSnapshot &Pool);

/// Whether the pool needs an additional instance to continue its wave, because
/// the budget requires as many available instances as the pool's size.
bool needsExtraInstance(const View &V, const PoolSnapshot &Pool);

/// Returns a report for each wave of the pool.
std::vector<WaveReport> reportWaves(const View &V, const PoolSnapshot &Pool);

namespace detail {

/// Advances the members that are draining or rebooting. Members in Reserved
/// drain for a transfer and are skipped.
void advanceDisrupted(const PoolSnapshot &Pool, const Wave *Current,
                      const std::set<InstanceId> &Reserved,
                      const DrainTracker &Drains, PoolPlan &Plan);

/// Starts to drain members that the wave still has to reboot. At most Count of
/// them are available ones; unavailable ones use none of the budget.
void startDrains(const PoolSnapshot &Pool, const Wave &Current,
                 std::uint32_t Count, PoolPlan &Plan);

/// Records the wave as finished once every member has completed it.
void finishIfDone(const PoolSnapshot &Pool, const Wave &Current,
                  PoolPlan &Plan);

/// Counts the members that the wave is draining or rebooting.
std::uint32_t inProgress(const PoolSnapshot &Pool, const Wave &Current);

} // namespace detail

/// Plans the next changes of the pool's current wave. Members in Reserved drain
/// for a transfer and are skipped.
template <WavePolicy Policy>
void advanceWave(const View &V, const PoolSnapshot &Pool,
                 const std::set<InstanceId> &Reserved,
                 const DrainTracker &Drains, const Policy &P, PoolPlan &Plan) {
  const Wave *Current = currentWave(V, Pool);
  const bool Running = Current && Current->Mode_ == WaveMode::Running;
  detail::advanceDisrupted(Pool, Running ? Current : nullptr, Reserved, Drains,
                           Plan);
  if (!Running)
    return;
  const auto InProgress = detail::inProgress(Pool, *Current);
  detail::startDrains(Pool, *Current,
                      P.drainsToStart(Plan.permitsLeft(), InProgress), Plan);
  detail::finishIfDone(Pool, *Current, Plan);
}

} // namespace heathercross::fleet
