// Units: time as the decisions see it, sizes and slots.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace heathercross {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// The time line of one process. It only goes up, and readings of two
/// processes can't be compared.
struct LocalClock {
  using duration = Micros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LocalClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): the standard's name.
  static constexpr bool is_steady = true;
};

/// A moment on the local time line. Decisions get it with each event.
using Instant = LocalClock::time_point;

/// The part of a duration that is whole milliseconds.
constexpr Millis toMillis(Micros D) {
  return std::chrono::duration_cast<Millis>(D);
}

/// A number of requests that a worker runs side by side.
struct Slots {
  std::uint32_t Count_ = 0;
  constexpr auto operator<=>(const Slots &) const = default;
};

/// A number of bytes.
struct Bytes {
  std::uint64_t Count_ = 0;
  constexpr auto operator<=>(const Bytes &) const = default;
};

constexpr Bytes operator""_KiB(unsigned long long N) { return {N * 1024}; }
constexpr Bytes operator""_MiB(unsigned long long N) {
  return {N * 1024 * 1024};
}

} // namespace heathercross
