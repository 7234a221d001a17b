// The rate at which a holder can start tasks while it is its own limit.
#include "schedule/start-rate.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// Samples older than this are dropped.
constexpr Micros Window{Seconds(2)};
/// Minimum limited time of a sample, so that a few answers at once don't count
/// as a high rate.
constexpr Micros SampleTime{Millis(400)};
/// Longest time between two rounds that counts as limited. Rounds are at most
/// 0.1 s apart on an entry with 0.12 of a core; a process that was suspended
/// longer says nothing about its rate.
constexpr Micros MaxRoundGap{Millis(400)};
constexpr Millis MinRetryAfter{1000};
constexpr Millis MaxRetryAfter{4000};

double seconds(Micros T) { return std::chrono::duration<double>(T).count(); }

} // namespace

void StartRate::roundEnded(bool HeldBack, Instant Now) {
  const Micros Gap = Now - LastRound_;
  if (HeldBack_ && Gap <= MaxRoundGap) {
    if (Samples_.empty() || Samples_.back().Limited_ >= SampleTime)
      Samples_.push_back({LastRound_});
    Samples_.back().Limited_ += Gap;
    Samples_.back().Answers_ += Answers_;
  }
  Answers_ = 0;
  HeldBack_ = HeldBack;
  LastRound_ = Now;
  dropOld(Now);
}

void StartRate::startAnswered(Instant) { ++Answers_; }

void StartRate::dropOld(Instant Now) {
  while (!Samples_.empty() && Now - Samples_.front().Start_ > Window)
    Samples_.pop_front();
}

std::optional<double> StartRate::tasksPerSecond(Instant Now) const {
  // The highest sample counts: orders to workers that don't answer occupy the
  // limit for a while, and a rejected job never runs.
  std::optional<double> Highest;
  for (const Sample &S : Samples_)
    if (S.Limited_ >= SampleTime && S.Answers_ > 0 && Now - S.Start_ <= Window)
      Highest = std::max(Highest.value_or(0),
                         static_cast<double>(S.Answers_) / seconds(S.Limited_));
  return Highest;
}

Micros StartRate::startWait(std::uint32_t Tasks, Instant Now) const {
  const auto Rate = tasksPerSecond(Now);
  if (!Rate)
    return Micros(0);
  constexpr double MicrosPerSecond = 1e6;
  return Micros(static_cast<std::int64_t>(static_cast<double>(Tasks) / *Rate *
                                          MicrosPerSecond));
}

Millis retryAfterStarts(Micros Wait) {
  return std::clamp(toMillis(Wait), MinRetryAfter, MaxRetryAfter);
}

} // namespace heathercross::schedule
