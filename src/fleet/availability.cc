// Computes the availability of a pool's instances.
#include "fleet/availability.h"

#include <algorithm>

namespace heathercross::fleet {

namespace {

const WorkerStatus *statusOf(const Snapshot &S, const InstanceId &Name) {
  const auto Found = S.Workers_.find(Name);
  return Found == S.Workers_.end() ? nullptr : &Found->second;
}

const ListedInstance *listedOf(const Snapshot &S, const InstanceId &Name) {
  if (!S.Listed_)
    return nullptr;
  const auto Found = S.Listed_->find(Name);
  return Found == S.Listed_->end() ? nullptr : &Found->second;
}

Availability availabilityByState(InstanceState State) {
  switch (State) {
  case InstanceState::Active:
    return Availability::Available;
  case InstanceState::Draining:
    return Availability::Draining;
  case InstanceState::Rebooting:
    return Availability::Rebooting;
  case InstanceState::Ejected:
    return Availability::Ejected;
  case InstanceState::Leaving:
    return Availability::Leaving;
  }
  return Availability::Unknown;
}

Availability availabilityOf(const Snapshot &S, const Member &M) {
  if (!hasRecentStatus(S, M.Status_))
    return Availability::Unknown;
  if (isLeaving(S, M.id()))
    return Availability::Leaving;
  const auto ByState = availabilityByState(M.row().State_);
  if (ByState != Availability::Available)
    return ByState;
  return M.Status_->Draining_ || M.HoldsPermit_ ? Availability::Draining
                                                : Availability::Available;
}

Member memberOf(const Snapshot &S, const PermitRecord &Permit,
                const InstanceRecord &Record) {
  Member M;
  M.Record_ = &Record;
  M.Status_ = statusOf(S, M.id());
  M.Listed_ = !S.Listed_ || listedOf(S, M.id());
  M.HoldsPermit_ =
      std::ranges::find(Permit.Held_, M.id()) != Permit.Held_.end();
  M.Availability_ = availabilityOf(S, M);
  return M;
}

std::uint32_t minAvailableOf(const View &V, const Pool &P) {
  const auto Found = V.Budgets_.find(P.Name_);
  if (Found != V.Budgets_.end())
    return Found->second.MinAvailable_;
  return P.Size_ > 0 ? P.Size_ - 1 : 0;
}

} // namespace

InstanceRow withState(const Member &M, InstanceState State) {
  auto Row = M.row();
  Row.State_ = State;
  Row.Boot_.clear();
  return Row;
}

std::uint32_t PoolSnapshot::available() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Members_, &Member::available));
}

std::uint32_t PoolSnapshot::permitsLeft() const {
  const auto Available = available();
  return Available > MinAvailable_ ? Available - MinAvailable_ : 0;
}

bool PoolSnapshot::budgetAllowsDisruption() const {
  return Members_.size() > MinAvailable_;
}

const Member *PoolSnapshot::find(const InstanceId &Name) const {
  const auto Found = std::ranges::find(Members_, Name, &Member::id);
  return Found == Members_.end() ? nullptr : &*Found;
}

bool hasRecentStatus(const Snapshot &S, const WorkerStatus *Status) {
  return Status && Status->Reachable_ &&
         S.Now_ - Status->ReceivedAt_ <= MaxStatusAge;
}

bool isLeaving(const Snapshot &S, const InstanceId &Name) {
  const auto *Listed = listedOf(S, Name);
  const auto *Status = statusOf(S, Name);
  return (Listed && Listed->Leaving_) || (Status && Status->Leaving_) ||
         S.DeclaredLeaving_.contains(Name);
}

PoolSnapshot makePoolSnapshot(const Snapshot &S, const PoolId &Name) {
  PoolSnapshot Pool;
  Pool.Name_ = Name;
  if (const auto P = S.View_.Pools_.find(Name); P != S.View_.Pools_.end()) {
    const bool Removed = P->second.Removed_;
    Pool.Size_ = Removed ? 0 : P->second.Size_;
    Pool.Spare_ = P->second.Spare_;
    Pool.MinAvailable_ = Removed ? 0 : minAvailableOf(S.View_, P->second);
  }
  if (const auto P = S.Permits_.find(Name); P != S.Permits_.end())
    Pool.Permit_ = P->second;
  for (const auto &[Instance, Record] : S.Instances_)
    if (Record.Row_.Pool_ == Name)
      Pool.Members_.push_back(memberOf(S, Pool.Permit_, Record));
  return Pool;
}

} // namespace heathercross::fleet
