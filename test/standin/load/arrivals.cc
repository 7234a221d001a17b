// Generates the arrival times and pools of the requests of an open-loop run.
#include "arrivals.h"

#include <cmath>

namespace heathercross::standin {
namespace {

constexpr double BurstFactor = 5;
constexpr double AfterBurstFactor = 1.0 / 20;
constexpr double MicrosPerSecond = 1e6;

} // namespace

double Arrivals::rateFactor(std::size_t Pool, std::int64_t TimeUs) const {
  if (!Options_.Bursts_)
    return 1;
  const double Seconds = static_cast<double>(TimeUs) / MicrosPerSecond;
  const auto TurnIndex =
      static_cast<std::size_t>(Seconds / Options_.BurstSeconds_);
  const std::size_t Count = Options_.Pools_.size();
  if (TurnIndex % Count == Pool)
    return BurstFactor;
  const bool JustBurst = TurnIndex > 0 && (TurnIndex - 1) % Count == Pool;
  return JustBurst ? AfterBurstFactor : 1;
}

double Arrivals::totalRate(std::int64_t TimeUs) const {
  double Sum = 0;
  for (std::size_t Pool = 0; Pool < Options_.Pools_.size(); ++Pool)
    Sum += rateFactor(Pool, TimeUs);
  return Options_.Rate_ * Sum / static_cast<double>(Options_.Pools_.size());
}

std::size_t Arrivals::drawPool(std::int64_t TimeUs) {
  std::vector<double> Weights;
  for (std::size_t Pool = 0; Pool < Options_.Pools_.size(); ++Pool)
    Weights.push_back(rateFactor(Pool, TimeUs));
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(Random_);
}

Arrival Arrivals::next() {
  const auto Now = static_cast<std::int64_t>(TimeUs_);
  TimeUs_ += std::exponential_distribution<>(totalRate(Now))(Random_) *
             MicrosPerSecond;
  const auto TimeUs = static_cast<std::int64_t>(TimeUs_);
  return {TimeUs, Options_.Pools_.size() == 1 ? 0 : drawPool(TimeUs)};
}

} // namespace heathercross::standin
