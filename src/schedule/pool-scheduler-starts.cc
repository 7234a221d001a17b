// Which tasks a pool's scheduler starts, in which order and where.
#include "schedule/pool-scheduler.h"

#include <algorithm>
#include <limits>
#include <optional>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A worker gets new tasks only if its leases last at least this long.
constexpr Millis MinLease{500};
/// Maximum number of occurrences of a job with ready steps that one round looks
/// at, the earliest ones. A round orders fewer starts than that.
constexpr std::uint32_t MaxReadyOccurrences = 256;

Micros ageOf(const Job &J, std::uint32_t OccurrenceIndex, Instant Now,
             WallTime Wall) {
  if (J.spec().Repeats_ > 0)
    return Wall - J.due(OccurrenceIndex);
  return Now - J.accepted();
}

} // namespace

bool PoolScheduler::acceptsTasks(const Worker &W, Instant Now) const {
  return W.hasReported() && W.Registered_ && W.Rostered_ &&
         !W.info().Draining_ && !W.UnresponsiveSince_ && !W.AnswerOverdue_ &&
         W.fenceConfirmed() && W.matchesRegistration() &&
         Now >= W.PausedUntil_ && Now >= W.EvacuateUntil_ &&
         W.LeasesEnd_ > Now + MinLease;
}

Rank PoolScheduler::timedRank(const Job &J, std::uint32_t OccurrenceIndex,
                              Instant Now, WallTime Wall) const {
  return rankOf(J, settings(J.queue()), ageOf(J, OccurrenceIndex, Now, Wall),
                meanWork(J.queue()));
}

Rank PoolScheduler::rank(const Job &J, std::uint32_t OccurrenceIndex,
                         std::uint32_t Step, Instant Now, WallTime Wall) const {
  const StepSpec &S = J.spec().Steps_[Step];
  const QueueSettings &Q = settings(J.queue());
  if (S.BestEffort_)
    return {Urgency::BestEffort, J.share(), Q.Priority_, 0};
  if (S.LongRunning_)
    return {Urgency::LongRunning, J.share(), Q.Priority_, 0};
  return timedRank(J, OccurrenceIndex, Now, Wall);
}

double PoolScheduler::meanWork(const QueueId &Queue) const {
  const auto It = Arrivals_.find(Queue);
  return It == Arrivals_.end() ? 0 : It->second.meanWork();
}

std::vector<PoolScheduler::ReadyStep>
PoolScheduler::readySteps(Instant Now, WallTime Wall) const {
  std::vector<ReadyStep> Ready;
  const bool RestoredMayStart = restoredJobsMayStart(Now);
  for (const auto &[Id, Open] : Open_) {
    const Job &J = *Open;
    if (!J.hasWaiting() || (!RestoredMayStart && Restored_.contains(Id)))
      continue;
    std::uint32_t ReadyOccurrences = 0;
    for (std::uint32_t O = J.occurrences().firstOpen();
         O < J.occurrences().count() && J.isDue(O, Wall) &&
         ReadyOccurrences < MaxReadyOccurrences;
         ++O) {
      const Occurrence &State = J.occurrences()[O];
      if (State.done())
        continue;
      const std::size_t Before = Ready.size();
      for (std::uint32_t S = 0; S < State.Steps_.size(); ++S)
        if (State.Steps_[S].waitingCount() > 0 && J.ready(O, S, Wall))
          Ready.push_back({rank(J, O, S, Now, Wall), &J, O, S});
      ReadyOccurrences += Ready.size() > Before ? 1 : 0;
    }
  }
  std::ranges::stable_sort(Ready, {}, &ReadyStep::Rank_);
  return Ready;
}

std::vector<Worker *> PoolScheduler::availableWorkers(Instant Now) {
  std::vector<Worker *> Found;
  for (auto &[Id, W] : Workers_)
    if (acceptsTasks(W, Now))
      Found.push_back(&W);
  return Found;
}

