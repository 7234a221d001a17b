// What a pool's scheduler asks the placement service, and what it takes from
// the answers.
#include "schedule/pool-scheduler.h"

#include <algorithm>
#include <functional>
#include <ranges>
#include <span>

namespace heathercross::schedule {

namespace {

/// All tickets of a gang must be valid at once, so they are renewed this much
/// before they expire, or a quarter of their time if that is less.
constexpr Millis GangTicketMargin{500};

bool hasLabel(const Worker &W, const std::string &Label) {
  return Label.empty() ||
         std::ranges::find(W.info().Labels_, Label) != W.info().Labels_.end();
}

/// How many tasks of a step the worker has room for, at most Wanted.
std::uint32_t placesOn(const Worker &W, const StepKey &Key, const StepSpec &S,
                       std::uint32_t Wanted) {
  const auto Least = [Wanted](std::int64_t Free, std::int64_t Needed) {
    const std::int64_t Fit = Needed > 0 ? Free / Needed : Wanted;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(Fit, 0, Wanted));
  };
  const Resources Needed = S.reserved();
  const Resources Free = W.free();
  std::uint32_t Places = std::min({Least(Free.CpuMilli_, Needed.CpuMilli_),
                                   Least(Free.MemoryMb_, Needed.MemoryMb_),
                                   Least(Free.Gpus_, Needed.Gpus_)});
  if (S.MaxPerWorker_ > 0)
    Places = std::min(Places, S.MaxPerWorker_ -
                                  std::min(S.MaxPerWorker_, W.runsOf(Key)));
  return Places;
}

} // namespace

std::vector<const Worker *>
PoolScheduler::requiredWithoutTicket(const ReadyStep &S, Instant Now) const {
  std::vector<const Worker *> Found;
  const StepKey Key{S.Job_->id(), S.Occurrence_, S.Step_};
  const StepState &State = S.Job_->step(S.Occurrence_, S.Step_);
  for (std::uint32_t I = 0; I < State.count(); ++I) {
    const TaskState &T = State.task(I);
    if (T.Phase_ != TaskPhase::Waiting || !T.Unresolved_)
      continue;
    const auto It = Workers_.find(requiredWorker(T, Now));
    if (It != Workers_.end() && acceptsTasks(It->second, Now) &&
        Advice_.answer(Key, It->second.Number_, Now) !=
            PlacementAdvice::Answer::Valid &&
        std::ranges::find(Found, &It->second) == Found.end())
      Found.push_back(&It->second);
  }
  return Found;
}

PoolScheduler::AdviceDemand
PoolScheduler::adviceDemand(const ReadyStep &S, const TaskKey *Copied,
                            const std::vector<Worker *> &LeastLoaded,
                            Instant Now) {
  using Answer = PlacementAdvice::Answer;
  const Job &J = *S.Job_;
  const StepSpec &Spec = J.spec().Steps_[S.Step_];
  const StepKey Key{J.id(), S.Occurrence_, S.Step_};
  const std::uint32_t Wanted = Spec.Gang_ ? Spec.Count_ : 1;
  const Millis Margin =
      Spec.Gang_ ? std::min(GangTicketMargin,
                            settings(J.queue()).AdviceTimes_.Valid_ / 4)
                 : Millis(0);
  std::uint64_t Places = 0;
  std::uint64_t Allowed = 0;
  bool AnyValid = false;
  std::vector<const Worker *> ExpiredWithRoom;
  std::vector<const Worker *> ExpiredFull;
  std::vector<const Worker *> UnknownWithRoom;
  std::vector<const Worker *> UnknownFull;
  for (const Worker *W : LeastLoaded) {
    if (!hasLabel(*W, Spec.Label_) ||
        !Spec.reserved().fits(W->info().Capacity_) ||
        (Copied && (W->runs().contains(*Copied) || W->Speed_.isSlow(Now))))
      continue;
    const Answer A = Advice_.answer(Key, W->Number_, Now + Margin);
    if (A == Answer::Refused)
      continue;
    const std::uint32_t Fit = placesOn(*W, Key, Spec, Wanted);
    Allowed += A == Answer::None ? 0 : 1;
    AnyValid = AnyValid || A == Answer::Valid;
    if (A == Answer::Valid)
      Places += Fit;
    else if (A == Answer::Expired)
      (Fit > 0 ? ExpiredWithRoom : ExpiredFull).push_back(W);
    else
      (Fit > 0 ? UnknownWithRoom : UnknownFull).push_back(W);
  }
  AdviceState State = AdviceState::Unknown;
  if (Places > 0 || !ExpiredWithRoom.empty())
    State = AdviceState::Placeable;
  else if (Allowed > 0)
    State = AdviceState::NoRoom;
  else if (Advice_.queries(Key) > 0)
    State = UnknownWithRoom.empty() && UnknownFull.empty()
                ? AdviceState::NoneAllowed
                : AdviceState::NoneAllowedSoFar;
  if (Advice_.setState(Key, State))
    logDecision("advice-state", {Key.Job_, Key.Occurrence_, Key.Step_, 0}, 0,
                {}, adviceStateName(State));
  AdviceDemand D;
  D.Workers_ = requiredWithoutTicket(S, Now);
  if (Places < Wanted || !D.Workers_.empty()) {
    std::ranges::copy(ExpiredWithRoom, std::back_inserter(D.Workers_));
    std::ranges::copy(UnknownWithRoom, std::back_inserter(D.Workers_));
  }
  if (!D.Workers_.empty()) {
    D.Need_ = AdviceNeed::Place;
  } else if (Places < Wanted && Allowed < Wanted && !UnknownFull.empty()) {
    D = {AdviceNeed::Learn, std::move(UnknownFull)};
  } else if (Places < Wanted && !AnyValid && !ExpiredFull.empty()) {
    D = {AdviceNeed::Renew, std::move(ExpiredFull)};
  }
  return D;
}

