// What accounts with a limit use in a pool, and which of their tasks may start.
#include "schedule/pool-scheduler.h"

#include <algorithm>

namespace heathercross::schedule {

namespace {

/// Occurrences of a restored job that may have runs on awaited workers.
constexpr std::uint32_t MaxAwaitedOccurrences = 16;
/// Tasks end all the time: this part of the pool's capacity may become free
/// before a larger share of a limit is stored.
constexpr std::int64_t CapacityPerTurnover = 8;

/// What the former holder may have started of an occurrence. The steps that are
/// not ready may run instead of those that are: their predecessors' ends may
/// not have been stored.
Resources mayRun(const Job &J, std::uint32_t OccurrenceIndex, WallTime Wall) {
  Resources Ready;
  Resources Later;
  const auto &Steps = J.spec().Steps_;
  for (std::uint32_t S = 0; S < Steps.size(); ++S) {
    const Resources R =
        times(Steps[S].Needs_, J.step(OccurrenceIndex, S).waitingCount());
    if (J.ready(OccurrenceIndex, S, Wall))
      Ready += R;
    else
      Later = mostOf(Later, R);
  }
  return mostOf(Ready, Later);
}

} // namespace

std::map<AccountId, Resources>
PoolScheduler::awaitedUsage(Instant Now, WallTime Wall) const {
  const Instant Held = knownHeldAt(Now);
  std::map<AccountId, Resources> Usage;
  Resources Room;
  bool RoomKnown = true;
  bool Any = false;
  for (const auto &[Id, Until] : Awaited_) {
    if (Held >= Until)
      continue;
    Any = true;
    const auto It = Workers_.find(Id);
    const Resources Capacity =
        It == Workers_.end() ? Resources() : It->second.info().Capacity_;
    const Resources &R = Capacity == Resources() ? MaxCapacity_ : Capacity;
    RoomKnown = RoomKnown && R != Resources();
    Room += R;
  }
  if (!Any)
    return Usage;
  for (const auto &[Id, J] : Open_) {
    if (!J->hasWaiting() || !Accounts_.allowance(J->account()) ||
        !Restored_.contains(Id))
      continue;
    const Occurrences &All = J->occurrences();
    const std::uint32_t First = All.firstOpen();
    for (std::uint32_t O = First;
         O < All.count() && O - First < MaxAwaitedOccurrences &&
         J->isDue(O, Wall);
         ++O)
      if (!All[O].done())
        Usage[J->account()] += mayRun(*J, O, Wall);
  }
  if (RoomKnown)
    for (auto &[Id, R] : Usage)
      R = leastOf(R, Room);
  return Usage;
}

void PoolScheduler::countAccounts(const std::vector<ReadyStep> &Ready,
                                  Instant Now, WallTime Wall) {
  Accounts_.clear();
  if (!Accounts_.anyLimited())
    return;
  Resources Free;
  Resources Capacity;
  for (const auto &[Id, W] : Workers_) {
    for (const auto &[Account, Used] : W.accountUsage())
      Accounts_.addUsed(Account, Used);
    if (!acceptsTasks(W, Now))
      continue;
    Free += mostOf(W.free(), Resources());
    Capacity += W.info().Capacity_;
  }
  for (const auto &[Account, R] : awaitedUsage(Now, Wall))
    Accounts_.addAwaited(Account, R);
  for (const ReadyStep &S : Ready) {
    const StepSpec &Spec = S.Job_->spec().Steps_[S.Step_];
    Accounts_.addWaiting(S.Job_->account(), Spec.Needs_,
                         S.Job_->step(S.Occurrence_, S.Step_).waitingCount(),
                         Spec.Gang_);
  }
  Resources Room{Capacity.CpuMilli_ / CapacityPerTurnover,
                 Capacity.MemoryMb_ / CapacityPerTurnover,
                 Capacity.Gpus_ / CapacityPerTurnover};
  Accounts_.limitWaiting(Room += Free);
}

bool PoolScheduler::accountPermits(const Job &J, const StepSpec &S) {
  return Accounts_.permits(J.account(), S.Needs_, S.Gang_ ? S.Count_ : 1);
}

std::uint32_t
PoolScheduler::reachableTasks(const ReadyStep &S,
                              std::map<AccountId, Resources> &Used) const {
  const Job &J = *S.Job_;
  const StepSpec &Spec = J.spec().Steps_[S.Step_];
  const auto Waiting = J.step(S.Occurrence_, S.Step_).waitingCount();
  const accounts::Allowance *A = Accounts_.allowance(J.account());
  if (!A)
    return Waiting;
  auto It = Used.find(J.account());
  if (It == Used.end())
    It = Used.emplace(J.account(), Accounts_.used(J.account())).first;
  Resources &Sum = It->second;
  const std::uint32_t Unit = Spec.Gang_ ? Waiting : 1;
  std::uint32_t Tasks = 0;
  while (Unit > 0 && Tasks + Unit <= Waiting &&
         A->reaches(Sum, times(Spec.Needs_, Unit), Spec.Needs_)) {
    Sum += times(Spec.Needs_, Unit);
    Tasks += Unit;
  }
  return Tasks;
}

} // namespace heathercross::schedule