std::vector<Worker *>
PoolScheduler::workersWithRoom(const std::vector<ReadyStep> &Steps,
                               Instant Now) {
  if (Steps.empty())
    return {};
  constexpr auto Max = std::numeric_limits<std::int64_t>::max();
  Resources Least{Max, Max, Max};
  for (const ReadyStep &S : Steps) {
    const Resources Needed = S.Job_->spec().Steps_[S.Step_].reserved();
    Least.CpuMilli_ = std::min(Least.CpuMilli_, Needed.CpuMilli_);
    Least.MemoryMb_ = std::min(Least.MemoryMb_, Needed.MemoryMb_);
    Least.Gpus_ = std::min(Least.Gpus_, Needed.Gpus_);
  }
  std::vector<Worker *> Found = availableWorkers(Now);
  std::erase_if(Found, [&](const Worker *W) { return !Least.fits(W->free()); });
  return Found;
}

std::vector<Candidate>
PoolScheduler::candidates(const Job &J, const ReadyStep &S,
                          const std::vector<Worker *> &Available,
                          Instant Now) const {
  std::vector<Candidate> Found;
  const bool NeedsAdvice = settings(J.queue()).NeedsAdvice_;
  const StepKey Key{J.id(), S.Occurrence_, S.Step_};
  if (NeedsAdvice && !Advice_.anyAllowed(Key))
    return Found;
  const StepSpec &Spec = J.spec().Steps_[S.Step_];
  const Resources Needed = Spec.reserved();
  for (Worker *W : Available) {
    if (!Needed.fits(W->free()) ||
        (NeedsAdvice && Advice_.answer(Key, W->Number_, Now) !=
                            PlacementAdvice::Answer::Valid))
      continue;
    Candidate C{W, 0, Spec.LongRunning_ ? W->longRunningRuns() : 0,
                interferenceOn(*W, Spec), W->Speed_.isSlow(Now)};
    if (Spec.MaxPerWorker_ > 0)
      C.SameStep_ = W->runsOf(Key);
    Found.push_back(C);
  }
  return Found;
}

PlacementRequest PoolScheduler::request(const Job &J, const ReadyStep &S,
                                        const TaskState &T, Instant Now) const {
  const StepSpec &Spec = J.spec().Steps_[S.Step_];
  PlacementRequest R;
  R.Reserved_ = Spec.reserved();
  R.Label_ = Spec.Label_;
  R.Rack_ = Spec.DataRack_;
  R.MaxPerWorker_ = Spec.MaxPerWorker_;
  R.LongRunning_ = Spec.LongRunning_;
  R.Avoid_ = T.Worker_;
  R.Required_ = requiredWorker(T, Now);
  return R;
}

Run PoolScheduler::plannedRun(const Job &J, std::uint32_t Step) {
  const StepSpec &S = J.spec().Steps_[Step];
  Run R;
  R.Reserved_ = S.reserved();
  R.Account_ = J.account();
  R.AccountNeeds_ = S.Needs_;
  R.LongRunning_ = S.LongRunning_;
  R.BestEffort_ = S.BestEffort_;
  R.LatencyGoal_ = S.LatencyGoal_;
  R.Image_ = S.Image_;
  return R;
}

void PoolScheduler::orderStart(Job &J, const TaskKey &Key, Worker &W, Attempt A,
                               Instant Now, Orders &Out) {
  TaskState &T = *J.openTask(Key);
  T.Attempt_ = T.RunAttempt_ = A;
  J.setPhase(Key, TaskPhase::Placed);
  T.Worker_ = W.info().Id_;
  T.OrderedAt_ = Now;
  T.ReleaseCause_ = "";
  Run R = plannedRun(J, Key.Step_);
  Accounts_.start(J.account(), R.AccountNeeds_);
  R.Attempt_ = A;
  R.OrderedAt_ = Now;
  R.StartSeen_ = T.Checkpoint_.empty();
  R.Fence_ = W.Fence_;
  W.add(Key, R);
  Out.Starts_.push_back(startOrder(J, Key, W, A));
}

StartOrder PoolScheduler::startOrder(const Job &J, const TaskKey &Key,
                                     const Worker &W, Attempt A) const {
  return {W.info().Id_,
          Key,
          A,
          J.spec().Payload_,
          J.task(Key).Checkpoint_,
          Advice_.ticket(stepOf(Key), W.Number_),
          W.Fence_};
}

