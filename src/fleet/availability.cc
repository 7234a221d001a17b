// Counts a pool's available instances pessimistically.
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

Standing standingByRow(InstanceState State) {
  switch (State) {
  case InstanceState::Active:
    return Standing::Available;
  case InstanceState::Draining:
    return Standing::Draining;
  case InstanceState::Rebooting:
    return Standing::Rebooting;
  case InstanceState::Ejected:
    return Standing::Ejected;
  case InstanceState::Leaving:
    return Standing::Leaving;
  }
  return Standing::Unknown;
}

Standing standingOf(const Snapshot &S, const Member &M) {
  if (!recentlyHeard(S, M.Status_))
    return Standing::Unknown;
  if (saidLeaving(S, M.id()))
    return Standing::Leaving;
  const auto ByRow = standingByRow(M.row().State_);
  if (ByRow != Standing::Available)
    return ByRow;
  return M.Status_->Draining_ || M.Held_ ? Standing::Draining
                                         : Standing::Available;
}

Member memberOf(const Snapshot &S, const PermitRecord &Permit,
                const InstanceRecord &Record) {
  Member M;
  M.Record_ = &Record;
  M.Status_ = statusOf(S, M.id());
  M.Listed_ = !S.Listed_ || listedOf(S, M.id());
  M.Held_ = std::ranges::find(Permit.Held_, M.id()) != Permit.Held_.end();
  M.Standing_ = standingOf(S, M);
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

std::uint32_t PoolPicture::available() const {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Members_, &Member::available));
}

std::uint32_t PoolPicture::permitsLeft() const {
  const auto Available = available();
  return Available > MinAvailable_ ? Available - MinAvailable_ : 0;
}

bool PoolPicture::budgetLeavesRoom() const {
  return Members_.size() > MinAvailable_;
}

const Member *PoolPicture::find(const InstanceId &Name) const {
  const auto Found = std::ranges::find(Members_, Name, &Member::id);
  return Found == Members_.end() ? nullptr : &*Found;
}

bool recentlyHeard(const Snapshot &S, const WorkerStatus *Status) {
  return Status && Status->Reachable_ &&
         S.Now_ - Status->SeenAt_ <= StatusMaxAge;
}

bool saidLeaving(const Snapshot &S, const InstanceId &Name) {
  const auto *Listed = listedOf(S, Name);
  const auto *Status = statusOf(S, Name);
  return (Listed && Listed->Leaving_) || (Status && Status->Leaving_) ||
         S.DeclaredLeaving_.contains(Name);
}

PoolPicture pictureOf(const Snapshot &S, const PoolId &Pool) {
  PoolPicture Picture;
  Picture.Name_ = Pool;
  if (const auto P = S.View_.Pools_.find(Pool); P != S.View_.Pools_.end()) {
    const bool Removed = P->second.Removed_;
    Picture.Size_ = Removed ? 0 : P->second.Size_;
    Picture.Spare_ = P->second.Spare_;
    Picture.MinAvailable_ = Removed ? 0 : minAvailableOf(S.View_, P->second);
  }
  if (const auto P = S.Permits_.find(Pool); P != S.Permits_.end())
    Picture.Permit_ = P->second;
  for (const auto &[Name, Record] : S.Instances_)
    if (Record.Row_.Pool_ == Pool)
      Picture.Members_.push_back(memberOf(S, Picture.Permit_, Record));
  return Picture;
}

} // namespace heathercross::fleet
