// A small deterministic source of jitter for pure decisions.
#pragma once

#include "heathercross/units.h"

#include <cstdint>

namespace heathercross {

/// Pseudo-random numbers from a seed (the splitmix64 generator). The seed is
/// an input of the decision that uses it, so that runs can be repeated.
class Jitter {
public:
  explicit Jitter(std::uint64_t Seed) : State_(Seed) {}

  std::uint64_t next() {
    State_ += 0x9e3779b97f4a7c15U;
    std::uint64_t Z = State_;
    Z = (Z ^ (Z >> 30)) * 0xbf58476d1ce4e5b9U;
    Z = (Z ^ (Z >> 27)) * 0x94d049bb133111ebU;
    return Z ^ (Z >> 31);
  }

  /// A duration from Low up to but not including High; Low if that is empty.
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