bool PoolScheduler::isRepeatable(const TaskKey &Key, const Run &R) const {
  const Job *J = find(Key.Job_);
  return J && J->has(Key) && !isFinal(J->state()) && !R.StopWanted_ &&
         !J->spec().Steps_[Key.Step_].Gang_;
}

bool PoolScheduler::suits(const Worker &W, const TaskKey &Key) const {
  const std::string &Label = find(Key.Job_)->spec().Steps_[Key.Step_].Label_;
  return Resources().fits(W.free()) &&
         (Label.empty() ||
          std::ranges::find(W.info().Labels_, Label) != W.info().Labels_.end());
}

void PoolScheduler::repeatStarts(Instant Now, Orders &Out) {
  for (auto &[Id, W] : Workers_) {
    if (!W.Unsettled_)
      continue;
    const bool Accepts = acceptsTasks(W, Now);
    const bool Leaving = W.isLeaving(Now);
    std::vector<TaskKey> Released;
    for (auto &[Key, R] : W.runs()) {
      if (R.Phase_ != RunPhase::Void)
        continue;
      if (Leaving || !isRepeatable(Key, R)) {
        Released.push_back(Key);
        continue;
      }
      if (!Accepts || Unanswered_ + Out.Starts_.size() >= OrderLimit_)
        continue;
      if (!suits(W, Key)) {
        Released.push_back(Key);
        continue;
      }
      R.Phase_ = RunPhase::Ordered;
      R.StartSeen_ = false;
      R.OrderedAt_ = Now;
      R.Fence_ = W.Fence_;
      Out.Starts_.push_back(startOrder(*find(Key.Job_), Key, W, R.Attempt_));
    }
    for (const TaskKey &Key : Released)
      release(W, Key, "start-void");
  }
}

bool PoolScheduler::startTasks(const ReadyStep &S,
                               const std::vector<Worker *> &Available,
                               StallingPlaces Stalling, Instant Now,
                               Orders &Out) {
  std::vector<Candidate> Places = candidates(*S.Job_, S, Available, Now);
  const bool LeftOut = Stalling == StallingPlaces::LeaveOut &&
                       std::erase_if(Places, [](const Candidate &C) {
                         return C.Interference_.Stalls_;
                       }) > 0;
  if (Places.empty())
    return LeftOut;
  Job &J = *findJob(S.Job_->id());
  const std::uint32_t Count = J.spec().Steps_[S.Step_].Count_;
  for (std::uint32_t I = 0; I < Count; ++I) {
    const TaskState &T = J.step(S.Occurrence_, S.Step_).task(I);
    if (T.Phase_ != TaskPhase::Waiting || T.UnwantedRuns_ > 0)
      continue;
    HeldBack_ = Unanswered_ + Out.Starts_.size() >= OrderLimit_;
    if (HeldBack_ || !accountPermits(J, J.spec().Steps_[S.Step_]))
      return LeftOut;
    const PlacementRequest Request = request(J, S, T, Now);
    Worker *W = choose(Places, Request);
    if (!W && !Request.Required_.empty())
      continue;
    if (!W)
      return LeftOut;
    // Workers start an attempt once, so that the same attempt can't run twice
    // if an unresolved order for it is carried out, too.
    const bool Again = !Request.Required_.empty() &&
                       T.Unresolved_->Attempt_ == T.Attempt_ &&
                       T.SeenAttempt_ < T.Attempt_;
    orderStart(J, {J.id(), S.Occurrence_, S.Step_, I}, *W,
               Again ? T.Attempt_ : T.nextAttempt(J.attemptFloor()), Now, Out);
    const auto Place = std::ranges::find(Places, W, &Candidate::Worker_);
    countStart(Places, *Place, J.spec().Steps_[S.Step_], LeftOut);
    ++Place->SameStep_;
    Place->Interference_ = interferenceOn(*W, J.spec().Steps_[S.Step_]);
  }
  return LeftOut;
}

