// Collects what one step changes in one pool, as one conditional transaction.
#include "fleet/pool-plan.h"

#include "fleet/rows.h"

#include <algorithm>
#include <utility>

namespace heathercross::fleet {

namespace {

bool needsPermit(const Member &M) {
  const auto State = M.row().State_;
  return State == InstanceState::Draining || State == InstanceState::Rebooting;
}

} // namespace

PoolPlan::PoolPlan(const PoolPicture &Picture, const LeaseHold &Lease)
    : Picture_(Picture), Lease_(Lease), Permit_(Picture.Permit_),
      PermitsLeft_(Picture.permitsLeft()) {
  dropStaleHolds();
}

void PoolPlan::dropStaleHolds() {
  std::erase_if(Permit_.Held_, [&](const InstanceId &Name) {
    const auto *M = Picture_.find(Name);
    return !M || !needsPermit(*M);
  });
}

void PoolPlan::edit(const InstanceId &Name, RowVersion Expected,
                    std::optional<InstanceRow> New) {
  Rows_[Name] = {Expected, std::move(New)};
}

void PoolPlan::release(const InstanceId &Name) {
  std::erase(Permit_.Held_, Name);
}

bool PoolPlan::disrupt(const Member &M, InstanceRow New) {
  if (M.available()) {
    if (PermitsLeft_ == 0)
      return false;
    --PermitsLeft_;
  }
  const bool Holds = New.State_ == InstanceState::Draining;
  if (Holds && !M.Held_)
    Permit_.Held_.push_back(M.id());
  edit(M.id(), M.Record_->Version_, std::move(New));
  return true;
}

void PoolPlan::settle(const Member &M, InstanceRow New) {
  release(M.id());
  edit(M.id(), M.Record_->Version_, std::move(New));
}

void PoolPlan::change(const Member &M, InstanceRow New) {
  edit(M.id(), M.Record_->Version_, std::move(New));
}

void PoolPlan::insert(InstanceRow New) {
  const auto Name = New.Name_;
  edit(Name, RowVersion(), std::move(New));
}

void PoolPlan::erase(const Member &M) {
  release(M.id());
  edit(M.id(), M.Record_->Version_, std::nullopt);
}

void PoolPlan::finish(const WaveId &Wave) { Permit_.Finished_.push_back(Wave); }

std::optional<Transaction> PoolPlan::transaction(AttemptId Attempt) const {
  if (Rows_.empty() && Permit_ == Picture_.Permit_)
    return std::nullopt;
  Transaction T;
  T.Attempt_ = std::move(Attempt);
  T.Expect_ = {{leaseKey(Picture_.Name_), Lease_.Version_},
               {permitKey(Picture_.Name_), Permit_.Version_}};
  auto Permit = Permit_;
  Permit.Epoch_ = Lease_.Epoch_;
  T.Put_ = {{permitKey(Picture_.Name_), encode(Permit)}};
  for (const auto &[Name, Change] : Rows_) {
    T.Expect_.push_back({instanceKey(Name), Change.Expected_});
    if (Change.New_)
      T.Put_.push_back({instanceKey(Name), encode(*Change.New_)});
    else
      T.Erase_.push_back(instanceKey(Name));
  }
  return T;
}

} // namespace heathercross::fleet
