// The attempts of one call that may still take effect.
#pragma once

#include "heathercross/ids.h"

#include <set>

namespace heathercross::schedule {

/// The attempts to have one call carried out that may have taken effect, or may
/// still do so. An attempt is open from the moment it is made, so that one
/// whose outcome isn't followed up counts as uncertain.
class OpenAttempts {
public:
  /// An attempt is made at the holder of an epoch.
  void begin(Epoch E) { Epochs_.insert(E); }
  /// An attempt at the holder of this epoch had no effect and never will.
  void ruleOut(Epoch E) {
    if (const auto It = Epochs_.find(E); It != Epochs_.end())
      Epochs_.erase(It);
  }

  bool any() const { return !Epochs_.empty(); }
  /// Whether a rejection by the holder of an epoch, itself ruled out, means
  /// that no attempt takes effect: a holder has read all that holders of
  /// earlier epochs stored, and they can't store any more.
  bool excludedBy(Epoch Rejecting) const {
    return Epochs_.empty() || *Epochs_.rbegin() < Rejecting;
  }

private:
  std::multiset<Epoch> Epochs_;
};

} // namespace heathercross::schedule
