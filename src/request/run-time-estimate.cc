// The learned run time of a pool's requests: the arithmetic.
#include "request/run-time-estimate.h"

#include <algorithm>
#include <cmath>

namespace heathercross::request {

namespace {
/// How far one observation moves a tracked quantile, as a part of its value.
constexpr double StepShare = 0.05;
/// Observations before the learned values are believed.
constexpr std::uint64_t EnoughSamples = 8;
/// How far off declared run times may be, either way.
constexpr double DeclaredError = 4.0;
/// What a refusal takes off the estimate.
constexpr double RefusalFactor = 0.98;
/// Time for a request to reach the worker and its answer to come back late.
constexpr Micros CautionMargin{2000};
constexpr double MicrosPerMilli = 1000.0;

double declaredMicros(Millis Declared) {
  return static_cast<double>(Declared.count()) * MicrosPerMilli;
}

Micros micros(double Value) {
  return Micros(static_cast<std::int64_t>(std::llround(Value)));
}
} // namespace

void QuantileTracker::observe(double Value) {
  if (!Started_) {
    Value_ = Value;
    Started_ = true;
    return;
  }
  if (Value > Value_)
    Value_ = std::min(Value, Value_ * (1 + 2 * StepShare * Quantile_) + 1e-3);
  else if (Value < Value_)
    Value_ = std::max(Value, Value_ * (1 - 2 * StepShare * (1 - Quantile_)));
}

void RunTimeEstimate::observe(Millis Declared, Micros Took) {
  ++Samples_;
  const auto Seen =
      static_cast<double>(std::max<std::int64_t>(1, Took.count()));
  Low_.observe(Seen);
  Middle_.observe(Seen);
  High_.observe(Seen);
  if (Declared.count() > 0)
    Ratio_.observe(Seen / declaredMicros(Declared));
}

Micros RunTimeEstimate::expected(Millis Declared) const {
  const bool Said = Declared.count() > 0;
  if (Samples_ < EnoughSamples)
    return micros(declaredMicros(Declared) / DeclaredError);
  if (!Said || Ratio_.value() <= 0)
    return micros(Middle_.value());
  const double Corrected = declaredMicros(Declared) * Ratio_.value();
  const double Highest = std::max(Low_.value(), High_.value());
  return micros(std::clamp(Corrected, Low_.value(), Highest));
}

Micros RunTimeEstimate::cautious(Millis Declared) const {
  const Micros Expected = expected(Declared);
  if (Samples_ < EnoughSamples)
    return Expected;
  return std::clamp(micros(High_.value()), Expected, 2 * Expected) +
         CautionMargin;
}

void RunTimeEstimate::refused() {
  Low_.scale(RefusalFactor);
  Middle_.scale(RefusalFactor);
  High_.scale(RefusalFactor);
  Ratio_.scale(RefusalFactor);
}

} // namespace heathercross::request
