// Estimates the run time of requests or tasks from past ones.
#include "core/run-time-estimate.h"

#include <algorithm>
#include <cmath>

namespace heathercross {

namespace {
/// Step size of a quantile tracker, as a fraction of its value.
constexpr double StepFraction = 0.05;
/// Factor by which declared run times may be wrong, in either direction.
constexpr double DeclaredError = 4.0;
/// Factor that a refusal applies to the estimates.
constexpr double RefusalFactor = 0.98;
/// Allowance for the network latency of the request and of a late answer.
constexpr Micros LatencyMargin{2000};
/// Minimum increase, so that an estimate of zero can rise.
constexpr double MinStep = 1e-3;
constexpr double MicrosPerMilli = 1000.0;

double declaredMicros(Millis Declared) {
  return static_cast<double>(Declared.count()) * MicrosPerMilli;
}

Micros micros(double Value) {
  return Micros(static_cast<std::int64_t>(std::llround(Value)));
}
} // namespace

void QuantileTracker::observe(double Value) {
  if (!Initialized_) {
    Value_ = Value;
    Initialized_ = true;
    return;
  }
  if (Value > Value_)
    Value_ =
        std::min(Value, Value_ * (1 + 2 * StepFraction * Quantile_) + MinStep);
  else if (Value < Value_)
    Value_ = std::max(Value, Value_ * (1 - 2 * StepFraction * (1 - Quantile_)));
}

void RunTimeEstimate::observe(Millis Declared, Micros RunTime) {
  ++Samples_;
  const auto Measured =
      static_cast<double>(std::max<std::int64_t>(1, RunTime.count()));
  Percentile10_.observe(Measured);
  Median_.observe(Measured);
  Percentile90_.observe(Measured);
  if (Declared.count() > 0)
    MeasuredPerDeclared_.observe(Measured / declaredMicros(Declared));
}

Micros RunTimeEstimate::expected(Millis Declared) const {
  const bool IsDeclared = Declared.count() > 0;
  if (Samples_ < MinSamples)
    return micros(declaredMicros(Declared) / DeclaredError);
  if (!IsDeclared || MeasuredPerDeclared_.value() <= 0)
    return micros(Median_.value());
  const double Corrected =
      declaredMicros(Declared) * MeasuredPerDeclared_.value();
  const double UpperLimit =
      std::max(Percentile10_.value(), Percentile90_.value());
  return micros(std::clamp(Corrected, Percentile10_.value(), UpperLimit));
}

Micros RunTimeEstimate::conservative(Millis Declared) const {
  const Micros Expected = expected(Declared);
  if (Samples_ < MinSamples)
    return Expected;
  return std::clamp(micros(Percentile90_.value()), Expected, 2 * Expected) +
         LatencyMargin;
}

void RunTimeEstimate::refused() {
  Percentile10_.scale(RefusalFactor);
  Median_.scale(RefusalFactor);
  Percentile90_.scale(RefusalFactor);
  MeasuredPerDeclared_.scale(RefusalFactor);
}

} // namespace heathercross
