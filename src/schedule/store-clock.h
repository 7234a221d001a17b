// The store's steady clock as seen from an entry instance.
#pragma once

#include "heathercross/units.h"

#include <optional>

namespace heathercross::schedule {

/// Converts between the local clock and the store's. A time on the store's
/// clock keeps its meaning for a later holder, whose local clock is another.
/// Both run at the same rate; the store reads its clock between the moments at
/// which a call is sent and its answer is received.
class StoreClock {
public:
  /// Takes in the clock in an answer of the store.
  void answered(Millis Clock, Instant SentAt, Instant ReceivedAt) {
    Sample_ = Sample{Clock, SentAt, ReceivedAt};
  }
  /// The latest time that the store's clock can show at a local time; nothing
  /// before the first answer.
  std::optional<Millis> latestAt(Instant Local) const {
    if (!Sample_)
      return std::nullopt;
    return Sample_->Clock_ +
           std::chrono::ceil<Millis>(Local - Sample_->SentAt_);
  }
  /// The local time at which the store's clock has certainly reached a time;
  /// nothing before the first answer.
  std::optional<Instant> reachedBy(Millis Clock) const {
    if (!Sample_)
      return std::nullopt;
    return Sample_->ReceivedAt_ + (Clock - Sample_->Clock_);
  }

private:
  struct Sample {
    Millis Clock_{0};
    Instant SentAt_;
    Instant ReceivedAt_;
  };
  std::optional<Sample> Sample_;
};

} // namespace heathercross::schedule
