// The least time in which a wave can go through a pool.
#pragma once

#include "heathercross/units.h"

#include <cstdint>
#include <optional>

namespace heathercross::fleet {

/// A lower bound of a wave's roll-out time: the budget lets Members -
/// MinAvailable instances reboot side by side, and drains cost nothing.
/// Nothing when the budget leaves no room.
constexpr std::optional<Micros> waveBound(std::uint32_t Members,
                                          std::uint32_t MinAvailable,
                                          Micros RebootTime) {
  if (Members == 0)
    return Micros(0);
  if (Members <= MinAvailable)
    return std::nullopt;
  const auto Together = Members - MinAvailable;
  const auto Rounds = (Members + Together - 1) / Together;
  return RebootTime * Rounds;
}

} // namespace heathercross::fleet
