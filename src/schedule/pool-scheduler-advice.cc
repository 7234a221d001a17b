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

PoolScheduler::AdviceGroups
PoolScheduler::adviceGroups(const ReadyStep &S, const TaskKey *Copied,
                            const std::vector<Worker *> &LeastLoaded,
                            Instant Now) const {
  using Answer = PlacementAdvice::Answer;
  const StepSpec &Spec = S.Job_->spec().Steps_[S.Step_];
  const StepKey Key{S.Job_->id(), S.Occurrence_, S.Step_};
  AdviceGroups G;
  const std::uint32_t Wanted = Spec.Gang_ ? Spec.Count_ : 1;
  G.Wanted_ = Wanted;
  const Millis Margin =
      Spec.Gang_ ? std::min(GangTicketMargin,
                            settings(S.Job_->queue()).AdviceTimes_.Valid_ / 4)
                 : Millis(0);
  for (const Worker *W : LeastLoaded) {
    const bool Suits =
        hasLabel(*W, Spec.Label_) && Spec.reserved().fits(W->info().Capacity_);
    const bool UnfitForCopy =
        Copied && (W->runs().contains(*Copied) || W->Speed_.isSlow(Now));
    const Answer A = Advice_.answer(Key, W->Number_, Now + Margin);
    if (!Suits || UnfitForCopy || A == Answer::Refused)
      continue;
    const std::uint32_t Fit = placesOn(*W, Key, Spec, Wanted);
    if (A == Answer::None) {
      (Fit > 0 ? G.UnknownWithRoom_ : G.UnknownFull_).push_back(W);
      continue;
    }
    ++G.Allowed_;
    if (A == Answer::Valid) {
      G.AnyValid_ = true;
      G.Places_ += Fit;
    } else {
      (Fit > 0 ? G.ExpiredWithRoom_ : G.ExpiredFull_).push_back(W);
    }
  }
  return G;
}

AdviceState PoolScheduler::adviceState(const StepKey &Key,
                                       const AdviceGroups &G) const {
  if (G.Places_ > 0 || !G.ExpiredWithRoom_.empty())
    return AdviceState::Placeable;
  if (G.Allowed_ > 0)
    return AdviceState::NoRoom;
  if (Advice_.queries(Key) == 0)
    return AdviceState::Unknown;
  return G.UnknownWithRoom_.empty() && G.UnknownFull_.empty()
             ? AdviceState::NoneAllowed
             : AdviceState::NoneAllowedSoFar;
}

PoolScheduler::AdviceDemand
PoolScheduler::adviceDemand(const ReadyStep &S, const TaskKey *Copied,
                            const std::vector<Worker *> &LeastLoaded,
                            Instant Now) {
  const StepKey Key{S.Job_->id(), S.Occurrence_, S.Step_};
  AdviceGroups G = adviceGroups(S, Copied, LeastLoaded, Now);
  const AdviceState State = adviceState(Key, G);
  if (Advice_.setState(Key, State))
    logDecision("advice-state", {Key.Job_, Key.Occurrence_, Key.Step_, 0}, 0,
                {}, adviceStateName(State));
  AdviceDemand D;
  D.Workers_ = requiredWithoutTicket(S, Now);
  const bool Lacks = G.Places_ < G.Wanted_;
  if (Lacks || !D.Workers_.empty()) {
    std::ranges::copy(G.ExpiredWithRoom_, std::back_inserter(D.Workers_));
    std::ranges::copy(G.UnknownWithRoom_, std::back_inserter(D.Workers_));
  }
  if (!D.Workers_.empty())
    D.Need_ = AdviceNeed::Place;
  else if (Lacks && G.Allowed_ < G.Wanted_ && !G.UnknownFull_.empty())
    D = {AdviceNeed::Learn, std::move(G.UnknownFull_)};
  else if (Lacks && !G.AnyValid_ && !G.ExpiredFull_.empty())
    D = {AdviceNeed::Renew, std::move(G.ExpiredFull_)};
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
