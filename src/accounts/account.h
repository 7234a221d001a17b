// Client accounts: who owns a job, and what its owner may use.
#pragma once

#include "access/access.h"
#include "heathercross/ids.h"
#include "heathercross/resources.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace heathercross::accounts {

struct Account {
  AccountId Id_;
  /// Digests of the keys that identify the account.
  std::vector<access::TokenDigest> Keys_;
  /// Jobs per second that the account is owed when capacity is short; 0 if it
  /// has no guaranteed rate.
  std::uint32_t Weight_ = 0;
  /// What the account's tasks may use in all pools together; 0 in a field means
  /// no limit.
  Resources Limit_;

  bool hasLimit() const { return Limit_ != Resources(); }
};

/// The configured accounts.
class AccountDirectory {
public:
  AccountDirectory() = default;
  explicit AccountDirectory(std::vector<Account> Accounts)
      : Accounts_(std::move(Accounts)) {}

  const std::vector<Account> &accounts() const { return Accounts_; }
  /// Returns an account, or null.
  const Account *find(const AccountId &Id) const;
  /// Returns the account that a key identifies, or null. The time it takes
  /// doesn't depend on how much of a key matches, which would help to guess
  /// one.
  const Account *findByKey(std::string_view Key) const;

private:
  std::vector<Account> Accounts_;
};

/// Whether a caller may see and cancel a job. Either account is empty if no key
/// was needed at the time.
inline bool mayAccess(const AccountId &Caller, const AccountId &Owner) {
  return Caller.empty() || Owner.empty() || Caller == Owner;
}

} // namespace heathercross::accounts
