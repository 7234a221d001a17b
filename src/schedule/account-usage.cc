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

void AccountUsage::setAllowances(
    const std::map<AccountId, accounts::Allowance> &Allowances) {
  std::erase_if(Entries_, [&](const auto &Known) {
    return !Allowances.contains(Known.first);
  });
  for (const auto &[Id, A] : Allowances)
    Entries_[Id].Allowance_ = A;
}

const accounts::Allowance *AccountUsage::allowance(const AccountId &Id) const {
  const auto It = Entries_.find(Id);
  return It == Entries_.end() ? nullptr : &It->second.Allowance_;
}

accounts::AccountNeed *AccountUsage::counted(const AccountId &Id) {
  const auto It = Entries_.find(Id);
  return It == Entries_.end() || !It->second.Need_ ? nullptr
                                                   : &*It->second.Need_;
}

void AccountUsage::clear() {
  for (auto &[Id, E] : Entries_)
    E.Need_.emplace();
}

void AccountUsage::addUsed(const AccountId &Id, const Resources &R) {
  if (accounts::AccountNeed *N = counted(Id))
    N->Used_ += R;
}

void AccountUsage::addAwaited(const AccountId &Id, const Resources &R) {
  if (accounts::AccountNeed *N = counted(Id))
    N->Awaited_ += R;
}

void AccountUsage::addWaiting(const AccountId &Id, const Resources &Needs,
                              std::uint32_t Count, bool Gang) {
  const auto It = Entries_.find(Id);
  if (It == Entries_.end() || !It->second.Need_ || Count == 0)
    return;
  accounts::AccountNeed &N = *It->second.Need_;
  const Resources &Limit = It->second.Allowance_.Limit_;
  N.Waiting_ += times(Needs, Count);
  const Resources One = Gang ? times(Needs, Count) : Needs;
  if (N.Least_ == One)
    return;
  if (!N.Least_ ||
      accounts::shareFor(One, Limit) < accounts::shareFor(*N.Least_, Limit))
    N.Least_ = One;
}

void AccountUsage::limitWaiting(const Resources &Room) {
  for (auto &[Id, E] : Entries_)
    if (E.Need_)
      E.Need_->Waiting_ =
          leastOf(E.Need_->Waiting_,
                  mostOf(Room, E.Need_->Least_.value_or(Resources())));
}

bool AccountUsage::permits(const AccountId &Id, const Resources &Needs,
                           std::uint32_t Count) {
  const auto It = Entries_.find(Id);
  if (It == Entries_.end())
    return true;
  // Nothing is known of what an account uses that hasn't been counted.
  if (!It->second.Need_)
    return false;
  accounts::AccountNeed &N = *It->second.Need_;
  Resources Used = N.Used_;
  Used += N.Awaited_;
  const bool Permitted =
      It->second.Allowance_.permits(Used, times(Needs, Count), Needs);
  N.AtLimit_ = N.AtLimit_ || !Permitted;
  return Permitted;
}

void AccountUsage::start(const AccountId &Id, const Resources &Needs) {
  accounts::AccountNeed *N = counted(Id);
  if (!N)
    return;
  N->Used_ += Needs;
  N->Waiting_ -= Needs;
  N->Waiting_ = mostOf(N->Waiting_, Resources());
}

AccountUsage::AccountNeeds AccountUsage::needs() const {
  AccountNeeds Needs;
  for (const auto &[Id, E] : Entries_)
    if (E.Need_)
      Needs.emplace(Id, *E.Need_);
  return Needs;
}

Resources AccountUsage::used(const AccountId &Id) const {
  const auto It = Entries_.find(Id);
  return It == Entries_.end() || !It->second.Need_ ? Resources()
                                                   : It->second.Need_->Used_;
}

} // namespace heathercross::schedule
