// Writes the changes of one duty to the store.
#pragma once

#include "entry/context.h"
#include "schedule/pool-journal.h"

#include <QObject>

#include <functional>

namespace heathercross::entry {

/// Sends the batches of a journal, one at a time, and renews the holder row.
class JournalWriter : public QObject {
public:
  struct Handlers {
    /// More changes are durable than before.
    std::function<void()> OnDurable_;
    /// Another entry has the duty.
    std::function<void()> OnLost_;
  };

  /// Guard is the version of the holder row that Self wrote.
  JournalWriter(Context &C, PoolId Pool, schedule::HolderRow Self,
                RowVersion Guard, Handlers H);

  schedule::PoolJournal &journal() { return Journal_; }
  const schedule::PoolJournal &journal() const { return Journal_; }
  /// Sends the next batch if it is due.
  void pump();
  /// Marks the duty as vacant; the journal must be idle. Calls back with or
  /// without success: a row that stands still is taken by others anyway.
  void giveBack(std::function<void()> OnDone);

private:
  void committed(const platform_api::StoreReply &R, Instant SentAt);
  void noteFailing(bool WasFailing, const platform_api::StoreReply &R);

  Context &Context_;
  PoolId Pool_;
  Handlers Handlers_;
  schedule::PoolJournal Journal_;
};

} // namespace heathercross::entry
