// How a worker's run times compare with those of other workers.
//
// Load: some workers run all their tasks several times slower for some seconds,
// and 3% of the tasks take seven times as long on any worker.
#pragma once

#include "heathercross/units.h"

#include <algorithm>
#include <cstddef>
#include <deque>

namespace heathercross::schedule {

/// The recent run times of one worker, relative to those expected.
class WorkerSpeed {
public:
  /// Records the end of a task that took Ratio times as long as expected.
  void record(double Ratio, Instant Now) {
    Recent_.push_back({Ratio, Now});
    if (Recent_.size() > MaxRecent)
      Recent_.pop_front();
  }

  /// Whether most of the tasks that ended lately took far longer than expected.
  /// A single long task doesn't make a worker slow.
  bool isSlow(Instant Now) const {
    const auto IsRecent = [Now](const Sample &S) {
      return Now - S.At_ <= Memory;
    };
    const auto IsLong = [&](const Sample &S) {
      return IsRecent(S) && S.Ratio_ >= SlowRatio;
    };
    const auto Known = std::ranges::count_if(Recent_, IsRecent);
    return Known >= MinTasks &&
           2 * std::ranges::count_if(Recent_, IsLong) > Known;
  }

private:
  struct Sample {
    double Ratio_ = 1;
    Instant At_;
  };

  static constexpr std::size_t MaxRecent = 8;
  /// With four tasks, three have to be long: 3% of independent tasks are long,
  /// so this happens by chance in about one of 9,000 cases.
  static constexpr std::ptrdiff_t MinTasks = 4;
  static constexpr double SlowRatio = 2;
  /// A worker without evidence gets tasks again, which show its speed anew.
  static constexpr Millis Memory{6000};

  std::deque<Sample> Recent_;
};

} // namespace heathercross::schedule
