// What accounts use in a pool, and which starts their limits permit.
#include "schedule/account-usage.h"

#include <algorithm>

namespace heathercross::schedule {

Resources leastOf(const Resources &A, const Resources &B) {
  return {std::min(A.CpuMilli_, B.CpuMilli_),
          std::min(A.MemoryMb_, B.MemoryMb_), std::min(A.Gpus_, B.Gpus_)};
}

Resources mostOf(const Resources &A, const Resources &B) {
  return {std::max(A.CpuMilli_, B.CpuMilli_),
          std::max(A.MemoryMb_, B.MemoryMb_), std::max(A.Gpus_, B.Gpus_)};
}

const accounts::Allowance *AccountUsage::allowance(const AccountId &Id) const {
  const auto It = Allowances_.find(Id);
  return It == Allowances_.end() ? nullptr : &It->second;
}

void AccountUsage::clear() {
  Needs_.clear();
  for (const auto &[Id, A] : Allowances_)
    Needs_[Id];
}

void AccountUsage::addUsed(const AccountId &Id, const Resources &R) {
  if (const auto It = Needs_.find(Id); It != Needs_.end())
    It->second.Used_ += R;
}

void AccountUsage::addAwaited(const AccountId &Id, const Resources &R) {
  if (const auto It = Needs_.find(Id); It != Needs_.end())
    It->second.Awaited_ += R;
}

void AccountUsage::addWaiting(const AccountId &Id, const Resources &Needs,
                              std::uint32_t Count, bool Gang) {
  const auto It = Needs_.find(Id);
  const accounts::Allowance *A = allowance(Id);
  if (It == Needs_.end() || !A || Count == 0)
    return;
  accounts::AccountNeed &N = It->second;
  N.Waiting_ += times(Needs, Count);
  const Resources One = Gang ? times(Needs, Count) : Needs;
  if (!N.Least_ || accounts::shareFor(One, A->Limit_) <
                       accounts::shareFor(*N.Least_, A->Limit_))
    N.Least_ = One;
}

void AccountUsage::limitWaiting(const Resources &Room) {
  for (auto &[Id, N] : Needs_)
    N.Waiting_ =
        leastOf(N.Waiting_, mostOf(Room, N.Least_.value_or(Resources())));
}

bool AccountUsage::permits(const AccountId &Id, const Resources &Needs,
                           std::uint32_t Count) {
  const accounts::Allowance *A = allowance(Id);
  if (!A)
    return true;
  accounts::AccountNeed &N = Needs_[Id];
  Resources Used = N.Used_;
  Used += N.Awaited_;
  const bool Permitted = A->permits(Used, times(Needs, Count), Needs);
  N.AtLimit_ = N.AtLimit_ || !Permitted;
  return Permitted;
}

void AccountUsage::start(const AccountId &Id, const Resources &Needs) {
  const auto It = Needs_.find(Id);
  if (It == Needs_.end())
    return;
  It->second.Used_ += Needs;
  It->second.Waiting_ -= Needs;
  It->second.Waiting_ = mostOf(It->second.Waiting_, Resources());
}

} // namespace heathercross::schedule
