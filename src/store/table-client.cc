// A client for heathercross's rows and objects, and for the list of instances,
// in the platform's store.
#include "store/table-client.h"

#include "platform/documents.h"
#include "store/row-text.h"

#include <QJsonDocument>
#include <QJsonObject>
#include <QTimer>

#include <algorithm>
#include <iterator>

namespace heathercross::store {

namespace {

using platform_api::ObjectReply;
using platform_api::RowPlace;
using platform_api::StoredRow;
using platform_api::StoreOutcome;
using platform_api::StoreReply;
using platform_api::StoreTransaction;

/// The store's limit: a reply with this many rows may be incomplete.
constexpr std::size_t MaxRowsPerReply = 500;
constexpr std::int64_t MilliPerCore = 1000;

RowPlace rowPlace(const std::string &Key) { return {tableOf(Key), "", Key}; }

StoreTransaction toStoreTransaction(const Transaction &T) {
  StoreTransaction Out;
  for (const Expectation &E : T.Expect_)
    Out.Conditions_.push_back({rowPlace(E.Key_), E.Version_});
  for (const Put &P : T.Put_)
    Out.Changes_.push_back({rowPlace(P.Key_), encodeRow(T.Attempt_, P.Value_)});
  for (const std::string &Key : T.Erase_)
    Out.Changes_.push_back({rowPlace(Key), std::nullopt});
  return Out;
}

Row toRow(const StoredRow &R) {
  return decodeRow(R.Place_.Key_, R.Version_, R.Value_);
}

/// The expectations that the store's rows contradict, with the actual versions.
std::vector<Expectation> conflicts(const Transaction &T, const StoreReply &R) {
  std::vector<Expectation> Found;
  for (const Expectation &E : T.Expect_) {
    const auto Row = std::ranges::find(
        R.Rows_, E.Key_, [](const StoredRow &S) { return S.Place_.Key_; });
    const bool Exists = Row != R.Rows_.end() && !Row->Removed_;
    const RowVersion Actual = Exists ? Row->Version_ : RowVersion();
    if (Actual != E.Version_)
      Found.push_back({E.Key_, Actual});
  }
  return Found;
}

CommitResult commitResult(const Transaction &T, const StoreReply &R) {
  switch (R.Outcome_) {
  case StoreOutcome::Ok:
    return {CommitStatus::Committed, R.Version_, {}};
  case StoreOutcome::Conflict:
    return {CommitStatus::Conflict, {}, conflicts(T, R)};
  case StoreOutcome::Refused:
  case StoreOutcome::Rejected:
    return {CommitStatus::Refused, {}, {}};
  case StoreOutcome::Unknown:
  case StoreOutcome::HistoryGone:
    break;
  }
  return {CommitStatus::Uncertain, {}, {}};
}

ListedInstance toListedInstance(const schedule::WorkerInfo &W) {
  ListedInstance L;
  L.Name_ = W.Id_;
  L.Zone_ = W.Zone_;
  L.Rack_ = W.Rack_;
  L.Address_ = W.Address_;
  L.Leaving_ = W.Draining_;
  L.Cores_ = static_cast<std::uint32_t>(W.Capacity_.CpuMilli_ / MilliPerCore);
  L.MemoryMb_ = static_cast<std::uint32_t>(W.Capacity_.MemoryMb_);
  return L;
}

/// The reply to a call that wasn't sent.
StoreReply unsentReply() {
  StoreReply R;
  R.Outcome_ = StoreOutcome::Refused;
  return R;
}

} // namespace

TableClient::TableClient(platform_api::Store &Store, Millis Timeout)
    : Store_(Store), Timeout_(Timeout) {}

void TableClient::callStore(const std::function<void(StoreDone)> &Send,
                            StoreDone OnDone) {
  StoreDone RecordAndForward =
      [this, OnDone = std::move(OnDone)](const StoreReply &R) {
        LastCallAnswered_ = R.Outcome_ != StoreOutcome::Refused &&
                            R.Outcome_ != StoreOutcome::Unknown;
        Counters_.Failures_ += LastCallAnswered_ ? 0 : 1;
        OnDone(R);
      };
  if (!Cut_)
    return Send(std::move(RecordAndForward));
  QTimer::singleShot(0, [RecordAndForward = std::move(RecordAndForward)] {
    RecordAndForward(unsentReply());
  });
}

void TableClient::commit(const Transaction &T,
                         const Done<CommitResult> &OnDone) {
  ++Counters_.Writes_;
  callStore(
      [&](StoreDone OnReply) {
        Store_.transact(toStoreTransaction(T), Timeout_, std::move(OnReply));
      },
      [T, OnDone](const StoreReply &R) { OnDone(commitResult(T, R)); });
}

void TableClient::readRow(const std::string &Key,
                          const Done<RowResult> &OnDone) {
  ++Counters_.Reads_;
  callStore(
      [&](StoreDone OnReply) {
        Store_.readRow(rowPlace(Key), Timeout_, std::move(OnReply));
      },
      [Key, OnDone](const StoreReply &R) {
        RowResult Result;
        Result.Answered_ = R.Outcome_ == StoreOutcome::Ok;
        for (const StoredRow &Row : R.Rows_)
          if (Row.Place_.Key_ == Key && !Row.Removed_)
            Result.Row_ = toRow(Row);
        OnDone(Result);
      });
}

void TableClient::readAll(
    const std::string &Table, std::string FirstKey, RowVersion FirstPageVersion,
    Rows Collected,
    std::function<void(std::optional<RowVersion>, Rows)> OnDone) {
  ++Counters_.Reads_;
  callStore(
      [&](StoreDone OnReply) {
        Store_.read(Table, "", FirstKey, Timeout_, std::move(OnReply));
      },
      [this, Table, FirstPageVersion, Collected = std::move(Collected),
       OnDone = std::move(OnDone)](const StoreReply &R) mutable {
        if (R.Outcome_ != StoreOutcome::Ok)
          return OnDone(std::nullopt, {});
        for (const StoredRow &Row : R.Rows_)
          Collected[Row.Place_.Key_] = Row;
        const RowVersion StartVersion =
            FirstPageVersion == RowVersion() ? R.Version_ : FirstPageVersion;
        if (R.More_ && !R.Rows_.empty())
          return readAll(Table, R.Rows_.back().Place_.Key_ + '\0', StartVersion,
                         std::move(Collected), std::move(OnDone));
        OnDone(StartVersion, std::move(Collected));
      });
}

void TableClient::readChanges(
    const std::string &Table, RowVersion After, Rows Collected,
    std::function<void(StoreOutcome, RowVersion, Rows)> OnDone) {
  ++Counters_.Reads_;
  callStore(
      [&](StoreDone OnReply) {
        Store_.changes(Table, After, Millis(0), Timeout_, std::move(OnReply));
      },
      [this, Table, Collected = std::move(Collected),
       OnDone = std::move(OnDone)](const StoreReply &R) mutable {
        if (R.Outcome_ != StoreOutcome::Ok)
          return OnDone(R.Outcome_, {}, {});
        for (const StoredRow &Row : R.Rows_)
          Collected[Row.Place_.Key_] = Row;
        if (R.Rows_.size() >= MaxRowsPerReply)
          return readChanges(Table, R.Version_, std::move(Collected),
                             std::move(OnDone));
        OnDone(StoreOutcome::Ok, R.Version_, std::move(Collected));
      });
}

void TableClient::readTable(
    const std::string &Table, RowVersion After,
    const std::function<void(std::optional<RowVersion>, Rows)> &OnDone) {
  const auto ReadAllRows = [this, Table, OnDone] {
    readAll(Table, "", RowVersion(), {},
            [this, Table, OnDone](std::optional<RowVersion> FirstPageVersion,
                                  Rows Collected) {
              if (!FirstPageVersion)
                return OnDone(std::nullopt, {});
              // The pages are read one after another. Changes made in between
              // are added, so that none is missing up to the final version.
              readChanges(
                  Table, *FirstPageVersion, std::move(Collected),
                  [OnDone](StoreOutcome O, RowVersion V, Rows Complete) {
                    const bool Succeeded = O == StoreOutcome::Ok;
                    OnDone(Succeeded ? std::optional(V) : std::nullopt,
                           std::move(Complete));
                  });
            });
  };
  if (After == RowVersion())
    return ReadAllRows();
  readChanges(
      Table, After, {},
      [ReadAllRows, OnDone](StoreOutcome O, RowVersion V, Rows Changed) {
        if (O == StoreOutcome::HistoryGone)
          return ReadAllRows();
        const bool Succeeded = O == StoreOutcome::Ok;
        OnDone(Succeeded ? std::optional(V) : std::nullopt, std::move(Changed));
      });
}

void TableClient::scan(const std::string &Prefix, RowVersion After,
                       Done<ScanResult> OnDone) {
  readTable(tableOf(Prefix), After,
            [Prefix, After, OnDone = std::move(OnDone)](
                std::optional<RowVersion> Version, const Rows &Found) {
              ScanResult Result;
              Result.Answered_ = Version.has_value();
              for (const auto &[Key, R] : Found)
                if (Key.starts_with(Prefix) && !R.Removed_ &&
                    R.Version_ > After)
                  Result.Rows_.push_back(toRow(R));
              std::ranges::stable_sort(Result.Rows_, {}, &Row::Version_);
              OnDone(Result);
            });
}

void TableClient::listInstances(const Done<ListResult> &OnDone) {
  const bool IsFirstRead = ListVersion_ == RowVersion();
  readTable(platform_api::WorkerTable, ListVersion_,
            [this, IsFirstRead, OnDone](std::optional<RowVersion> Version,
                                        const Rows &Found) {
              if (!Version)
                return OnDone({});
              ListVersion_ = *Version;
              if (IsFirstRead)
                InstancesByKey_.clear();
              for (const auto &[Key, R] : Found) {
                const auto W = R.Removed_
                                   ? std::nullopt
                                   : platform_api::parseWorker(Key, R.Value_);
                if (W)
                  InstancesByKey_[Key] = toListedInstance(*W);
                else
                  InstancesByKey_.erase(Key);
              }
              ListResult Result{true, {}};
              std::ranges::transform(
                  InstancesByKey_, std::back_inserter(Result.Instances_),
                  [](const auto &Entry) { return Entry.second; });
              OnDone(Result);
            });
}

void TableClient::putObject(const std::string &Name, const QByteArray &Bytes,
                            const Done<ObjectResult> &OnDone) {
  ++Counters_.Writes_;
  if (Cut_) {
    QTimer::singleShot(0, [OnDone] { OnDone({}); });
    return;
  }
  Store_.putObject(Name, Bytes, Timeout_, [OnDone](const ObjectReply &R) {
    const bool Stored = R.Outcome_ == StoreOutcome::Ok;
    OnDone({Stored, Stored, {}});
  });
}

void TableClient::getObject(const std::string &Name,
                            const Done<ObjectResult> &OnDone) {
  ++Counters_.Reads_;
  if (Cut_) {
    QTimer::singleShot(0, [OnDone] { OnDone({}); });
    return;
  }
  Store_.getObject(Name, Timeout_, [OnDone](const ObjectReply &R) {
    OnDone({R.Outcome_ == StoreOutcome::Ok, R.Exists_, R.Bytes_});
  });
}

std::string TableClient::dump() const {
  const QJsonObject O{{"answering", LastCallAnswered_},
                      {"cut", Cut_},
                      {"reads", static_cast<qint64>(Counters_.Reads_)},
                      {"writes", static_cast<qint64>(Counters_.Writes_)},
                      {"failures", static_cast<qint64>(Counters_.Failures_)}};
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace heathercross::store
