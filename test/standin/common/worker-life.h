// One life of a model worker: its clock, its fence and the lease of its runs.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace heathercross::standin {

/// What a worker loses when it starts again under its id.
class WorkerLife {
public:
  using Millis = std::chrono::milliseconds;
  /// How far and how fast the worker's steady clock runs.
  struct Clock {
    Millis Start_{1};
    double Rate_ = 1;
  };

  /// No lease lasts longer on the worker's clock.
  static constexpr Millis LongestLease{10'000};

  /// Born is the time of day of the start.
  WorkerLife(Millis Born, Clock C) : Born_(Born), ClockOptions_(C) {}

  /// A life that begins now, with a clock behind the one that this began with.
  WorkerLife next() const {
    return {timeOfDay(), {ClockOptions_.Start_ / 2, ClockOptions_.Rate_}};
  }

  static Millis timeOfDay() {
    return std::chrono::duration_cast<Millis>(
        std::chrono::system_clock::now().time_since_epoch());
  }

  Millis born() const { return Born_; }
  /// What the worker's clock shows.
  Millis clock() const {
    const auto Elapsed = std::chrono::steady_clock::now() - Began_;
    return ClockOptions_.Start_ +
           std::chrono::duration_cast<Millis>(Elapsed * ClockOptions_.Rate_);
  }

  /// Keeps the highest fence; returns false for a lower one.
  bool admits(std::int64_t Fence) {
    Fence_ = std::max(Fence_, Fence);
    return Fence == Fence_;
  }

  /// Lets the lease last until a time on this clock, but no longer than the
  /// longest lease. It never shortens.
  void extendLease(Millis Until) {
    const Millis Latest = clock() + LongestLease;
    CutLease_ = CutLease_ || Until > Latest;
    LeaseEnd_ = std::max(LeaseEnd_, std::min(Until, Latest));
  }
  bool leaseExpired() const { return clock() >= LeaseEnd_; }
  /// Whether a lease was asked for that is longer than the longest one.
  bool cutLease() const { return CutLease_; }

private:
  Millis Born_;
  Clock ClockOptions_;
  std::chrono::steady_clock::time_point Began_ =
      std::chrono::steady_clock::now();
  std::int64_t Fence_ = 0;
  Millis LeaseEnd_{0};
  bool CutLease_ = false;
};

} // namespace heathercross::standin