void PoolScheduler::startGang(const ReadyStep &S,
                              const std::vector<Worker *> &Available,
                              Instant Now, Orders &Out) {
  Job &J = *findJob(S.Job_->id());
  const StepSpec &Spec = J.spec().Steps_[S.Step_];
  const auto KeyOf = [&](std::uint32_t Index) {
    return TaskKey{J.id(), S.Occurrence_, S.Step_, Index};
  };
  const StepState &State = J.step(S.Occurrence_, S.Step_);
  std::vector<const TaskState *> Tasks;
  for (std::uint32_t I = 0; I < State.count(); ++I)
    Tasks.push_back(&State.task(I));
  const auto IsWaiting = [](const TaskState *T) {
    return T->Phase_ == TaskPhase::Waiting && T->UnwantedRuns_ == 0;
  };
  if (!std::ranges::all_of(Tasks, IsWaiting))
    return;
  // Plans on copies of the workers, so that an incomplete plan has no effect.
  const auto Plan = [&](const RackId &Rack) {
    std::map<InstanceId, Worker> Copies;
    std::vector<InstanceId> Chosen;
    std::vector<Candidate> Places = candidates(J, S, Available, Now);
    for (Candidate &C : Places) {
      const InstanceId Id = C.Worker_->info().Id_;
      C.Worker_ = &Copies.emplace(Id, *C.Worker_).first->second;
    }
    for (std::uint32_t I = 0; I < Spec.Count_; ++I) {
      PlacementRequest R = request(J, S, *Tasks[I], Now);
      R.RackRequired_ = !Rack.empty();
      if (!Rack.empty())
        R.Rack_ = Rack;
      Worker *W = choose(Places, R);
      if (!W)
        return std::vector<InstanceId>();
      W->add(KeyOf(I), plannedRun(J, S.Step_));
      ++std::ranges::find(Places, W, &Candidate::Worker_)->SameStep_;
      Chosen.push_back(W->info().Id_);
    }
    return Chosen;
  };
  std::set<RackId> Racks;
  if (Spec.OneRack_)
    for (const auto &[Id, W] : Workers_)
      Racks.insert(W.info().Rack_);
  std::vector<InstanceId> Chosen;
  for (const RackId &Rack : Racks)
    if (Chosen.empty() && !Rack.empty())
      Chosen = Plan(Rack);
  if (Chosen.empty())
    Chosen = Plan(RackId());
  if (Chosen.size() != Spec.Count_)
    return;
  Attempt A = 0;
  for (const TaskState *T : Tasks)
    A = std::max(A, T->nextAttempt(J.attemptFloor()));
  // A checkpoint of any member is valid for the whole gang.
  const auto Saved = std::ranges::find_if(
      Tasks, [](const TaskState *T) { return !T->Checkpoint_.empty(); });
  const std::string Checkpoint =
      Saved == Tasks.end() ? std::string() : (*Saved)->Checkpoint_;
  for (std::uint32_t I = 0; I < Spec.Count_; ++I) {
    J.openTask(KeyOf(I))->Checkpoint_ = Checkpoint;
    orderStart(J, KeyOf(I), *findWorker(Chosen[I]), A, Now, Out);
  }
}

void PoolScheduler::orderStarts(Instant Now, WallTime Wall, Orders &Out) {
  HeldBack_ = false;
  const std::vector<ReadyStep> Ready = readySteps(Now, Wall);
  countAccounts(Ready, Now, Wall);
  updateIdleCores(Ready);
  const std::vector<Worker *> Available = workersWithRoom(Ready, Now);
  if (Available.empty())
    return;
  // Best-effort tasks that would be throttled to 0 leave the room to all others
  // that wait.
  std::vector<const ReadyStep *> Stalling;
  for (const ReadyStep &S : Ready) {
    HeldBack_ = Unanswered_ + Out.Starts_.size() >= OrderLimit_;
    if (HeldBack_)
      return;
    const StepSpec &Spec = S.Job_->spec().Steps_[S.Step_];
    if (!accountPermits(*S.Job_, Spec))
      continue;
    if (Spec.Gang_)
      startGang(S, Available, Now, Out);
    else if (startTasks(S, Available, StallingPlaces::LeaveOut, Now, Out))
      Stalling.push_back(&S);
  }
  for (const ReadyStep *S : Stalling)
    if (!HeldBack_)
      startTasks(*S, Available, StallingPlaces::Use, Now, Out);
}

} // namespace heathercross::schedule
