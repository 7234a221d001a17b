// The workers that requests may be sent to: updates and lookups.
#include "request/worker-registry.h"

#include "request/slot-share.h"

#include <algorithm>

namespace heathercross::request {

WorkerRegistry::WorkerRegistry(const Config &C)
    : Entry_(C.Entry_), Zone_(C.Zone_), ConnectionLimit_(C.WorkerConnections_) {
}

WorkerState WorkerRegistry::mergeCandidate(const Candidate &C) const {
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

void WorkerRegistry::assignShares(WorkerState &W,
                                  std::span<const EntryId> Entries) const {
  const auto LiveCount = static_cast<std::uint32_t>(std::max<std::size_t>(
      1,
      Entries.size() + (std::ranges::find(Entries, Entry_) == Entries.end())));
  W.ConnectionShare_ = std::max(1U, ConnectionLimit_ / LiveCount);
  W.SlotShare_ =
      W.OwnZone_ ? slotShare(W.Name_, W.SlotCount_, Entry_, Entries) : 0;
}

void WorkerRegistry::apply(const Fleet &F) {
  const bool SameEntries = F.ZoneEntries_ == Entries_;
  std::vector<WorkerState> NewWorkers;
  NewWorkers.reserve(F.Candidates_.size());
  for (const Candidate &C : F.Candidates_) {
    WorkerState W = mergeCandidate(C);
    const bool SharesValid = W.SlotCount_ == C.SlotCount_.Count_ && SameEntries;
    W.SlotCount_ = C.SlotCount_.Count_;
    if (!SharesValid)
      assignShares(W, F.ZoneEntries_);
    NewWorkers.push_back(std::move(W));
  }
  Workers_ = std::move(NewWorkers);
  Entries_ = F.ZoneEntries_;
  Index_.clear();
  Pools_.clear();
  for (std::uint32_t I = 0; I != Workers_.size(); ++I) {
    const WorkerState &W = Workers_[I];
    Index_.emplace(W.Name_, I);
    PoolWorkers &Lists = Pools_[W.Pool_];
    (W.OwnZone_ ? Lists.Local_ : Lists.Remote_).push_back(I);
  }
}

void WorkerRegistry::report(const WorkerReport &R, Instant Now) {
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

void WorkerRegistry::occupy(const InstanceId &Worker) {
  WorkerState *W = find(Worker);
  if (!W)
    return;
  ++W->InFlight_;
  ++W->Busy_;
}

void WorkerRegistry::release(const InstanceId &Worker) {
  WorkerState *W = find(Worker);
  if (!W)
    return;
  W->InFlight_ -= W->InFlight_ != 0;
  W->Busy_ -= W->Busy_ != 0;
}

void WorkerRegistry::markFull(const InstanceId &Worker, Instant Now) {
  WorkerState *W = find(Worker);
  if (!W)
    return;
  W->Busy_ = std::max(W->Busy_, W->SlotCount_);
  W->HasReport_ = true;
  W->ReportedAt_ = Now;
}

void WorkerRegistry::markLeaving(const InstanceId &Worker) {
  if (WorkerState *W = find(Worker))
    W->Leaving_ = true;
}

WorkerState *WorkerRegistry::find(const InstanceId &Worker) {
  const auto I = Index_.find(Worker);
  return I == Index_.end() ? nullptr : &Workers_[I->second];
}

const WorkerState *WorkerRegistry::find(const InstanceId &Worker) const {
  const auto I = Index_.find(Worker);
  return I == Index_.end() ? nullptr : &Workers_[I->second];
}

const PoolWorkers &WorkerRegistry::workersOf(const PoolId &Pool) const {
  static const PoolWorkers NoWorkers;
  const auto I = Pools_.find(Pool);
  return I == Pools_.end() ? NoWorkers : I->second;
}

std::size_t WorkerRegistry::countAvoided(const PoolId &Pool) const {
  const auto Avoided = [this](std::uint32_t I) {
    return Workers_[I].Health_.AvoidedFor_.count() != 0;
  };
  const PoolWorkers &Lists = workersOf(Pool);
  return static_cast<std::size_t>(
      std::ranges::count_if(Lists.Local_, Avoided) +
      std::ranges::count_if(Lists.Remote_, Avoided));
}

std::size_t WorkerRegistry::size(const PoolId &Pool) const {
  const PoolWorkers &Lists = workersOf(Pool);
  return Lists.Local_.size() + Lists.Remote_.size();
}

} // namespace heathercross::request
