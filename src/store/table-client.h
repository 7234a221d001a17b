// A client for heathercross's rows and objects, and for the list of instances,
// in the platform's store.
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

/// The result of reading one row.
struct RowResult {
  /// False when the store didn't answer; whether the row exists is then
  /// unknown.
  bool Answered_ = false;
  std::optional<Row> Row_;
};

/// The result of reading changed rows, in the order of their versions.
struct ScanResult {
  bool Answered_ = false;
  std::vector<Row> Rows_;
};

/// The result of reading the list of instances.
struct ListResult {
  bool Answered_ = false;
  std::vector<ListedInstance> Instances_;
};

/// The result of reading or writing an object.
struct ObjectResult {
  bool Answered_ = false;
  bool Exists_ = false;
  QByteArray Bytes_;
};

/// Counters of calls to the store.
struct ClientCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Failures_ = 0;
};

/// Reads and writes heathercross's rows. The first segment of a key names the
/// table, and all rows are in one partition, so that a transaction can span any
/// of them. Each callback runs exactly once, from the event loop. Calls aren't
/// retried here, since only the caller knows whether a retry is safe.
class TableClient {
public:
  template <class Result> using Done = std::function<void(const Result &)>;

  TableClient(platform_api::Store &Store, Millis Timeout);

  void commit(const Transaction &T, const Done<CommitResult> &OnDone);
  void readRow(const std::string &Key, const Done<RowResult> &OnDone);
  /// Reads the rows under a prefix that were written after a version. The first
  /// segment of the prefix must be complete. The result has every such row up
  /// to its newest version.
  void scan(const std::string &Prefix, RowVersion After,
            Done<ScanResult> OnDone);
  /// Lists all instances; reads only what changed since the last call.
  void listInstances(const Done<ListResult> &OnDone);
  void putObject(const std::string &Name, const QByteArray &Bytes,
                 const Done<ObjectResult> &OnDone);
  void getObject(const std::string &Name, const Done<ObjectResult> &OnDone);

  const ClientCounters &counters() const { return Counters_; }
  /// Whether the store answered the call that ended last.
  bool lastCallAnswered() const { return LastCallAnswered_; }
  /// Simulates a network partition from the store: every call fails before it
  /// is sent.
  void setCut(bool Cut) { Cut_ = Cut; }
  /// The state of the client as JSON, for diagnosis.
  std::string dump() const;

private:
  using StoreDone = platform_api::Store::Done;
  using Rows = std::map<std::string, platform_api::StoredRow>;

  /// Sends a call unless the simulated partition is on, and records whether it
  /// was answered.
  void callStore(const std::function<void(StoreDone)> &Send, StoreDone OnDone);
  /// Reads all rows of a table, page by page from FirstKey. Passes on the
  /// version of the first page, since later pages may be newer; nullopt when
  /// the store doesn't answer.
  void readAll(const std::string &Table, std::string FirstKey,
               RowVersion FirstPageVersion, Rows Collected,
               std::function<void(std::optional<RowVersion>, Rows)> OnDone);
  /// Adds all rows that changed after a version to those collected.
  void readChanges(
      const std::string &Table, RowVersion After, Rows Collected,
      std::function<void(platform_api::StoreOutcome, RowVersion, Rows)> OnDone);
  /// Reads the rows that changed after a version, or all of them when it is the
  /// default one or the store has no history that far back.
  void
  readTable(const std::string &Table, RowVersion After,
            const std::function<void(std::optional<RowVersion>, Rows)> &OnDone);

  platform_api::Store &Store_;
  Millis Timeout_;
  ClientCounters Counters_;
  /// The listed instances by their rows' keys, as of ListVersion_.
  std::map<std::string, ListedInstance> InstancesByKey_;
  RowVersion ListVersion_;
  bool LastCallAnswered_ = false;
  bool Cut_ = false;
};

} // namespace heathercross::store
