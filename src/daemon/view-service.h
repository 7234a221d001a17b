// Keeps the agreed view in force at this entry.
#pragma once

#include "daemon/history.h"
#include "process/clock.h"
#include "store/table-client.h"
#include "view/sync.h"
#include "view/view-store.h"

#include <QObject>
#include <QTimer>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::daemon {

struct ViewConfig {
  Millis Poll_{1000};
  std::uint64_t Seed_ = 1;
};

/// Carries out what the sync decisions say: reads the head and the changed
/// rows from the table, or takes them from a peer while the table is away.
class ViewService : public QObject {
public:
  /// Asks a peer for its changes since a head; answers nothing when it failed.
  using PeerAnswer = std::function<void(std::optional<view::ViewChanges>)>;
  using AskPeer =
      std::function<void(const EntryId &, TicketNumber, PeerAnswer)>;

  ViewService(ViewConfig Config, process::Clock &C, History &H,
              store::TableClient &Platform);

  void start();
  /// Runs after each new head that is in force here.
  void onChange(std::function<void()> Done) { OnChange_ = std::move(Done); }
  void setAskPeer(AskPeer Ask) { AskPeer_ = std::move(Ask); }
  /// What a peer said of its head.
  void peerSeen(const EntryId &Peer, TicketNumber Head);
  void peerGone(const EntryId &Peer);
  /// Reads the head and the rows now; Done runs when the store has them, or
  /// with false when the table didn't answer.
  void readNow(std::function<void(bool)> Done);

  bool ready() const { return Sync_.ready(); }
  bool platformAway() const { return Sync_.platformAway(); }
  const View &view() const { return Store_.view(); }
  const view::ViewStore &store() const { return Store_; }
  std::string dump() const { return Store_.dump(); }

private:
  void feed(const view::SyncEvent &E);
  void execute(const view::ReadHead &E);
  void execute(const view::ReadRows &E);
  void execute(const view::AskPeer &E);
  void execute(const view::BecameReady &E);

  /// Reads every page of rows after the cursor, then gives them to Done.
  void scan(RowVersion After,
            std::function<void(std::optional<std::vector<Row>>)> Done);
  view::Applied apply(const std::vector<Row> &Rows, TicketNumber Head);
  void changed(TicketNumber Before);

  process::Clock &Clock_;
  History &History_;
  store::TableClient &Platform_;
  view::ViewSync Sync_;
  view::ViewStore Store_;
  std::function<void()> OnChange_;
  AskPeer AskPeer_;
  QTimer Tick_;
};

} // namespace heathercross::daemon
