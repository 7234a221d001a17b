// The workers that requests may go to: updates and look-ups.
#include "request/worker-board.h"

#include "request/slot-share.h"

#include <algorithm>

namespace heathercross::request {

WorkerBoard::WorkerBoard(const Config &C)
    : Entry_(C.Entry_), Zone_(C.Zone_), Connections_(C.WorkerConnections_) {}

WorkerState WorkerBoard::merged(const Candidate &C) const {
  WorkerState W;
  if (const WorkerState *Known = find(C.Worker_))
    W = *Known;
  W.Name_ = C.Worker_;
  W.Pool_ = C.Pool_;
  W.Zone_ = C.Zone_;
  W.OwnZone_ = C.Zone_ == Zone_;
  W.TakesWork_ = C.TakesWork_;
  return W;
}

void WorkerBoard::divideSlots(WorkerState &W,
                              std::span<const EntryId> Entries) const {
  const auto Live = static_cast<std::uint32_t>(std::max<std::size_t>(
      1,
      Entries.size() + (std::ranges::find(Entries, Entry_) == Entries.end())));
  W.ConnectionShare_ = std::max(1U, Connections_ / Live);
  W.Share_ = W.OwnZone_ ? slotShare(W.Name_, W.Total_, Entry_, Entries) : 0;
}

void WorkerBoard::apply(const Fleet &F) {
  const bool SameEntries = F.ZoneEntries_ == Entries_;
  std::vector<WorkerState> Next;
  Next.reserve(F.Candidates_.size());
  for (const Candidate &C : F.Candidates_) {
    WorkerState W = merged(C);
    const bool Divided = W.Total_ == C.Total_.Count_ && SameEntries;
    W.Total_ = C.Total_.Count_;
    if (!Divided)
      divideSlots(W, F.ZoneEntries_);
    Next.push_back(std::move(W));
  }
  Workers_ = std::move(Next);
  Entries_ = F.ZoneEntries_;
  Index_.clear();
  Pools_.clear();
  for (std::uint32_t I = 0; I != Workers_.size(); ++I) {
    const WorkerState &W = Workers_[I];
    Index_.emplace(W.Name_, I);
    PoolWorkers &Lists = Pools_[W.Pool_];
    (W.OwnZone_ ? Lists.Near_ : Lists.Far_).push_back(I);
  }
}

void WorkerBoard::report(const WorkerReport &R, Instant Now) {
  WorkerState *W = find(R.Worker_);
  if (!W)
    return;
  W->Busy_ = R.Busy_.Count_;
  W->BatchTasks_ = R.BatchTasks_.Count_;
  W->Leaving_ = R.Leaving_ || R.Draining_;
  W->Health_.UnreachableFor_ = Micros(0);
  W->Health_.UnreachableUntil_ = Instant();
  W->HasReport_ = true;
  W->ReportedAt_ = Now;
  W->ClockMs_ = R.ClockMs_;
  if (!R.Boot_.empty())
    W->Boot_ = R.Boot_;
  W->ClockAt_ = Now;
}

void WorkerBoard::occupy(const InstanceId &Worker) {
  WorkerState *W = find(Worker);
  if (!W)
    return;
  ++W->InFlight_;
  ++W->Busy_;
}

void WorkerBoard::release(const InstanceId &Worker) {
  WorkerState *W = find(Worker);
  if (!W)
    return;
  W->InFlight_ -= W->InFlight_ != 0;
  W->Busy_ -= W->Busy_ != 0;
}

void WorkerBoard::markFull(const InstanceId &Worker, Instant Now) {
  WorkerState *W = find(Worker);
  if (!W)
    return;
  W->Busy_ = std::max(W->Busy_, W->Total_);
  W->HasReport_ = true;
  W->ReportedAt_ = Now;
}

void WorkerBoard::markLeaving(const InstanceId &Worker) {
  if (WorkerState *W = find(Worker))
    W->Leaving_ = true;
}

WorkerState *WorkerBoard::find(const InstanceId &Worker) {
  const auto I = Index_.find(Worker);
  return I == Index_.end() ? nullptr : &Workers_[I->second];
}

const WorkerState *WorkerBoard::find(const InstanceId &Worker) const {
  const auto I = Index_.find(Worker);
  return I == Index_.end() ? nullptr : &Workers_[I->second];
}

const PoolWorkers &WorkerBoard::of(const PoolId &Pool) const {
  static const PoolWorkers None;
  const auto I = Pools_.find(Pool);
  return I == Pools_.end() ? None : I->second;
}

std::size_t WorkerBoard::avoided(const PoolId &Pool) const {
  const auto Avoided = [this](std::uint32_t I) {
    return Workers_[I].Health_.AvoidedFor_.count() != 0;
  };
  const PoolWorkers &Lists = of(Pool);
  return static_cast<std::size_t>(std::ranges::count_if(Lists.Near_, Avoided) +
                                  std::ranges::count_if(Lists.Far_, Avoided));
}

std::size_t WorkerBoard::size(const PoolId &Pool) const {
  const PoolWorkers &Lists = of(Pool);
  return Lists.Near_.size() + Lists.Far_.size();
}

} // namespace heathercross::request
