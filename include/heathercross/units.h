// Units of time, slots and bytes.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>

namespace heathercross {

using Millis = std::chrono::milliseconds;
using Micros = std::chrono::microseconds;
using Seconds = std::chrono::seconds;

/// The monotonic clock of one process. Time points of different processes are
/// not comparable.
struct LocalClock {
  using duration = Micros;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<LocalClock>;
  // NOLINTNEXTLINE(readability-identifier-naming): required by std::chrono.
  static constexpr bool is_steady = true;
};

/// A time point of the local clock. State machines get it with each event
/// instead of reading a clock.
using Instant = LocalClock::time_point;

/// Truncates a duration to whole milliseconds.
constexpr Millis toMillis(Micros D) {
  return std::chrono::duration_cast<Millis>(D);
}

/// A number of requests that a worker runs concurrently.
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
