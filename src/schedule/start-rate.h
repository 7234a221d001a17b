// The rate at which a holder can start tasks while it is its own limit.
//
// Load: after a loss of all power an entry with 0.12 of a core holds the duty
// of a pool. Start orders take it 30 to 60 ms instead of 5, so it starts 150 to
// 550 tasks a second although most of the pool is free. Jobs that are accepted
// by the pool's capacity alone start long after their time.
#pragma once

#include "schedule/job.h"
#include "schedule/ranking.h"

#include <deque>
#include <optional>

namespace heathercross::schedule {

/// Estimates the start rate from the answers to start orders during the time in
/// which the limit of unanswered orders held back further ones.
class StartRate {
public:
  /// Records the end of a scheduling round and whether it held back orders.
  void roundEnded(bool HeldBack, Instant Now);
  /// Records that a worker answered a start order.
  void startAnswered(Instant Now);

  /// Returns the rate in tasks per second; nothing if the limit wasn't reached
  /// lately or for too short a time.
  std::optional<double> tasksPerSecond(Instant Now) const;
  /// Returns how long it takes to start this many tasks; 0 without an estimate.
  Micros startWait(std::uint32_t Tasks, Instant Now) const;

private:
  /// An interval in which the limit was reached.
  struct Sample {
    Instant Start_;
    Micros Limited_{0};
    std::uint32_t Answers_ = 0;
  };
  void dropOld(Instant Now);

  std::deque<Sample> Samples_;
  Instant LastRound_;
  std::uint32_t Answers_ = 0;
  bool HeldBack_ = false;
};

/// Returns Retry-After for a job that the holder can't start in time, from the
/// wait for its start.
Millis retryAfterStarts(Micros Wait);

} // namespace heathercross::schedule
