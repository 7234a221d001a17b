// Selects the worker for a task.
#include "schedule/task-placement.h"

#include <algorithm>
#include <tuple>

namespace heathercross::schedule {

namespace {

bool isSuitable(const Candidate &C, const PlacementRequest &R) {
  const WorkerInfo &Info = C.Worker_->info();
  if (!R.Reserved_.fits(C.Worker_->free()))
    return false;
  if (!R.Required_.empty() && Info.Id_ != R.Required_)
    return false;
  if (R.MaxPerWorker_ > 0 && C.SameStep_ >= R.MaxPerWorker_)
    return false;
  if (R.RackRequired_ && Info.Rack_ != R.Rack_)
    return false;
  return R.Label_.empty() ||
         std::ranges::find(Info.Labels_, R.Label_) != Info.Labels_.end();
}

/// The sort key of a candidate; the smallest is best.
auto sortKey(const Candidate &C, const PlacementRequest &R) {
  const bool Avoided = C.Worker_->info().Id_ == R.Avoid_;
  const bool OtherRack = !R.Rack_.empty() && C.Worker_->info().Rack_ != R.Rack_;
  const std::uint32_t Colocated = R.LongRunning_ ? C.LongRunning_ : 0;
  Resources Remaining = C.Worker_->free();
  Remaining -= R.Reserved_;
  return std::tuple(C.Slow_, Avoided, OtherRack,
                    -static_cast<std::int64_t>(Colocated), Remaining.CpuMilli_);
}

} // namespace

Worker *choose(const std::vector<Candidate> &Candidates,
               const PlacementRequest &Request) {
  const Candidate *Best = nullptr;
  decltype(sortKey(Candidates.front(), Request)) BestKey;
  for (const Candidate &C : Candidates) {
    if (!isSuitable(C, Request))
      continue;
    const auto Key = sortKey(C, Request);
    if (Best && Key >= BestKey)
      continue;
    Best = &C;
    BestKey = Key;
  }
  return Best ? Best->Worker_ : nullptr;
}

} // namespace heathercross::schedule
