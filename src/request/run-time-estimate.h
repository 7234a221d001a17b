// The learned run time of a pool's requests.
#pragma once

#include "heathercross/units.h"

#include <cstdint>

namespace heathercross::request {

/// Follows one quantile of a stream of durations in constant space: each value
/// above moves the estimate up by a step, each below moves it down, the steps
/// weighted so that they balance at the quantile.
class QuantileTracker {
public:
  explicit QuantileTracker(double Quantile) : Quantile_(Quantile) {}

  void observe(double Value);
  double value() const { return Value_; }
  void scale(double Factor) { Value_ *= Factor; }

private:
  double Quantile_;
  double Value_ = 0;
  bool Started_ = false;
};

/// What a request of a pool will probably take, learned from what was seen.
/// Declared run times are only used as far as the seen ones bear them out.
class RunTimeEstimate {
public:
  /// A request ran to its end. Declared is zero when the caller said nothing.
  void observe(Millis Declared, Micros Took);

  /// The expected run time.
  Micros expected(Millis Declared) const;

  /// The run time that the request will seldom exceed, for decisions in which
  /// a wrong guess wastes a slot.
  Micros cautious(Millis Declared) const;

  /// A request was refused on arrival because of the estimate. Lowers the
  /// estimate a little, so that refusals can't keep a wrong estimate alive
  /// forever.
  void refused();

  std::uint64_t samples() const { return Samples_; }

private:
  std::uint64_t Samples_ = 0;
  QuantileTracker Low_{0.1};
  QuantileTracker Middle_{0.5};
  QuantileTracker High_{0.9};
  QuantileTracker Ratio_{0.5};
};

} // namespace heathercross::request
