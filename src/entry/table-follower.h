// Follows the changes of one table of the store.
#pragma once

#include "entry/context.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <string>
#include <vector>

namespace heathercross::entry {

struct FollowerConfig {
  std::string Table_;
  /// Long poll: how long the store waits for a change before it answers.
  Millis Wait_{0};
  /// Pause between the end of a call and the next one.
  Millis Pause_{0};
  /// A table whose keys in the partition "" name further partitions to read;
  /// empty if there is none.
  std::string IndexTable_ = {};
};

/// Reads the complete table, then polls for its changes. When the store no
/// longer keeps the changes since the last poll, the table is read again.
class TableFollower : public QObject {
public:
  struct Handlers {
    /// Returns the partitions to read when the complete table is read; empty
    /// if it can't be read yet.
    std::function<std::vector<std::string>()> Partitions_;
    /// Called with all rows of these partitions.
    std::function<void(const std::vector<platform_api::StoredRow> &)> OnTable_;
    /// Called with rows that were changed or removed.
    std::function<void(const std::vector<platform_api::StoredRow> &)>
        OnChanges_;
    /// Called after each successful read; rows that weren't reported are
    /// unchanged.
    std::function<void()> OnCurrent_;
    /// Called with each row of the index table; may be null without one.
    std::function<void(const platform_api::StoredRow &)> OnIndexRow_ = {};
  };

  TableFollower(Context &C, FollowerConfig Config, Handlers H);

  void start();
  /// Polls for changes at once unless a call is in flight.
  void pollNow();
  bool failing() const { return FailingSince_.has_value(); }
  std::optional<Instant> failingSince() const { return FailingSince_; }
  /// Time of the last successful answer; the clock's epoch if there is none.
  Instant currentAt() const { return CurrentAt_; }

private:
  void poll();
  void readTable();
  void readIndex(const std::string &From);
  void handleIndexReply(const platform_api::StoreReply &R);
  void readPage();
  void handleReadReply(const platform_api::StoreReply &R);
  void handleChangesReply(const platform_api::StoreReply &R);
  void schedulePoll(Millis Pause);
  void trackOutage(const platform_api::StoreReply &R);

  Context &Context_;
  FollowerConfig Config_;
  Handlers Handlers_;
  QTimer PollTimer_;
  bool InFlight_ = false;
  bool TableRead_ = false;
  RowVersion Version_;
  // State while the complete table is read. FirstVersion_ is the version at
  // its first page, from which changes are polled afterwards.
  std::vector<std::string> PartitionsLeft_;
  std::string NextKey_;
  RowVersion FirstVersion_;
  std::vector<platform_api::StoredRow> Rows_;
  std::optional<Instant> FailingSince_;
  Instant CurrentAt_;
};

} // namespace heathercross::entry
