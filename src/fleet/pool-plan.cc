// Collects the changes of one step to one pool in a conditional transaction.
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

PoolPlan::PoolPlan(const PoolSnapshot &Pool, const HeldLease &Lease)
    : Pool_(Pool), Lease_(Lease), Permit_(Pool.Permit_),
      PermitsLeft_(Pool.permitsLeft()) {
  dropStalePermits();
}

void PoolPlan::dropStalePermits() {
  std::erase_if(Permit_.Held_, [&](const InstanceId &Name) {
    const auto *M = Pool_.find(Name);
    return !M || !needsPermit(*M);
  });
}

void PoolPlan::setRow(const InstanceId &Name, RowVersion Expected,
                      std::optional<InstanceRow> New) {
  Changes_[Name] = {Expected, std::move(New)};
}

void PoolPlan::releasePermit(const InstanceId &Name) {
  std::erase(Permit_.Held_, Name);
}

bool PoolPlan::disrupt(const Member &M, InstanceRow New) {
  if (M.available()) {
    if (PermitsLeft_ == 0)
      return false;
    --PermitsLeft_;
  }
  const bool RecordsPermit = New.State_ == InstanceState::Draining;
  if (RecordsPermit && !M.HoldsPermit_)
    Permit_.Held_.push_back(M.id());
  setRow(M.id(), M.Record_->Version_, std::move(New));
  return true;
}

void PoolPlan::updateAndRelease(const Member &M, InstanceRow New) {
  releasePermit(M.id());
  setRow(M.id(), M.Record_->Version_, std::move(New));
}

void PoolPlan::update(const Member &M, InstanceRow New) {
  setRow(M.id(), M.Record_->Version_, std::move(New));
}

void PoolPlan::insert(InstanceRow New) {
  const auto Name = New.Name_;
  setRow(Name, RowVersion(), std::move(New));
}

void PoolPlan::erase(const Member &M) {
  releasePermit(M.id());
  setRow(M.id(), M.Record_->Version_, std::nullopt);
}

void PoolPlan::finishWave(const WaveId &Wave) {
  Permit_.Finished_.push_back(Wave);
}

std::optional<Transaction> PoolPlan::transaction(AttemptId Attempt) const {
  if (Changes_.empty() && Permit_ == Pool_.Permit_)
    return std::nullopt;
  Transaction T;
  T.Attempt_ = std::move(Attempt);
  T.Expect_ = {{leaseKey(Pool_.Name_), Lease_.Version_},
               {permitKey(Pool_.Name_), Permit_.Version_}};
  auto Permit = Permit_;
  Permit.Epoch_ = Lease_.Epoch_;
  T.Put_ = {{permitKey(Pool_.Name_), encode(Permit)}};
  for (const auto &[Name, Change] : Changes_) {
    T.Expect_.push_back({instanceKey(Name), Change.Expected_});
    if (Change.New_)
      T.Put_.push_back({instanceKey(Name), encode(*Change.New_)});
    else
      T.Erase_.push_back(instanceKey(Name));
  }
  return T;
}

} // namespace heathercross::fleet
