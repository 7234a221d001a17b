// Keeps this entry's copy of the agreed view up to date.
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

/// Executes the effects of view::ViewSync: reads the head and the changed rows
/// from the platform table, or gets them from a peer while the table is
/// unreachable.
class ViewService : public QObject {
public:
  /// Requests a peer's changes since a head; the callback gets nullopt on
  /// failure.
  using PeerAnswer = std::function<void(std::optional<view::ViewChanges>)>;
  using AskPeer =
      std::function<void(const EntryId &, TicketNumber, PeerAnswer)>;

  ViewService(ViewConfig Config, process::Clock &C, History &H,
              store::TableClient &Platform);

  void start();
  /// Sets the callback that runs when the view becomes ready or changes.
  void onChange(std::function<void()> Callback) {
    OnChange_ = std::move(Callback);
  }
  void setAskPeer(AskPeer Ask) { AskPeer_ = std::move(Ask); }
  /// Records the head that a peer reported.
  void peerSeen(const EntryId &Peer, TicketNumber Head);
  void peerGone(const EntryId &Peer);
  /// Reads the head and the changed rows now; Done gets true once the store
  /// holds them, or false when they could not be read and applied.
  void readNow(std::function<void(bool)> Done);

  bool ready() const { return Sync_.ready(); }
  bool platformUnreachable() const { return Sync_.platformUnavailable(); }
  const View &view() const { return Store_.view(); }
  const view::ViewStore &store() const { return Store_; }
  std::string dump() const { return Store_.dump(); }

private:
  void handleEvent(const view::SyncEvent &E);
  void execute(const view::ReadHead &E);
  void execute(const view::ReadRows &E);
  void execute(const view::RequestPeerChanges &E);
  void execute(const view::BecameReady &E);

  /// Reads all rows newer than After; Done gets nullopt when the read failed.
  void scan(RowVersion After,
            std::function<void(std::optional<std::vector<Row>>)> Done);
  view::Applied apply(const std::vector<Row> &Rows, TicketNumber Head);
  void notifyChanged(TicketNumber PreviousHead);

  process::Clock &Clock_;
  History &History_;
  store::TableClient &Platform_;
  view::ViewSync Sync_;
  view::ViewStore Store_;
  std::function<void()> OnChange_;
  AskPeer AskPeer_;
  QTimer TickTimer_;
};

} // namespace heathercross::daemon
