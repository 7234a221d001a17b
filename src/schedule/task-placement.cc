// Which worker a task goes to.
#include "schedule/task-placement.h"

#include <algorithm>
#include <tuple>

namespace heathercross::schedule {

namespace {

bool suits(const Candidate &C, const PlacementRequest &R) {
  const WorkerInfo &Info = C.Worker_->info();
  if (!R.Reserved_.fits(C.Worker_->free()))
    return false;
  if (R.MaxPerWorker_ > 0 && C.SameStep_ >= R.MaxPerWorker_)
    return false;
  if (R.RackRequired_ && Info.Rack_ != R.Rack_)
    return false;
  return R.Label_.empty() ||
         std::ranges::find(Info.Labels_, R.Label_) != Info.Labels_.end();
}

/// Lower is better.
auto order(const Candidate &C, const PlacementRequest &R) {
  const bool Avoided = C.Worker_->info().Id_ == R.Avoid_;
  const bool Far = !R.Rack_.empty() && C.Worker_->info().Rack_ != R.Rack_;
  const std::uint32_t Company = R.Lasting_ ? C.Lasting_ : 0;
  Resources Left = C.Worker_->free();
  Left -= R.Reserved_;
  return std::tuple(Avoided, Far, -static_cast<std::int64_t>(Company),
                    Left.CpuMilli_);
}

} // namespace

Worker *choose(const std::vector<Candidate> &Candidates,
               const PlacementRequest &Request) {
  const Candidate *Best = nullptr;
  decltype(order(Candidates.front(), Request)) BestOrder;
  for (const Candidate &C : Candidates) {
    if (!suits(C, Request))
      continue;
    const auto Order = order(C, Request);
    if (Best && Order >= BestOrder)
      continue;
    Best = &C;
    BestOrder = Order;
  }
  return Best ? Best->Worker_ : nullptr;
}

} // namespace heathercross::schedule
