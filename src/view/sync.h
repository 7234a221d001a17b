// When an entry reads the head, asks a peer, and is ready to serve.
#pragma once

#include "core/jitter.h"
#include "heathercross/ids.h"
#include "heathercross/units.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace heathercross::view {

struct SyncSettings {
  /// Mean time between reads of the head while all is well.
  Micros Interval_ = Seconds(2);
  /// The longest wait after failed reads.
  Micros MaxBackoff_ = Seconds(15);
  /// Reads that a peer's hint causes are spread over this time.
  Micros HintSpread_ = Millis(300);
  /// A read or a peer that hasn't answered after this has failed.
  Micros AnswerTimeout_ = Seconds(2);
  /// How long a fresh entry listens for peers before it relies on them.
  Micros Listen_ = Millis(1500);
};

// Events.

/// The row "head" was read; zero when there is none.
struct HeadRead {
  TicketNumber Head_;
};
/// The rows were read and given to the ViewStore, whose head is this now.
struct RowsApplied {
  TicketNumber Head_;
  /// The store said Torn: a ticket was committed between head and rows.
  bool Torn_ = false;
};
/// The platform didn't answer a read of the head or of the rows.
struct ReadFailed {};
/// A peer said its head, in a heartbeat.
struct PeerSeen {
  EntryId Peer_;
  TicketNumber Head_;
};
struct PeerGone {
  EntryId Peer_;
};
/// A peer's changes were merged into the ViewStore, whose head is this now.
struct PeerAnswered {
  EntryId Peer_;
  TicketNumber Head_;
};
struct PeerFailed {
  EntryId Peer_;
};
/// To be given every 100 ms or so.
struct SyncTick {};

using SyncEvent = std::variant<HeadRead, RowsApplied, ReadFailed, PeerSeen,
                               PeerGone, PeerAnswered, PeerFailed, SyncTick>;

// Effects.

/// Read the row "head"; ends as HeadRead or ReadFailed.
struct ReadHead {};
/// Read the rows after the store's cursor and apply them with this head; ends
/// as RowsApplied or ReadFailed.
struct ReadRows {
  TicketNumber Head_;
};
/// Ask a peer for its changes since the store's head and merge them; ends as
/// PeerAnswered or PeerFailed.
struct AskPeer {
  EntryId Peer_;
};
/// From now on the view may be served under. Comes once.
struct BecameReady {};

using SyncEffect = std::variant<ReadHead, ReadRows, AskPeer, BecameReady>;
using SyncEffects = std::vector<SyncEffect>;

/// Decides when to read. While the platform answers, the head is read at a
/// jittered interval, and soon when a peer is ahead. While it doesn't, reads
/// back off up to a bound, and the peer with the highest head is asked.
class ViewSync {
public:
  ViewSync(Instant Start, std::uint64_t Seed, SyncSettings Settings = {});

  SyncEffects on(Instant Now, const SyncEvent &E);

  bool ready() const { return Ready_; }
  /// Whether the last read of the platform failed.
  bool platformAway() const { return Failures_ > 0; }
  TicketNumber head() const { return Head_; }
  std::string dump() const;

private:
  void handle(Instant Now, const HeadRead &E, SyncEffects &Out);
  void handle(Instant Now, const RowsApplied &E, SyncEffects &Out);
  void handle(Instant Now, const ReadFailed &E, SyncEffects &Out);
  void handle(Instant Now, const PeerSeen &E, SyncEffects &Out);
  void handle(Instant Now, const PeerGone &E, SyncEffects &Out);
  void handle(Instant Now, const PeerAnswered &E, SyncEffects &Out);
  void handle(Instant Now, const PeerFailed &E, SyncEffects &Out);
  void handle(Instant Now, const SyncTick &E, SyncEffects &Out);

  struct Best {
    EntryId Peer_;
    TicketNumber Head_;
  };

  std::optional<Best> bestPeer() const;
  void readDone(Instant Now);
  void readFailed(Instant Now);
  void forget(const EntryId &Peer);
  void planAsk(Instant Now);
  bool wantsPeer() const;
  void becomeReady(SyncEffects &Out);
  void becomeReadyFromPeers(Instant Now, SyncEffects &Out);

  SyncSettings Settings_;
  Jitter Jitter_;
  Instant Start_;
  TicketNumber Head_;
  bool Ready_ = false;
  bool PeerMerged_ = false;

  std::uint32_t Failures_ = 0;
  Instant NextRead_;
  std::optional<Instant> ReadSince_;
  TicketNumber Hinted_;

  std::map<EntryId, TicketNumber> Peers_;
  std::optional<EntryId> Asked_;
  Instant AskedAt_;
  std::optional<Instant> NextAsk_;
};

} // namespace heathercross::view
