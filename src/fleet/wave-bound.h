// Lower bound of the time that a maintenance wave needs for a pool.
#pragma once

#include "heathercross/units.h"

#include <cstdint>
#include <optional>

namespace heathercross::fleet {

/// Returns a lower bound of a wave's roll-out time. Assumes that Members -
/// MinAvailable instances reboot concurrently and that drains take no time.
/// Returns nothing if the budget allows no disruption.
constexpr std::optional<Micros> rollOutLowerBound(std::uint32_t Members,
                                                  std::uint32_t MinAvailable,
                                                  Micros RebootTime) {
  if (Members == 0)
    return Micros(0);
  if (Members <= MinAvailable)
    return std::nullopt;
  const auto Concurrent = Members - MinAvailable;
  const auto Rounds = (Members + Concurrent - 1) / Concurrent;
  return RebootTime * Rounds;
}

} // namespace heathercross::fleet
