// The retry budget: retries as a bounded share of first tries.
#pragma once

#include <algorithm>

namespace heathercross::request {

/// A token bucket filled by first tries and emptied by retries, so that
/// retries can't multiply an outage.
class RetryBudget {
public:
  /// Share is the retries allowed for each first try, Burst the most that can
  /// be saved up; the bucket starts full.
  RetryBudget(double Share, double Burst)
      : Share_(Share), Burst_(Burst), Tokens_(Burst) {}

  /// Notes a first try.
  void earn() { Tokens_ = std::min(Burst_, Tokens_ + Share_); }

  /// Takes the token for one retry; false when there is none.
  bool take() {
    if (Tokens_ < 1.0)
      return false;
    Tokens_ -= 1.0;
    return true;
  }

  double tokens() const { return Tokens_; }

private:
  double Share_;
  double Burst_;
  double Tokens_;
};

} // namespace heathercross::request
