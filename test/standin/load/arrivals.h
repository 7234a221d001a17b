// Generates the arrival times and pools of the requests of an open-loop run.
#pragma once

#include "options.h"

#include <cstdint>
#include <random>

namespace heathercross::standin {

/// The arrival of one request.
struct Arrival {
  /// Microseconds since the start of the run.
  std::int64_t TimeUs_ = 0;
  std::size_t Pool_ = 0;
};

/// Draws arrivals of a Poisson process, ordered by time. With bursts, the pools
/// take turns at a higher rate.
class Arrivals {
public:
  explicit Arrivals(const LoadOptions &Options)
      : Options_(Options), Random_(Options.Seed_) {}

  Arrival next();
  /// Returns the rate of a pool at a time, as a multiple of its mean rate.
  double rateFactor(std::size_t Pool, std::int64_t TimeUs) const;

private:
  double totalRate(std::int64_t TimeUs) const;
  std::size_t drawPool(std::int64_t TimeUs);

  const LoadOptions &Options_;
  std::mt19937_64 Random_;
  double TimeUs_ = 0;
};

} // namespace heathercross::standin
