// Stores which shares of the accounts' limits a pool has.
#include "entry/account-shares.h"

#include "entry/pool-holder-detail.h"
#include "platform/number.h"

#include <QJsonDocument>
#include <QTimer>

#include <algorithm>
#include <ranges>
#include <string_view>
#include <utility>

namespace heathercross::entry {

namespace {

using accounts::LimitShares;
using detail::RetryPause;
using detail::toQString;
using platform_api::RowPlace;
using platform_api::StoredRow;
using platform_api::StoreOutcome;
using platform_api::StoreReply;

constexpr const char *ShareTable = "account-shares";
/// One partition for all pools, as a transaction has rows of one only.
constexpr const char *SharePartition = "*accounts*";
constexpr std::string_view AccountPrefix = "account/";
/// The store usually answers in 4 ms, and in 60 times that when it is slow.
constexpr Millis CallTimeout{1500};
/// A partition takes 200 transactions a second, from all pools.
constexpr Millis WritePause{30};
/// The same for one account, so that other pools' transactions on its row
/// don't fail all the time.
constexpr Millis AccountWritePause{60};
/// Time between reads of other pools' changes, and the same while this pool
/// lacks a share.
constexpr Millis PollInterval{500};
constexpr Millis LackingPollInterval{150};
constexpr Millis AtLimitLogInterval{1000};

RowPlace poolPlace(const PoolId &Pool) {
  return {ShareTable, SharePartition, "pool/" + Pool.str()};
}

RowPlace accountPlace(const AccountId &Id) {
  return {ShareTable, SharePartition, std::string(AccountPrefix) + Id.str()};
}

std::string encodeObject(const QJsonObject &O) {
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

QJsonObject parseObject(const std::string &Text) {
  return QJsonDocument::fromJson(QByteArray::fromStdString(Text)).object();
}

/// Returns the row at a place, or null.
const StoredRow *rowAt(const std::vector<StoredRow> &Rows, const RowPlace &P) {
  const auto It = std::ranges::find_if(
      Rows, [&](const StoredRow &R) { return R.Place_.Key_ == P.Key_; });
  return It == Rows.end() || It->Removed_ ? nullptr : &*It;
}

QJsonObject encodeResources(const Resources &R) {
  return {{"cpu", static_cast<qint64>(R.CpuMilli_)},
          {"mem_mb", static_cast<qint64>(R.MemoryMb_)},
          {"gpus", static_cast<qint64>(R.Gpus_)}};
}

} // namespace

std::string encodeShares(const LimitShares &S) {
  QJsonObject O;
  for (const auto &[Pool, P] : S.Pools_)
    O[toQString(Pool.str())] =
        QJsonObject{{"share", static_cast<qint64>(P.Share_)},
                    {"wanted", static_cast<qint64>(P.Wanted_)},
                    {"least", static_cast<qint64>(P.Least_)},
                    {"turn", static_cast<qint64>(P.Turn_)},
                    {"over", static_cast<qint64>(P.Over_)}};
  return encodeObject(O);
}

LimitShares decodeShares(const std::string &Text) {
  const QJsonObject O = parseObject(Text);
  LimitShares S;
  for (auto It = O.begin(); It != O.end(); ++It) {
    const QJsonObject P = It.value().toObject();
    const auto Field = [&P](const char *Name) {
      return static_cast<std::int64_t>(
          platform_api::optionalCount(P.value(QLatin1String(Name)))
              .value_or(0));
    };
    S.Pools_[PoolId(It.key().toStdString())] = {Field("share"), Field("wanted"),
                                                Field("least"), Field("turn"),
                                                Field("over")};
  }
  return S;
}

bool AccountShares::State::mayShrink(const PoolId &Pool) const {
  return Pending_ && Pending_->Base_ == Version_ &&
         Pending_->Share_ < Row_.shareOf(Pool);
}

LimitShares AccountShares::State::safeRow(const PoolId &Pool) const {
  LimitShares Safe = Row_;
  if (mayShrink(Pool))
    Safe.Pools_[Pool].Share_ = Pending_->Share_;
  return Safe;
}

void AccountShares::State::adopt(LimitShares Row, RowVersion Version) {
  if (Version < Version_)
    return;
  Row_ = std::move(Row);
  Version_ = Version;
  if (Pending_ && Pending_->Base_ != Version)
    Pending_.reset();
}

AccountShares::AccountShares(Context &C, PoolId Pool, Epoch Own,
                             std::function<void()> OnChange)
    : Context_(C), Pool_(std::move(Pool)), Epoch_(Own),
      OnChange_(std::move(OnChange)) {}

void AccountShares::setConfiguration(const schedule::Configuration &C) {
  std::map<AccountId, Resources> Limits;
  if (C.Accounts_)
    for (const accounts::Account &A : C.Accounts_->accounts())
      if (A.hasLimit())
        Limits[A.Id_] = A.Limit_;
  // An account that has lost its limit gives its share back.
  for (auto &[Id, S] : Accounts_)
    S.Limit_ = Resources();
  bool Added = false;
  for (auto &[Id, Limit] : Limits) {
    const auto [It, New] = Accounts_.try_emplace(Id, Pool_);
    It->second.Limit_ = Limit;
    Added = Added || New;
  }
  if (!Added || Fenced_ || std::exchange(Loading_, true))
    return;
  if (EpochWritten_)
    readAccounts();
  else
    load();
}

// Loading: the pool's row first, which makes writes of the former holder fail.

void AccountShares::load() {
  Context_.Store_.readRow(
      poolPlace(Pool_), CallTimeout, guarded(this, [this](const StoreReply &R) {
        if (R.Outcome_ != StoreOutcome::Ok)
          return retry();
        const StoredRow *Row = rowAt(R.Rows_, poolPlace(Pool_));
        const auto Stored = static_cast<std::uint64_t>(
            Row ? platform_api::optionalCount(parseObject(Row->Value_)["epoch"])
                      .value_or(0)
                : 0);
        if (Stored > Epoch_.value()) {
          Fenced_ = true;
          Loading_ = false;
          return;
        }
        if (Row && Stored == Epoch_.value()) {
          PoolVersion_ = Row->Version_;
          EpochWritten_ = true;
          return readAccounts();
        }
        writeEpoch(Row ? Row->Version_ : RowVersion());
      }));
}

void AccountShares::writeEpoch(RowVersion Base) {
  const std::string Value =
      encodeObject({{"epoch", static_cast<qint64>(Epoch_.value())}});
  Context_.Store_.transact(
      {{{poolPlace(Pool_), Base}}, {{poolPlace(Pool_), Value}}}, CallTimeout,
      guarded(this, [this](const StoreReply &R) {
        if (R.Outcome_ != StoreOutcome::Ok)
          return retry();
        PoolVersion_ = R.Version_;
        EpochWritten_ = true;
        readAccounts();
      }));
}

void AccountShares::retry() {
  QTimer::singleShot(RetryPause, this, [this] { load(); });
}

void AccountShares::readAccounts() {
  std::vector<AccountId> Wanted;
  for (const auto &[Id, S] : Accounts_)
    if (!S.Loaded_)
      Wanted.push_back(Id);
  readRows(std::string(AccountPrefix), Wanted);
}

void AccountShares::readRows(const std::string &From,
                             const std::vector<AccountId> &Wanted) {
  Context_.Store_.read(ShareTable, SharePartition, From, CallTimeout,
                       guarded(this, [this, Wanted](const StoreReply &R) {
                         if (R.Outcome_ != StoreOutcome::Ok)
                           return retry();
                         adopt(R.Rows_);
                         if (R.More_ && !R.Rows_.empty())
                           return readRows(R.Rows_.back().Place_.Key_ + '\0',
                                           Wanted);
                         readComplete(Wanted);
                       }));
}

void AccountShares::readComplete(const std::vector<AccountId> &Wanted) {
  for (const AccountId &Id : Wanted)
    Accounts_.at(Id).Loaded_ = true;
  Context_.Log_.write("account-shares-loaded",
                      {{"pool", toQString(Pool_.str())},
                       {"epoch", static_cast<qint64>(Epoch_.value())},
                       {"accounts", static_cast<qint64>(Wanted.size())}});
  OnChange_();
  if (std::ranges::any_of(Accounts_,
                          [](const auto &E) { return !E.second.Loaded_; }))
    return readAccounts();
  Loading_ = false;
}

void AccountShares::adopt(const std::vector<StoredRow> &Rows) {
  for (const StoredRow &Row : Rows) {
    const std::string &Key = Row.Place_.Key_;
    if (Key == poolPlace(Pool_).Key_ && Row.Version_ > PoolVersion_) {
      Fenced_ = true;
      Context_.Log_.write("account-shares-fenced",
                          {{"pool", toQString(Pool_.str())},
                           {"epoch", static_cast<qint64>(Epoch_.value())}});
    }
    if (!Key.starts_with(AccountPrefix) || Row.Removed_)
      continue;
    const auto It = Accounts_.find(AccountId(Key.substr(AccountPrefix.size())));
    if (It != Accounts_.end())
      It->second.adopt(decodeShares(Row.Value_), Row.Version_);
  }
}

// Use of the loaded shares.

void AccountShares::update(const Needs &N) {
  if (Accounts_.empty() || Fenced_)
    return;
  const Instant Now = Context_.Clock_.now();
  for (auto &[Id, S] : Accounts_) {
    const auto Need = N.find(Id);
    if (Need != N.end())
      S.Need_ = Need->second;
    if (!S.limited())
      S.Need_ = NoNeed;
    // Without needs nothing is known of what the account uses.
    if (!S.Loaded_ || !S.Need_ ||
        (S.Need_->idle() && !S.Row_.Pools_.contains(Pool_) && !S.Pending_))
      continue;
    logAtLimit(Id, S, Now);
    writeIfDue(Id, S, Now);
  }
  pollIfDue(Now);
}

void AccountShares::pollIfDue(Instant Now) {
  const auto Lacks = [this](const auto &Entry) {
    const auto It = Entry.second.Row_.Pools_.find(Pool_);
    return It != Entry.second.Row_.Pools_.end() &&
           It->second.Wanted_ > It->second.Share_;
  };
  const auto HasWork = [this](const auto &Entry) {
    return !Entry.second.need().idle() || Entry.second.Row_.shareOf(Pool_) > 0;
  };
  if (Polling_ || !EpochWritten_ || Now < NextPoll_ ||
      std::ranges::none_of(Accounts_, HasWork))
    return;
  Polling_ = true;
  NextPoll_ = Now + (std::ranges::any_of(Accounts_, Lacks) ? LackingPollInterval
                                                           : PollInterval);
  poll("");
}

void AccountShares::poll(const std::string &From) {
  Context_.Store_.read(ShareTable, SharePartition, From, CallTimeout,
                       guarded(this, [this](const StoreReply &R) {
                         Polling_ = false;
                         if (R.Outcome_ == StoreOutcome::Ok) {
                           adopt(R.Rows_);
                           if (R.More_ && !R.Rows_.empty()) {
                             Polling_ = true;
                             return poll(R.Rows_.back().Place_.Key_ + '\0');
                           }
                         }
                         OnChange_();
                       }));
}

void AccountShares::writeIfDue(const AccountId &Id, State &S, Instant Now) {
  if (S.InFlight_ || Now < S.NextWrite_ || Now < NextWrite_)
    return;
  auto Row = S.Decision_.next(S.Row_, S.need(), S.Limit_, Now);
  // A release without an answer may still arrive. Any write to the row, also of
  // what it has, makes it void.
  if (!Row && S.mayShrink(Pool_))
    Row = S.Row_;
  if (!Row)
    return;
  NextWrite_ = Now + WritePause;
  S.NextWrite_ = Now + AccountWritePause;
  write(Id, S, *Row);
}

void AccountShares::write(const AccountId &Id, State &S,
                          const LimitShares &Row) {
  const std::int64_t Share = Row.shareOf(Pool_);
  S.Pending_ = {S.Version_, S.mayShrink(Pool_)
                                ? std::min(Share, S.Pending_->Share_)
                                : Share};
  S.InFlight_ = true;
  const RowPlace Place = accountPlace(Id);
  Context_.Store_.transact(
      {{{poolPlace(Pool_), PoolVersion_}, {Place, S.Version_}},
       {{Place, encodeShares(Row)}}},
      CallTimeout, guarded(this, [this, Id, Row](const StoreReply &R) {
        written(Id, Row, R);
      }));
}

void AccountShares::written(const AccountId &Id, const LimitShares &Row,
                            const StoreReply &R) {
  const auto It = Accounts_.find(Id);
  if (It == Accounts_.end())
    return;
  State &S = It->second;
  const std::int64_t Before = S.Row_.shareOf(Pool_);
  S.InFlight_ = false;
  switch (R.Outcome_) {
  case StoreOutcome::Ok:
    S.adopt(Row, R.Version_);
    break;
  case StoreOutcome::Conflict:
    Context_.Metrics_.add("heathercross_account_share_conflicts_total",
                          "Changes of account shares that other pools' changes "
                          "preceded.");
    adopt(R.Rows_);
    break;
  case StoreOutcome::Refused:
  case StoreOutcome::Rejected:
  case StoreOutcome::HistoryGone:
  case StoreOutcome::Unknown:
    S.NextWrite_ = Context_.Clock_.now() + RetryPause;
    // The row tells whether the transaction was carried out.
    NextPoll_ = Instant();
    break;
  }
  if (S.Row_.shareOf(Pool_) != Before)
    logChange(Id, S, Before);
  OnChange_();
}

AccountShares::Allowances AccountShares::allowances() const {
  Allowances Found;
  for (const auto &[Id, S] : Accounts_) {
    if (!S.limited())
      continue;
    if (S.Loaded_ && !Fenced_)
      Found[Id] = S.Decision_.allowance(S.safeRow(Pool_), S.need(), S.Limit_);
    else
      Found[Id] = {S.Limit_, 0, accounts::WholeShare};
  }
  return Found;
}

void AccountShares::release() {
  if (Fenced_)
    return;
  for (auto &[Id, S] : Accounts_) {
    const bool Unused = S.Need_ && S.Need_->Used_ == Resources() &&
                        S.Need_->Awaited_ == Resources();
    if (!Unused || S.InFlight_ || !S.Row_.Pools_.contains(Pool_))
      continue;
    LimitShares Row = S.Row_;
    Row.Pools_.erase(Pool_);
    write(Id, S, Row);
  }
}

void AccountShares::logAtLimit(const AccountId &Id, State &S, Instant Now) {
  const bool AtLimit = S.need().AtLimit_;
  const bool Began = !std::exchange(S.AtLimit_, AtLimit) && AtLimit;
  if (!Began || Now - S.AtLimitLogged_ < AtLimitLogInterval)
    return;
  S.AtLimitLogged_ = Now;
  Context_.Metrics_.add("heathercross_accounts_at_limit_total",
                        "How often an account's limit began to delay starts.");
  Context_.Log_.write(
      "account-at-limit",
      {{"pool", toQString(Pool_.str())},
       {"account", toQString(Id.str())},
       {"share", static_cast<qint64>(S.Row_.shareOf(Pool_))},
       {"unallocated", static_cast<qint64>(S.Row_.unallocated())},
       {"used", encodeResources(S.need().Used_)}});
}

void AccountShares::logChange(const AccountId &Id, const State &S,
                              std::int64_t From) {
  const std::int64_t To = S.Row_.shareOf(Pool_);
  Context_.Metrics_.add(To > From
                            ? "heathercross_account_shares_acquired_total"
                            : "heathercross_account_shares_released_total",
                        To > From ? "Shares of accounts' limits acquired."
                                  : "Shares of accounts' limits released.");
  Context_.Log_.writeRoutine("account-share", [&] {
    return QJsonObject{
        {"pool", toQString(Pool_.str())},
        {"account", toQString(Id.str())},
        {"from", static_cast<qint64>(From)},
        {"to", static_cast<qint64>(To)},
        {"unallocated", static_cast<qint64>(S.Row_.unallocated())}};
  });
}

QJsonObject AccountShares::dump() const {
  QJsonObject All;
  for (const auto &[Id, A] : allowances()) {
    const State &S = Accounts_.at(Id);
    All[toQString(Id.str())] =
        QJsonObject{{"loaded", S.Loaded_},
                    {"share", static_cast<qint64>(S.Row_.shareOf(Pool_))},
                    {"allowed_share", static_cast<qint64>(A.Share_)},
                    {"unallocated", static_cast<qint64>(S.Row_.unallocated())},
                    {"used", encodeResources(S.need().Used_)},
                    {"limit", encodeResources(S.Limit_)},
                    {"at_limit", S.need().AtLimit_}};
  }
  return All;
}

} // namespace heathercross::entry
