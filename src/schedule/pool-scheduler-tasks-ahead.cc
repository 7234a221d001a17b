// The tasks that a holder has to start before those of a new job.
#include "schedule/pool-scheduler.h"

namespace heathercross::schedule {

std::uint32_t PoolScheduler::tasksAhead(const Job &J, Instant Now,
                                        WallTime Wall) const {
  const Rank Own =
      rankOf(J, settings(J.queue()), Micros(0), meanWork(J.queue()));
  std::uint32_t Tasks = 0;
  for (const auto &[Id, Open] : Open_) {
    const Job &Other = *Open;
    if (!Other.hasWaiting() || Other.spec().longRunning() ||
        Other.spec().Repeats_ > 0)
      continue;
    if (timedRank(Other, 0, Now, Wall) <= Own)
      Tasks += Other.waitingTasks();
  }
  return Tasks;
}

} // namespace heathercross::schedule
