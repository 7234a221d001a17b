// PoolHolder's roster: the workers that may have runs, as later holders find
// them in the store.
#include "entry/pool-holder-detail.h"
#include "entry/pool-holder.h"

#include <utility>

namespace heathercross::entry {

using detail::LeaseMargin;

void PoolHolder::updateRoster() {
  const Instant Now = Context_.Clock_.now();
  bool Added = false;
  bool Changed = false;
  std::vector<InstanceId> Dropped;
  // Both maps are ordered by id and nearly equal, so they are walked in
  // parallel.
  const auto &Workers = Scheduler_.workers();
  auto Next = Roster_.begin();
  const auto DropUntil = [&](const InstanceId *Id) {
    while (Next != Roster_.end() && (!Id || Next->first < *Id)) {
      Dropped.push_back(Next->first);
      Next = Roster_.erase(Next);
    }
  };
  for (const auto &[Id, W] : Workers) {
    DropUntil(&Id);
    const bool Listed = Next != Roster_.end() && Next->first == Id;
    const bool Needed = W.mayHoldRuns(Now, maxLease());
    if (Listed && !Needed) {
      Dropped.push_back(Id);
      Next = Roster_.erase(Next);
    } else if (Listed) {
      if (W.UnresponsiveSince_ || Next->second.RunsEndBy_)
        Changed = updateSilence(Id, Next->second) || Changed;
      ++Next;
    } else if (Needed) {
      Roster_.emplace_hint(Next, Id,
                           RosterEntry{W.info().Address_, std::nullopt});
      Added = true;
    }
  }
  DropUntil(nullptr);
  for (const InstanceId &Id : Dropped)
    Scheduler_.setRostered(Id, false);
  if (!Added && !Changed && Dropped.empty())
    return;
  const auto Ticket = Journal_.put(
      {schedule::RowKind::Roster, RosterKey, encodeRoster(Roster_)},
      Added || Changed, Now);
  // An added worker, or one that answers again, gets runs only once the roster
  // is durable. If workers were only removed, the stored roster lists more
  // workers than needed, which is safe, so nothing waits for this change.
  if (Added || Changed) {
    RosterTicket_ = Ticket;
    RosterApplied_ = false;
  }
}

bool PoolHolder::updateSilence(const InstanceId &Id, RosterEntry &Listed) {
  const Instant Now = Context_.Clock_.now();
  const auto End = Scheduler_.silentRunsEnd(Id, Now);
  const auto EndBy =
      End ? Writer_.storeClock().latestAt(*End + LeaseMargin) : std::nullopt;
  if (EndBy && !Journal_.failingSince()) {
    if (Listed.RunsEndBy_ && *EndBy <= *Listed.RunsEndBy_ + LeaseMargin)
      return false;
    Listed.RunsEndBy_ = EndBy;
    RecordedSilent_.insert(Id);
    Scheduler_.setRostered(Id, false);
    return true;
  }
  const auto W = Scheduler_.workers().find(Id);
  const bool Responds = W != Scheduler_.workers().end() &&
                        W->second.hasReported() &&
                        !W->second.UnresponsiveSince_;
  if (!Listed.RunsEndBy_ || !Responds)
    return false;
  Listed.RunsEndBy_.reset();
  return true;
}

void PoolHolder::applyRoster() {
  for (const auto &[Id, Listed] : Roster_)
    Scheduler_.setRostered(Id, !Listed.RunsEndBy_);
  std::erase_if(RecordedSilent_, [this](const InstanceId &Id) {
    const auto It = Roster_.find(Id);
    if (It == Roster_.end() || It->second.RunsEndBy_)
      return false;
    if (const auto L = Links_.find(Id); L != Links_.end())
      L->second.NextRenew_ = Context_.Clock_.now();
    return true;
  });
}

bool PoolHolder::isRostered(const InstanceId &Id) const {
  const auto It = Roster_.find(Id);
  return It != Roster_.end() && !It->second.RunsEndBy_ &&
         Journal_.durable() >= RosterTicket_;
}

} // namespace heathercross::entry