AdviceRequest PoolScheduler::adviceRequest(const ReadyStep &S,
                                           const AdviceDemand &D, Instant Now) {
  const StepKey Key{S.Job_->id(), S.Occurrence_, S.Step_};
  AdviceRequest R{Key, {}, settings(S.Job_->queue()).AdviceTimes_};
  const std::size_t Limit = AdviceBatch_.limit(R.Times_, Advice_.queries(Key));
  const std::span Best(D.Workers_.data(), std::min(Limit, D.Workers_.size()));
  for (const Worker *W : Best)
    R.Workers_.push_back({W->info().Id_, W->Incarnation_.value_or(0)});
  Advice_.asked(Key, Now);
  // An urgent step that many workers refuse would keep the others from being
  // asked about, and steps that keep coming would keep it from a second query.
  AskForLongest_ = !AskForLongest_;
  return R;
}

std::optional<AdviceRequest> PoolScheduler::nextAdviceRequest(Instant Now,
                                                              WallTime Wall) {
  if (std::ranges::none_of(
          Queues_, [](const auto &Entry) { return Entry.second.NeedsAdvice_; }))
    return std::nullopt;
  std::vector<ReadyStep> Steps = readySteps(Now, Wall);
  std::erase_if(Steps, [&](const ReadyStep &S) {
    return !settings(S.Job_->queue()).NeedsAdvice_;
  });
  if (Steps.empty() && NeedAdvice_.empty())
    return std::nullopt;
  std::vector<Worker *> LeastLoaded = availableWorkers(Now);
  std::ranges::stable_sort(LeastLoaded, std::greater(),
                           [](const Worker *W) { return W->free().CpuMilli_; });
  for (const TaskKey &Key : NeedAdvice_) {
    const Job *J = find(Key.Job_);
    if (!J || !settings(J->queue()).NeedsAdvice_)
      continue;
    const ReadyStep S{{}, J, Key.Occurrence_, Key.Step_};
    const AdviceDemand D = adviceDemand(S, &Key, LeastLoaded, Now);
    if (D.Need_ == AdviceNeed::Place)
      return adviceRequest(S, D, Now);
  }
  if (AskForLongest_)
    std::ranges::stable_sort(Steps, {}, [&](const ReadyStep &S) {
      return Advice_.lastAsked({S.Job_->id(), S.Occurrence_, S.Step_})
          .value_or(S.Job_->accepted());
    });
  const ReadyStep *Best = nullptr;
  AdviceDemand BestDemand;
  for (const ReadyStep &S : Steps) {
    if (!accountPermits(*S.Job_, S.Job_->spec().Steps_[S.Step_]))
      continue;
    AdviceDemand D = adviceDemand(S, nullptr, LeastLoaded, Now);
    if (D.Need_ <= BestDemand.Need_)
      continue;
    Best = &S;
    BestDemand = std::move(D);
    if (BestDemand.Need_ == AdviceNeed::Place)
      break;
  }
  if (!Best)
    return std::nullopt;
  return adviceRequest(*Best, BestDemand, Now);
}

void PoolScheduler::adviceAnswered(
    const AdviceRequest &R, Micros Took,
    const std::optional<std::vector<PlacementTicket>> &Allowed,
    Instant ValidUntil) {
  AdviceBatch_.took(R.Times_, R.Workers_.size(), Took, Allowed.has_value());
  if (!Allowed || !Open_.contains(R.Step_.Job_))
    return;
  Advice_.answered(R.Step_);
  for (const AdvisedWorker &A : R.Workers_) {
    const Worker *W = findWorker(A.Id_);
    // An answer holds for the life of the worker that was asked about.
    if (!W || W->Incarnation_ != A.Incarnation_)
      continue;
    const auto T =
        std::ranges::find(*Allowed, A.Id_, &PlacementTicket::Worker_);
    Advice_.record(R.Step_, W->Number_,
                   T == Allowed->end() ? std::nullopt
                                       : std::optional(T->Ticket_),
                   ValidUntil);
  }
}

} // namespace heathercross::schedule
