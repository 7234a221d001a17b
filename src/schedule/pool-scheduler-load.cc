// The load of a pool: demand, capacity and queued work, for sizing and
// admission.
#include "schedule/pool-scheduler.h"

#include <algorithm>

namespace heathercross::schedule {

std::uint32_t PoolScheduler::queuedJobs(const QueueId &Queue,
                                        const IngressId &Ingress) const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Open_, [&](const auto &Entry) {
        const Job &J = *Entry.second;
        if (J.state() != JobState::Queued)
          return false;
        const IngressId &Of = settings(J.queue()).Ingress_;
        return Of.empty() || Ingress.empty() ? J.queue() == Queue
                                             : Of == Ingress;
      }));
}

void PoolScheduler::recordArrival(const Job &J, Instant Now) {
  if (J.spec().longRunning() || J.spec().Repeats_ > 0)
    return;
  Arrivals_[J.queue()].recordArrival(J.remainingWork(), Now);
  if (J.share() == accounts::RateShare::Guaranteed)
    GuaranteedArrivals_[J.queue()].recordArrival(J.remainingWork(), Now);
}

double PoolScheduler::cores() const {
  constexpr double MilliPerCore = 1000;
  double Sum = 0;
  for (const auto &[Id, W] : Workers_)
    if (W.hasReported() && W.Registered_ && !W.UnresponsiveSince_ &&
        !W.info().Draining_)
      Sum += static_cast<double>(W.info().Capacity_.CpuMilli_) / MilliPerCore;
  return Sum;
}

double PoolScheduler::coresFor(const Resources &R) const {
  constexpr double MilliPerCore = 1000;
  const auto Share = [](std::int64_t Part, std::int64_t Whole) {
    return Whole > 0 ? static_cast<double>(Part) / static_cast<double>(Whole)
                     : 0.0;
  };
  const double MaxShare = std::max({Share(R.CpuMilli_, MaxCapacity_.CpuMilli_),
                                    Share(R.MemoryMb_, MaxCapacity_.MemoryMb_),
                                    Share(R.Gpus_, MaxCapacity_.Gpus_)});
  return MaxShare * static_cast<double>(MaxCapacity_.CpuMilli_) / MilliPerCore;
}

Demand PoolScheduler::demand(Instant Now, WallTime Wall) const {
  Demand D;
  for (const auto &[Queue, Rate] : Arrivals_)
    D.Arriving_ += Rate.cores(Now);
  for (const auto &[Id, W] : Workers_)
    for (const auto &[Key, R] : W.runs()) {
      const double Cores = coresFor(R.Reserved_);
      (R.LongRunning_ ? D.LongRunning_ : D.Running_) += Cores;
    }
  for (const auto &[Id, J] : Open_)
    for (const StepSpec &S : J->spec().Steps_)
      if (S.LongRunning_)
        D.MinWorkers_ =
            std::max(D.MinWorkers_,
                     S.MaxPerWorker_ > 0
                         ? (S.Count_ + S.MaxPerWorker_ - 1) / S.MaxPerWorker_
                         : 1);
  std::map<AccountId, Resources> AccountUsed;
  for (const ReadyStep &S : readySteps(Now, Wall)) {
    const StepSpec &Spec = S.Job_->spec().Steps_[S.Step_];
    const std::uint32_t Waiting = reachableTasks(S, AccountUsed);
    const double Cores =
        static_cast<double>(Waiting) * coresFor(Spec.reserved());
    (S.Rank_.Urgency_ <= Urgency::InTime ? D.WaitingInTime_ : D.WaitingLate_) +=
        Cores;
  }
  return D;
}

PoolScheduler::Backlog PoolScheduler::backlogAhead(const Job &J, Instant Now,
                                                   WallTime Wall) const {
  const Rank Own =
      rankOf(J, settings(J.queue()), Micros(0), meanWork(J.queue()));
  Backlog Ahead;
  for (const auto &[Id, Open] : Open_) {
    const Job &Other = *Open;
    if (Other.spec().longRunning() || Other.spec().Repeats_ > 0)
      continue;
    if (timedRank(Other, 0, Now, Wall) > Own)
      continue;
    Ahead.CoreSeconds_ += Other.remainingWork();
    Ahead.Tasks_ += Other.waitingTasks();
  }
  return Ahead;
}

double PoolScheduler::workAhead(const Job &J, Instant Now,
                                WallTime Wall) const {
  return backlogAhead(J, Now, Wall).CoreSeconds_;
}

void PoolScheduler::updateIdleCores(const std::vector<ReadyStep> &Ready) {
  IdleCores_ = cores();
  for (const auto &[Id, W] : Workers_)
    IdleCores_ -= coresFor(W.used());
  for (const ReadyStep &S : Ready)
    if (S.Rank_.Urgency_ <= Urgency::InTime)
      IdleCores_ -= S.Job_->step(S.Occurrence_, S.Step_).waitingCount() *
                    coresFor(S.Job_->spec().Steps_[S.Step_].reserved());
}

PoolLoad PoolScheduler::loadAhead(const Job &J, Instant Now,
                                  WallTime Wall) const {
  PoolLoad L;
  L.Cores_ = cores();
  const Backlog Ahead = backlogAhead(J, Now, Wall);
  L.WorkAhead_ = Ahead.CoreSeconds_;
  L.TasksAhead_ = Ahead.Tasks_;
  L.IdleCores_ = IdleCores_;
  for (const auto &[Queue, Rate] : GuaranteedArrivals_)
    L.GuaranteedArriving_ += Rate.steadyCores(Now);
  for (const StepSpec &S : J.spec().Steps_)
    L.NeededCores_ =
        std::max(L.NeededCores_, S.Count_ * coresFor(S.reserved()));
  return L;
}

} // namespace heathercross::schedule
