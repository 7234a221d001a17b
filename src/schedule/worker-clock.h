// The clock of a worker as seen from its pool's holder.
#pragma once

#include "heathercross/units.h"

namespace heathercross::schedule {

/// Converts between the local clock and that of one life of a worker, on which
/// the leases of its runs are counted. Both run at nearly the same rate; a
/// worker that starts again begins a new clock. The worker reads its clock
/// between the moments at which a call is sent and its answer is received.
class WorkerClock {
public:
  /// Takes in the clock in an answer.
  void answered(Millis Shown, Instant ReceivedAt) {
    Shown_ = Shown;
    ReceivedAt_ = ReceivedAt;
  }
  /// Whether an answer has been taken in.
  bool known() const { return Shown_ > Millis(0); }
  /// What the clock shows at a local time, as far as the last answer tells.
  Millis at(Instant Local) const {
    return Shown_ + toMillis(Local - ReceivedAt_);
  }
  /// Whether the answer to a call may come from the life whose clock this is.
  /// The answer of a life that began later is behind, and a lease that was
  /// counted on this clock lasts longer there.
  bool agrees(Millis Shown, Instant SentAt, Instant ReceivedAt) const {
    return Shown >= at(SentAt) - drift(SentAt) &&
           Shown <= at(ReceivedAt) + MaxReadDelay + drift(ReceivedAt);
  }

private:
  /// An answer is received at most this long after the worker has read its
  /// clock.
  static constexpr Millis MaxReadDelay{1500};
  /// The clocks differ by at most the elapsed time divided by this.
  static constexpr int MaxDriftDivisor = 20;

  /// Clocks are rounded to milliseconds at both ends.
  Millis drift(Instant Local) const {
    return toMillis(Local - ReceivedAt_) / MaxDriftDivisor + Millis(2);
  }

  /// What the clock showed in the last answer.
  Millis Shown_{0};
  Instant ReceivedAt_;
};

} // namespace heathercross::schedule
