// When the requests of an open-loop run are due, and for which pool.
#pragma once

#include "options.h"

#include <cstdint>
#include <random>

namespace heathercross::standin {

/// One request that is due.
struct Arrival {
  /// Microseconds since the start of the run.
  std::int64_t At_ = 0;
  std::size_t Pool_ = 0;
};

/// Draws arrivals in order of time: a Poisson process whose rate may rotate
/// between the pools.
class Arrivals {
public:
  explicit Arrivals(const LoadOptions &Options)
      : Options_(Options), Random_(Options.Seed_) {}

  Arrival next();
  /// The rate of a pool at a time, as a multiple of its mean.
  double factor(std::size_t Pool, std::int64_t At) const;

private:
  double totalRate(std::int64_t At) const;
  std::size_t drawPool(std::int64_t At);

  const LoadOptions &Options_;
  std::mt19937_64 Random_;
  double At_ = 0;
};

} // namespace heathercross::standin
