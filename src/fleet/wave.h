// Drives a maintenance wave (drain, reboot, return) over one pool.
#pragma once

#include "fleet/availability.h"
#include "fleet/drain-watch.h"
#include "fleet/pool-plan.h"

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <optional>
#include <set>
#include <string_view>
#include <vector>

namespace heathercross::fleet {

/// How many instances a wave starts to drain at a time. PermitsLeft is what
/// the budget allows now, InProgress what the wave has out already.
template <class P>
concept WavePolicy = requires(const P Policy, std::uint32_t N) {
  { Policy.step(N, N) } -> std::same_as<std::uint32_t>;
};

/// Takes the largest step that the budget allows.
struct LargestStep {
  std::uint32_t step(std::uint32_t PermitsLeft, std::uint32_t) const {
    return PermitsLeft;
  }
};

/// Takes one instance, and the next when it is back.
struct OneAtATime {
  std::uint32_t step(std::uint32_t PermitsLeft,
                     std::uint32_t InProgress) const {
    return InProgress == 0 ? std::min<std::uint32_t>(PermitsLeft, 1) : 0;
  }
};

/// Where a wave stands.
enum class WaveState : std::uint8_t {
  /// Instances are out, or can be taken out.
  Progressing,
  /// What is out has to come back first, or failures spend the budget.
  Waiting,
  /// The budget leaves no room even with every instance in good health.
  Blocked,
  Paused,
  Aborted,
  Finished,
};

/// Why a wave isn't progressing.
enum class WaveObstacle : std::uint8_t {
  None,
  BudgetLeavesNoRoom,
  FailuresSpendBudget,
  /// Only instances that don't answer are left.
  InstancesUnreachable,
  /// An earlier wave of the pool (by name) isn't finished.
  OtherWaveFirst,
};

/// The words for a wave's state and obstacle.
std::string_view name(WaveState State);
std::string_view name(WaveObstacle Obstacle);

/// The progress of one wave, for operators.
struct WaveReport {
  WaveId Wave_;
  PoolId Pool_;
  WaveState State_ = WaveState::Progressing;
  WaveObstacle Obstacle_ = WaveObstacle::None;
  std::uint32_t Done_ = 0;
  std::uint32_t InProgress_ = 0;
  std::uint32_t Total_ = 0;
};

/// The wave that the pool works on: of those that are neither finished nor
/// aborted, the first by name. Null when there is none.
const Wave *currentWave(const View &V, const PoolPicture &Picture);

/// Whether the pool could finish its wave if it had one instance more.
bool needsExtraInstance(const View &V, const PoolPicture &Picture);

/// The reports of all waves of the pool.
std::vector<WaveReport> reportWaves(const View &V, const PoolPicture &Picture);

namespace detail {

/// Moves on what is draining or rebooting for the wave. Instances in Reserved
/// drain for another purpose.
void advanceDisrupted(const PoolPicture &Picture, const Wave *Current,
                      const std::set<InstanceId> &Reserved,
                      const DrainWatch &Drains, PoolPlan &Plan);

/// Starts to drain at most Count of the instances that still need the wave.
void startDrains(const PoolPicture &Picture, const Wave &Current,
                 std::uint32_t Count, PoolPlan &Plan);

/// Records the wave as finished when every member went through it.
void finishIfDone(const PoolPicture &Picture, const Wave &Current,
                  PoolPlan &Plan);

/// How many members the wave has out.
std::uint32_t inProgress(const PoolPicture &Picture, const Wave &Current);

} // namespace detail

/// Decides the wave's next step in the pool. Members in Reserved drain for
/// another purpose and are left alone.
template <WavePolicy Policy>
void advanceWave(const View &V, const PoolPicture &Picture,
                 const std::set<InstanceId> &Reserved, const DrainWatch &Drains,
                 const Policy &P, PoolPlan &Plan) {
  const Wave *Current = currentWave(V, Picture);
  const bool Runs = Current && Current->Mode_ == WaveMode::Running;
  detail::advanceDisrupted(Picture, Runs ? Current : nullptr, Reserved, Drains,
                           Plan);
  if (!Runs)
    return;
  const auto Out = detail::inProgress(Picture, *Current);
  detail::startDrains(Picture, *Current, P.step(Plan.permitsLeft(), Out), Plan);
  detail::finishIfDone(Picture, *Current, Plan);
}

} // namespace heathercross::fleet
