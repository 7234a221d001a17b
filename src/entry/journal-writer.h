// Writes the changes of one duty to the store.
#pragma once

#include "entry/context.h"
#include "schedule/pool-journal.h"
#include "schedule/store-clock.h"

#include <QObject>

#include <functional>

namespace heathercross::entry {

/// Writes a journal's batches to the store, one at a time. Each batch renews
/// the holder row, so a duty without changes is renewed by empty batches.
class JournalWriter : public QObject {
public:
  struct Handlers {
    /// A call to the store has ended; more changes may be durable.
    std::function<void()> OnDurable_;
    /// Another entry has taken the duty.
    std::function<void()> OnLost_;
  };

  /// Each batch is conditional on the version of the holder row.
  JournalWriter(Context &C, PoolId Pool, schedule::HeldDuty Duty, Handlers H);

  schedule::PoolJournal &journal() { return Journal_; }
  const schedule::PoolJournal &journal() const { return Journal_; }
  /// The store's clock, by the answers of the store to this duty.
  schedule::StoreClock &storeClock() { return StoreClock_; }
  /// Sends the next batch if it is due.
  void sendNextBatch();
  /// Marks the duty as vacant; the journal must be idle. A refused write is
  /// repeated for a while. Calls OnDone also if the duty isn't given back:
  /// others claim it once its row isn't renewed.
  void giveBack(const std::function<void()> &OnDone);

private:
  void committed(const platform_api::StoreReply &R, Instant SentAt);
  void writeVacant(Instant Until, const std::function<void()> &OnDone);
  void logOutage(bool WasFailing, const platform_api::StoreReply &R);

  Context &Context_;
  PoolId Pool_;
  Handlers Handlers_;
  schedule::PoolJournal Journal_;
  schedule::StoreClock StoreClock_;
};

} // namespace heathercross::entry
