// What accounts use in a pool, and which starts their limits permit.
#pragma once

#include "accounts/limit-share.h"

#include <cstdint>
#include <map>
#include <optional>

namespace heathercross::schedule {

/// Counts what accounts with a limit use and need in one scheduling round.
class AccountUsage {
public:
  using AccountNeeds = std::map<AccountId, accounts::AccountNeed>;

  /// Sets what the accounts with a limit may use. Others aren't counted.
  void
  setAllowances(const std::map<AccountId, accounts::Allowance> &Allowances);
  bool anyLimited() const { return !Entries_.empty(); }
  /// The allowance of an account, or null if it has no limit.
  const accounts::Allowance *allowance(const AccountId &Id) const;

  /// Begins a new count.
  void clear();
  /// Each of these ignores accounts without a limit.
  void addUsed(const AccountId &Id, const Resources &R);
  void addAwaited(const AccountId &Id, const Resources &R);
  /// Adds Count waiting tasks; a gang starts only as a whole.
  void addWaiting(const AccountId &Id, const Resources &Needs,
                  std::uint32_t Count, bool Gang);
  /// Bounds the waiting tasks that are reported as a need by the room that the
  /// pool has or may soon have.
  void limitWaiting(const Resources &Room);

  /// Whether Count tasks may start together.
  bool permits(const AccountId &Id, const Resources &Needs,
               std::uint32_t Count);
  /// Records that a waiting task starts.
  void start(const AccountId &Id, const Resources &Needs);

  /// The needs as of the last count, of the accounts that were counted.
  AccountNeeds needs() const;
  /// What runs of an account reserve, as of the last count.
  Resources used(const AccountId &Id) const;

private:
  struct Entry {
    accounts::Allowance Allowance_;
    /// Absent until the first count.
    std::optional<accounts::AccountNeed> Need_;
  };

  /// The need of an account that is being counted, or null.
  accounts::AccountNeed *counted(const AccountId &Id);

  std::map<AccountId, Entry> Entries_;
};

/// Returns the resources of Count tasks.
constexpr Resources times(const Resources &R, std::int64_t Count) {
  return {R.CpuMilli_ * Count, R.MemoryMb_ * Count, R.Gpus_ * Count};
}

/// Returns the smaller and the larger value of each field.
Resources leastOf(const Resources &A, const Resources &B);
Resources mostOf(const Resources &A, const Resources &B);

} // namespace heathercross::schedule
