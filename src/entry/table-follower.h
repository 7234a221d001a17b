// Keeps up with the rows of one table of the store.
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
  /// How long a call waits in the store for a change.
  Millis Wait_{0};
  /// Between the end of a call and the next one.
  Millis Pause_{0};
};

/// Reads the table whole, then its changes. When the store no longer keeps the
/// changes, the table is read whole again.
class TableFollower : public QObject {
public:
  struct Handlers {
    /// The partitions to read when the table is read whole.
    std::function<std::vector<std::string>()> Partitions_;
    /// All rows of these partitions.
    std::function<void(const std::vector<platform_api::StoredRow> &)> OnAll_;
    /// Rows that changed or were removed.
    std::function<void(const std::vector<platform_api::StoredRow> &)> OnSome_;
    /// The store answered; what wasn't reported is as it was.
    std::function<void()> OnCurrent_;
  };

  TableFollower(Context &C, FollowerConfig Config, Handlers H);

  void start();
  /// Reads changes as soon as possible.
  void hurry();
  bool failing() const { return FailingSince_.has_value(); }
  std::optional<Instant> failingSince() const { return FailingSince_; }
  /// When the last answer came; the local clock's start without one.
  Instant currentAt() const { return CurrentAt_; }

private:
  void poll();
  void readAll();
  void readNext();
  void takeAll(const platform_api::StoreReply &R);
  void takeChanges(const platform_api::StoreReply &R);
  void again(Millis Pause);
  void noteOutcome(const platform_api::StoreReply &R);

  Context &Context_;
  FollowerConfig Config_;
  Handlers Handlers_;
  QTimer Next_;
  bool InFlight_ = false;
  bool HaveAll_ = false;
  RowVersion Version_;
  /// While the table is read whole.
  std::vector<std::string> Left_;
  std::string From_;
  RowVersion FirstVersion_;
  std::vector<platform_api::StoredRow> Rows_;
  std::optional<Instant> FailingSince_;
  Instant CurrentAt_;
};

} // namespace heathercross::entry
