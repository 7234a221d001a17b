// The product's table, objects and list of instances in the platform's store.
#pragma once

#include "heathercross/fleet-model.h"
#include "heathercross/table.h"
#include "heathercross/units.h"
#include "platform/store.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::store {

/// The answer to a read of one row.
struct RowResult {
  /// False when the store didn't answer; the row is then not known.
  bool Answered_ = false;
  std::optional<Row> Row_;
};

/// The answer to a read of changed rows, oldest first.
struct ScanResult {
  bool Answered_ = false;
  std::vector<Row> Rows_;
};

/// The answer to a read of the instance list.
struct ListResult {
  bool Answered_ = false;
  std::vector<ListedInstance> Instances_;
};

/// The answer of the object store.
struct ObjectResult {
  bool Answered_ = false;
  bool Exists_ = false;
  QByteArray Bytes_;
};

/// Counts of what was asked of the store.
struct ClientCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Failures_ = 0;
};

/// Keeps the product's rows: the first segment of a key names the table, and
/// all rows are in one partition, so that any of them share a transaction.
/// Every call is answered once through the event loop; none is repeated here,
/// since only the caller knows what a repeat would do.
class TableClient {
public:
  template <class Result> using Done = std::function<void(const Result &)>;

  TableClient(platform_api::Store &Store, Millis Timeout);

  void commit(const Transaction &T, const Done<CommitResult> &OnDone);
  void readRow(const std::string &Key, const Done<RowResult> &OnDone);
  /// The rows under a prefix, whose first segment is whole, that were written
  /// after a version. No row up to the newest version among them is missing.
  void scan(const std::string &Prefix, RowVersion After,
            Done<ScanResult> OnDone);
  /// Only what changed since the last call is read.
  void listInstances(const Done<ListResult> &OnDone);
  void putObject(const std::string &Name, const QByteArray &Bytes,
                 const Done<ObjectResult> &OnDone);
  void getObject(const std::string &Name, const Done<ObjectResult> &OnDone);

  const ClientCounters &counters() const { return Counters_; }
  /// Whether the last call that ended was answered.
  bool answering() const { return Answering_; }
  /// Simulates a cut from the store: every call fails before it is sent.
  void setCut(bool Cut) { Cut_ = Cut; }
  std::string dump() const;

private:
  using StoreDone = platform_api::Store::Done;
  using Rows = std::map<std::string, platform_api::StoredRow>;

  /// Sends a call unless the store is cut off, and counts how it ended.
  void call(const std::function<void(StoreDone)> &Send, StoreDone OnDone);
  /// All rows of a table as they stood at one version or later, with that
  /// version; nothing when the store doesn't answer.
  void readAll(const std::string &Table, std::string From, RowVersion First,
               Rows Have,
               std::function<void(std::optional<RowVersion>, Rows)> OnDone);
  /// Adds what changed after a version, up to the newest one.
  void readChanges(
      const std::string &Table, RowVersion After, Rows Have,
      std::function<void(platform_api::StoreOutcome, RowVersion, Rows)> OnDone);
  void
  readTable(const std::string &Table, RowVersion After,
            const std::function<void(std::optional<RowVersion>, Rows)> &OnDone);

  platform_api::Store &Store_;
  Millis Timeout_;
  ClientCounters Counters_;
  /// The instances as they were read last, at a version.
  std::map<std::string, ListedInstance> List_;
  RowVersion ListVersion_;
  bool Answering_ = false;
  bool Cut_ = false;
};

} // namespace heathercross::store
