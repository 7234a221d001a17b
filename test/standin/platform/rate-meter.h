// Counts events in total and per second.
#pragma once

#include <algorithm>
#include <cstdint>

namespace heathercross::standin {

/// The total number of events and the maximum number within one clock second.
class RateMeter {
public:
  void count(std::int64_t NowMicros) {
    const std::int64_t Second = NowMicros / 1'000'000;
    InSecond_ = Second == Second_ ? InSecond_ + 1 : 1;
    Second_ = Second;
    Max_ = std::max(Max_, InSecond_);
    ++Total_;
  }
  std::int64_t total() const { return Total_; }
  std::int64_t maxPerSecond() const { return Max_; }

private:
  std::int64_t Second_ = 0;
  std::int64_t InSecond_ = 0;
  std::int64_t Max_ = 0;
  std::int64_t Total_ = 0;
};

} // namespace heathercross::standin
