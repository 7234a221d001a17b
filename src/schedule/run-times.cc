// Learns the run times of a pool's tasks from their ends.
#include "schedule/run-times.h"

#include <algorithm>
#include <cmath>

namespace heathercross::schedule {

RunTimes::Kind RunTimes::kindOf(const QueueId &Queue, const StepSpec &S) {
  return S.Image_.empty() ? Kind("", Queue) : Kind(S.Image_, QueueId());
}

void RunTimes::observe(const QueueId &Queue, const StepSpec &S,
                       Micros RunTime) {
  const Kind K = kindOf(Queue, S);
  if (!Kinds_.contains(K))
    makeRoom();
  Learned &L = Kinds_[K];
  L.LastUse_ = ++Uses_;
  if (L.Estimate_.measured())
    return L.Estimate_.observe(S.Estimate_, RunTime);
  L.First_.push_back({S.Estimate_, RunTime});
  if (L.First_.size() == RunTimeEstimate::MinSamples)
    observeFirst(L);
}

void RunTimes::observeFirst(Learned &L) {
  // A quantile tracker starts at its first value and then moves in small steps,
  // so an exceptionally long run must not be the first one.
  const auto Length = [](const Sample &S) { return S.RunTime_; };
  std::ranges::sort(L.First_, {}, Length);
  const Micros Median = L.First_[L.First_.size() / 2].RunTime_;
  std::ranges::stable_sort(L.First_, {}, [Median](const Sample &S) {
    return std::abs((S.RunTime_ - Median).count());
  });
  for (const Sample &S : L.First_)
    L.Estimate_.observe(S.Declared_, S.RunTime_);
  L.First_ = {};
}

void RunTimes::makeRoom() {
  if (Kinds_.size() < MaxKinds)
    return;
  Kinds_.erase(std::ranges::min_element(
      Kinds_, {}, [](const auto &Entry) { return Entry.second.LastUse_; }));
}

const RunTimeEstimate *RunTimes::find(const QueueId &Queue,
                                      const StepSpec &S) const {
  const auto It = Kinds_.find(kindOf(Queue, S));
  return It != Kinds_.end() && It->second.Estimate_.measured()
             ? &It->second.Estimate_
             : nullptr;
}

} // namespace heathercross::schedule
