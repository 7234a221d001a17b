// When the requests of an open-loop run are due, and for which pool.
#include "arrivals.h"

#include <cmath>

namespace heathercross::standin {
namespace {

constexpr double BurstFactor = 5;
constexpr double QuietFactor = 1.0 / 20;
constexpr double MicrosPerSecond = 1e6;

} // namespace

double Arrivals::factor(std::size_t Pool, std::int64_t At) const {
  if (!Options_.Bursts_)
    return 1;
  const double Seconds = static_cast<double>(At) / MicrosPerSecond;
  const auto Turn = static_cast<std::size_t>(Seconds / Options_.BurstSeconds_);
  const std::size_t Count = Options_.Pools_.size();
  if (Turn % Count == Pool)
    return BurstFactor;
  const bool JustBurst = Turn > 0 && (Turn - 1) % Count == Pool;
  return JustBurst ? QuietFactor : 1;
}

double Arrivals::totalRate(std::int64_t At) const {
  double Sum = 0;
  for (std::size_t Pool = 0; Pool < Options_.Pools_.size(); ++Pool)
    Sum += factor(Pool, At);
  return Options_.Rate_ * Sum / static_cast<double>(Options_.Pools_.size());
}

std::size_t Arrivals::drawPool(std::int64_t At) {
  std::vector<double> Weights;
  for (std::size_t Pool = 0; Pool < Options_.Pools_.size(); ++Pool)
    Weights.push_back(factor(Pool, At));
  return std::discrete_distribution<std::size_t>(Weights.begin(),
                                                 Weights.end())(Random_);
}

Arrival Arrivals::next() {
  const auto Now = static_cast<std::int64_t>(At_);
  At_ += std::exponential_distribution<>(totalRate(Now))(Random_) *
         MicrosPerSecond;
  const auto At = static_cast<std::int64_t>(At_);
  return {At, Options_.Pools_.size() == 1 ? 0 : drawPool(At)};
}

} // namespace heathercross::standin
