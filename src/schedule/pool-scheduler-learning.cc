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
  if (const RunTimeEstimate *E = RunTimes_.find(J.queue(), S)) {
    const auto Expected =
        std::max<std::int64_t>(1, E->conservative(S.Estimate_).count());
    const bool WasSlow = W.Speed_.isSlow(Now);
    W.Speed_.record(static_cast<double>(RunTime.count()) /
                        static_cast<double>(Expected),
                    Now);
    if (!WasSlow && W.Speed_.isSlow(Now))
      logDecision("worker-slow", Key, R.Attempt_, W.info().Id_,
                  "took_ms=" + std::to_string(toMillis(RunTime).count()) +
                      " expected_ms=" +
                      std::to_string(toMillis(Micros(Expected)).count()));
  }
  RunTimes_.observe(J.queue(), S, RunTime);
}

} // namespace heathercross::schedule
