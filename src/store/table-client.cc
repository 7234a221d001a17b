// The product's table, objects and list of instances in the platform's store.
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

/// A reply with so many rows may not hold all of them (the store's limit).
constexpr std::size_t FullPage = 500;
constexpr std::int64_t MilliPerCore = 1000;

RowPlace placeOf(const std::string &Key) { return {tableOf(Key), "", Key}; }

StoreTransaction stored(const Transaction &T) {
  StoreTransaction Out;
  for (const Expectation &E : T.Expect_)
    Out.Conditions_.push_back({placeOf(E.Key_), E.Version_});
  for (const Put &P : T.Put_)
    Out.Changes_.push_back({placeOf(P.Key_), encodeRow(T.Attempt_, P.Value_)});
  for (const std::string &Key : T.Erase_)
    Out.Changes_.push_back({placeOf(Key), std::nullopt});
  return Out;
}

Row rowOf(const StoredRow &R) {
  return decodeRow(R.Place_.Key_, R.Version_, R.Value_);
}

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

ListedInstance listed(const schedule::WorkerInfo &W) {
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

StoreReply unsent() {
  StoreReply R;
  R.Outcome_ = StoreOutcome::Refused;
  return R;
}

} // namespace

TableClient::TableClient(platform_api::Store &Store, Millis Timeout)
    : Store_(Store), Timeout_(Timeout) {}

void TableClient::call(const std::function<void(StoreDone)> &Send,
                       StoreDone OnDone) {
  StoreDone Counted = [this, OnDone = std::move(OnDone)](const StoreReply &R) {
    Answering_ = R.Outcome_ != StoreOutcome::Refused &&
                 R.Outcome_ != StoreOutcome::Unknown;
    Counters_.Failures_ += Answering_ ? 0 : 1;
    OnDone(R);
  };
  if (!Cut_)
    return Send(std::move(Counted));
  QTimer::singleShot(0, [Counted = std::move(Counted)] { Counted(unsent()); });
}

void TableClient::commit(const Transaction &T,
                         const Done<CommitResult> &OnDone) {
  ++Counters_.Writes_;
  call(
      [&](StoreDone Then) {
        Store_.transact(stored(T), Timeout_, std::move(Then));
      },
      [T, OnDone](const StoreReply &R) { OnDone(commitResult(T, R)); });
}

void TableClient::readRow(const std::string &Key,
                          const Done<RowResult> &OnDone) {
  ++Counters_.Reads_;
  call(
      [&](StoreDone Then) {
        Store_.readRow(placeOf(Key), Timeout_, std::move(Then));
      },
      [Key, OnDone](const StoreReply &R) {
        RowResult Result;
        Result.Answered_ = R.Outcome_ == StoreOutcome::Ok;
        for (const StoredRow &Row : R.Rows_)
          if (Row.Place_.Key_ == Key && !Row.Removed_)
            Result.Row_ = rowOf(Row);
        OnDone(Result);
      });
}

void TableClient::readAll(
    const std::string &Table, std::string From, RowVersion First, Rows Have,
    std::function<void(std::optional<RowVersion>, Rows)> OnDone) {
  ++Counters_.Reads_;
  call(
      [&](StoreDone Then) {
        Store_.read(Table, "", From, Timeout_, std::move(Then));
      },
      [this, Table, First, Have = std::move(Have),
       OnDone = std::move(OnDone)](const StoreReply &R) mutable {
        if (R.Outcome_ != StoreOutcome::Ok)
          return OnDone(std::nullopt, {});
        for (const StoredRow &Row : R.Rows_)
          Have[Row.Place_.Key_] = Row;
        const RowVersion Start = First == RowVersion() ? R.Version_ : First;
        if (R.More_ && !R.Rows_.empty())
          return readAll(Table, R.Rows_.back().Place_.Key_ + '\0', Start,
                         std::move(Have), std::move(OnDone));
        OnDone(Start, std::move(Have));
      });
}

void TableClient::readChanges(
    const std::string &Table, RowVersion After, Rows Have,
    std::function<void(StoreOutcome, RowVersion, Rows)> OnDone) {
  ++Counters_.Reads_;
  call(
      [&](StoreDone Then) {
        Store_.changes(Table, After, Millis(0), Timeout_, std::move(Then));
      },
      [this, Table, Have = std::move(Have),
       OnDone = std::move(OnDone)](const StoreReply &R) mutable {
        if (R.Outcome_ != StoreOutcome::Ok)
          return OnDone(R.Outcome_, {}, {});
        for (const StoredRow &Row : R.Rows_)
          Have[Row.Place_.Key_] = Row;
        if (R.Rows_.size() >= FullPage)
          return readChanges(Table, R.Version_, std::move(Have),
                             std::move(OnDone));
        OnDone(StoreOutcome::Ok, R.Version_, std::move(Have));
      });
}

void TableClient::readTable(
    const std::string &Table, RowVersion After,
    const std::function<void(std::optional<RowVersion>, Rows)> &OnDone) {
  const auto Whole = [this, Table, OnDone] {
    readAll(Table, "", RowVersion(), {},
            [this, Table, OnDone](std::optional<RowVersion> First, Rows Have) {
              if (!First)
                return OnDone(std::nullopt, {});
              // Pages are read one after the other: what changed in between is
              // added, so that no older change is missing.
              readChanges(Table, *First, std::move(Have),
                          [OnDone](StoreOutcome O, RowVersion V, Rows All) {
                            const bool Good = O == StoreOutcome::Ok;
                            OnDone(Good ? std::optional(V) : std::nullopt,
                                   std::move(All));
                          });
            });
  };
  if (After == RowVersion())
    return Whole();
  readChanges(Table, After, {},
              [Whole, OnDone](StoreOutcome O, RowVersion V, Rows Changed) {
                if (O == StoreOutcome::HistoryGone)
                  return Whole();
                const bool Good = O == StoreOutcome::Ok;
                OnDone(Good ? std::optional(V) : std::nullopt,
                       std::move(Changed));
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
                  Result.Rows_.push_back(rowOf(R));
              std::ranges::stable_sort(Result.Rows_, {}, &Row::Version_);
              OnDone(Result);
            });
}

void TableClient::listInstances(const Done<ListResult> &OnDone) {
  const bool Whole = ListVersion_ == RowVersion();
  readTable(
      platform_api::WorkerTable, ListVersion_,
      [this, Whole, OnDone](std::optional<RowVersion> Version,
                            const Rows &Found) {
        if (!Version)
          return OnDone({});
        ListVersion_ = *Version;
        if (Whole)
          List_.clear();
        for (const auto &[Key, R] : Found) {
          const auto W = R.Removed_ ? std::nullopt
                                    : platform_api::parseWorker(Key, R.Value_);
          if (W)
            List_[Key] = listed(*W);
          else
            List_.erase(Key);
        }
        ListResult Result{true, {}};
        std::ranges::transform(List_, std::back_inserter(Result.Instances_),
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
  const QJsonObject O{{"answering", Answering_},
                      {"cut", Cut_},
                      {"reads", static_cast<qint64>(Counters_.Reads_)},
                      {"writes", static_cast<qint64>(Counters_.Writes_)},
                      {"failures", static_cast<qint64>(Counters_.Failures_)}};
  return QJsonDocument(O).toJson(QJsonDocument::Compact).toStdString();
}

} // namespace heathercross::store
