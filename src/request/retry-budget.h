// Limits retries to a fraction of first tries.
#pragma once

#include <algorithm>

namespace heathercross::request {

/// A token bucket that first tries fill and retries drain, so that retries
/// can't amplify an outage.
class RetryBudget {
public:
  /// Share is the number of retries allowed per first try, Burst the capacity
  /// of the bucket, which starts full.
  RetryBudget(double Share, double Burst)
      : Share_(Share), Burst_(Burst), Tokens_(Burst) {}

  /// Adds the tokens that one first try earns.
  void earn() { Tokens_ = std::min(Burst_, Tokens_ + Share_); }

  /// Takes the token for one retry; returns false if there is none.
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
