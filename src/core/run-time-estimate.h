// Estimates the run time of requests or tasks from past ones.
#pragma once

#include "heathercross/units.h"

#include <cstdint>

namespace heathercross {

/// Tracks one quantile of a stream of values in constant space. Each value
/// above the estimate raises it by a step and each value below lowers it; the
/// steps are weighted so that they balance at the quantile.
class QuantileTracker {
public:
  explicit QuantileTracker(double Quantile) : Quantile_(Quantile) {}

  void observe(double Value);
  double value() const { return Value_; }
  void scale(double Factor) { Value_ *= Factor; }

private:
  double Quantile_;
  double Value_ = 0;
  bool Initialized_ = false;
};

/// Estimates the run time of a pool's requests from measured ones. Declared run
/// times are corrected by their median error and limited to the measured range.
class RunTimeEstimate {
public:
  /// Adds the run time of a completed request. Declared is zero if the caller
  /// declared none.
  void observe(Millis Declared, Micros RunTime);

  /// Returns the expected run time.
  Micros expected(Millis Declared) const;

  /// Returns a run time that the request will seldom exceed, for decisions
  /// where an underestimate wastes a slot.
  Micros conservative(Millis Declared) const;

  /// Lowers the estimate slightly after it caused a refusal. Refused requests
  /// yield no measurements, so a wrong estimate would otherwise never change.
  void refused();

  std::uint64_t samples() const { return Samples_; }

  /// Number of observations before the measured values are used.
  static constexpr std::uint64_t MinSamples = 8;
  /// Whether the estimate rests on measured run times.
  bool measured() const { return Samples_ >= MinSamples; }

private:
  std::uint64_t Samples_ = 0;
  QuantileTracker Percentile10_{0.1};
  QuantileTracker Median_{0.5};
  QuantileTracker Percentile90_{0.9};
  QuantileTracker MeasuredPerDeclared_{0.5};
};

} // namespace heathercross
