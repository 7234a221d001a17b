// Deterministic pseudo-random numbers for jitter.
#pragma once

#include "heathercross/units.h"

#include <cstdint>

namespace heathercross {

/// The splitmix64 generator. The user passes the seed, which makes runs
/// reproducible.
class Jitter {
public:
  explicit Jitter(std::uint64_t Seed) : State_(Seed) {}

  std::uint64_t next() {
    State_ += 0x9e3779b97f4a7c15U;
    std::uint64_t Mixed = State_;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9U;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebU;
    return Mixed ^ (Mixed >> 31);
  }

  /// A random duration in [Low, High); Low if the range is empty.
  Micros between(Micros Low, Micros High) {
    if (High <= Low)
      return Low;
    const auto Width = static_cast<std::uint64_t>((High - Low).count());
    return Low + Micros(static_cast<std::int64_t>(next() % Width));
  }

private:
  std::uint64_t State_;
};

} // namespace heathercross
