// Client accounts: who owns a job, and what its owner may use.
#include "accounts/account.h"

#include <algorithm>

namespace heathercross::accounts {

const Account *AccountDirectory::find(const AccountId &Id) const {
  const auto It = std::ranges::find(Accounts_, Id, &Account::Id_);
  return It == Accounts_.end() ? nullptr : &*It;
}

const Account *AccountDirectory::findByKey(std::string_view Key) const {
  if (Key.empty())
    return nullptr;
  const access::TokenDigest Digest = access::digestOf(Key);
  const Account *Match = nullptr;
  for (const Account &A : Accounts_)
    for (const access::TokenDigest &Known : A.Keys_)
      if (access::equalInConstantTime(Known, Digest))
        Match = &A;
  return Match;
}

} // namespace heathercross::accounts
