// Stores which shares of the accounts' limits a pool has.
#pragma once

#include "accounts/limit-share.h"
#include "entry/context.h"
#include "schedule/configuration.h"

#include <QJsonObject>
#include <QObject>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::entry {

/// Encodes and decodes the row of an account. Entries that can't be read count
/// as if the pool had nothing.
std::string encodeShares(const accounts::LimitShares &S);
accounts::LimitShares decodeShares(const std::string &Text);

/// The shares of one pool in the limits of all accounts. Calls the store only
/// while the configuration has an account with a limit.
class AccountShares : public QObject {
public:
  using Needs = std::map<AccountId, accounts::AccountNeed>;
  using Allowances = std::map<AccountId, accounts::Allowance>;

  /// For the holder of an epoch of the pool's duty. OnChange is called when an
  /// allowance may have changed.
  AccountShares(Context &C, PoolId Pool, Epoch Own,
                std::function<void()> OnChange);

  void setConfiguration(const schedule::Configuration &C);
  /// Takes in the current needs, and writes and reads the shares that are due.
  void update(const Needs &N);
  /// What the accounts with a limit may use; nothing until the shares are
  /// loaded.
  Allowances allowances() const;
  /// Gives back the shares of accounts that use nothing. The transactions are
  /// sent before the call returns; one that fails leaves the share to the next
  /// holder of the duty.
  void release();
  QJsonObject dump() const;

private:
  /// A transaction that isn't answered, or has no clear answer. It can take
  /// effect only while the account's row has the version Base_.
  struct Pending {
    RowVersion Base_;
    std::int64_t Share_ = 0;
  };
  static inline const accounts::AccountNeed NoNeed{};
  struct State {
    explicit State(PoolId Pool) : Decision_(std::move(Pool)) {}

    accounts::ShareDecision Decision_;
    Resources Limit_;
    accounts::LimitShares Row_;
    RowVersion Version_;
    /// Whether the row has been read by this holder.
    bool Loaded_ = false;
    /// Absent until the scheduler has counted.
    std::optional<accounts::AccountNeed> Need_;
    std::optional<Pending> Pending_;
    bool InFlight_ = false;
    Instant NextWrite_;
    bool AtLimit_ = false;
    Instant AtLimitLogged_;

    bool limited() const { return Limit_ != Resources(); }
    accounts::AccountNeed need() const { return Need_.value_or(NoNeed); }
    /// The stored row, with a smaller own share if a pending transaction may
    /// still write that.
    accounts::LimitShares safeRow(const PoolId &Pool) const;
    bool mayShrink(const PoolId &Pool) const;
    void adopt(accounts::LimitShares Row, RowVersion Version);
  };

  void load();
  void writeEpoch(RowVersion Base);
  /// Reads the rows of the accounts that haven't been read.
  void readAccounts();
  void readRows(const std::string &From, const std::vector<AccountId> &Wanted);
  void readComplete(const std::vector<AccountId> &Wanted);
  void retry();
  /// Takes in rows of the partition; one that is older than known is ignored.
  void adopt(const std::vector<platform_api::StoredRow> &Rows);
  void pollIfDue(Instant Now);
  void poll(const std::string &From);
  void writeIfDue(const AccountId &Id, State &S, Instant Now);
  void write(const AccountId &Id, State &S, const accounts::LimitShares &Row);
  void written(const AccountId &Id, const accounts::LimitShares &Row,
               const platform_api::StoreReply &R);
  void logAtLimit(const AccountId &Id, State &S, Instant Now);
  void logChange(const AccountId &Id, const State &S, std::int64_t From);

  Context &Context_;
  PoolId Pool_;
  Epoch Epoch_;
  std::function<void()> OnChange_;
  std::map<AccountId, State> Accounts_;
  /// Version of the pool's row, which holds the epoch.
  RowVersion PoolVersion_;
  bool Loading_ = false;
  bool EpochWritten_ = false;
  /// A later holder has written its epoch.
  bool Fenced_ = false;
  bool Polling_ = false;
  Instant NextPoll_;
  Instant NextWrite_;
};

} // namespace heathercross::entry
