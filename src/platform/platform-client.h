// The platform's table, object store and instance list over HTTP.
#pragma once

#include "heathercross/fleet-model.h"
#include "heathercross/table.h"
#include "heathercross/units.h"
#include "http/http-client.h"

#include <QByteArray>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::platform {

/// The answer to a read of one row.
struct RowResult {
  /// False when the table didn't answer; the row is then not known.
  bool Answered_ = false;
  std::optional<Row> Row_;
};

/// The answer to a read of changed rows.
struct ScanResult {
  bool Answered_ = false;
  /// The table's version up to which the rows below are complete.
  RowVersion Version_;
  std::vector<Row> Rows_;
  bool More_ = false;
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

/// Who talks to the platform, and how long it waits.
struct ClientConfig {
  /// "IP:port".
  std::string Address_;
  std::string Zone_;
  std::string Process_;
  Millis Timeout_{1000};
};

/// Counts of what was asked of the platform.
struct ClientCounters {
  std::uint64_t Reads_ = 0;
  std::uint64_t Writes_ = 0;
  std::uint64_t Failures_ = 0;
};

/// Talks to the platform. Every call is answered once through the event loop;
/// none is repeated here, since only the caller knows what a repeat would do.
class Client {
public:
  template <class Result> using Done = std::function<void(const Result &)>;

  Client(http::Client &Http, ClientConfig Config);

  void commit(const Transaction &T, const Done<CommitResult> &OnDone);
  void readRow(const std::string &Key, const Done<RowResult> &OnDone);
  /// The rows under a prefix that were written after a version, oldest first.
  void scan(const std::string &Prefix, RowVersion After, unsigned Limit,
            const Done<ScanResult> &OnDone);
  /// A conditional read: the list is sent only when it changed.
  void listInstances(const Done<ListResult> &OnDone);
  void putObject(const std::string &Name, const QByteArray &Bytes,
                 const Done<ObjectResult> &OnDone);
  void getObject(const std::string &Name, const Done<ObjectResult> &OnDone);

  const ClientCounters &counters() const { return Counters_; }
  /// Whether the last call that ended was answered.
  bool answering() const { return Answering_; }
  /// Simulates a cut from the platform: every call fails before it is sent.
  void setCut(bool Cut) { Cut_ = Cut; }
  std::string dump() const;

private:
  http::Call call(const char *Method, const std::string &Path) const;
  void send(http::Call C, http::Client::Done OnDone);

  http::Client &Http_;
  ClientConfig Config_;
  ClientCounters Counters_;
  /// The list as it was read last, to be used while it hasn't changed.
  std::string ListTag_;
  std::vector<ListedInstance> List_;
  bool Answering_ = false;
  bool Cut_ = false;
};

} // namespace heathercross::platform
