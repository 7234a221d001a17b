// Estimates the run time of a pool's requests from past ones.
#include "request/run-time-estimate.h"

#include <algorithm>
#include <cmath>

namespace heathercross::request {

namespace {
/// Step size of a quantile tracker, as a fraction of its value.
constexpr double StepFraction = 0.05;
/// Number of observations before the measured values are used.
constexpr std::uint64_t MinSamples = 8;
/// Factor by which declared run times may be wrong, in either direction.
constexpr double DeclaredError = 4.0;
/// Factor that a refusal applies to the estimates.
constexpr double RefusalFactor = 0.98;
/// Allowance for the network latency of the request and of a late answer.
constexpr Micros LatencyMargin{2000};
/// Lets an estimate of zero rise.
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
  Low_.observe(Measured);
  Middle_.observe(Measured);
  High_.observe(Measured);
  if (Declared.count() > 0)
    Ratio_.observe(Measured / declaredMicros(Declared));
}

Micros RunTimeEstimate::expected(Millis Declared) const {
  const bool IsDeclared = Declared.count() > 0;
  if (Samples_ < MinSamples)
    return micros(declaredMicros(Declared) / DeclaredError);
  if (!IsDeclared || Ratio_.value() <= 0)
    return micros(Middle_.value());
  const double Corrected = declaredMicros(Declared) * Ratio_.value();
  const double Highest = std::max(Low_.value(), High_.value());
  return micros(std::clamp(Corrected, Low_.value(), Highest));
}

Micros RunTimeEstimate::conservative(Millis Declared) const {
  const Micros Expected = expected(Declared);
  if (Samples_ < MinSamples)
    return Expected;
  return std::clamp(micros(High_.value()), Expected, 2 * Expected) +
         LatencyMargin;
}

void RunTimeEstimate::refused() {
  Low_.scale(RefusalFactor);
  Middle_.scale(RefusalFactor);
  High_.scale(RefusalFactor);
  Ratio_.scale(RefusalFactor);
}

} // namespace heathercross::request
