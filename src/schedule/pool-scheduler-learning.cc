// The run times that a pool's scheduler learns from the ends of runs.
#include "schedule/pool-scheduler.h"

#include <algorithm>

namespace heathercross::schedule {

void PoolScheduler::learnRunTime(Worker &W, const Job &J, const TaskKey &Key,
                                 const Run &R, Instant Now) {
  const StepSpec &S = J.spec().Steps_[Key.Step_];
  // Away from its data a task takes several times longer.
  const bool Remote = !S.DataRack_.empty() && S.DataRack_ != W.info().Rack_;
  if (!R.StartSeen_ || R.Phase_ != RunPhase::Working || Remote ||
      !hasOwnRunTime(S))
    return;
  const Micros RunTime = Now - R.ConfirmedAt_;
  RunTimes_.observe(J.queue(), S, RunTime);
}

} // namespace heathercross::schedule
