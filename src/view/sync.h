// Schedules reads of the agreed view and decides when an entry is ready.
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
  /// Mean interval of reads of the head while the platform responds.
  Micros Interval_ = Seconds(2);
  /// Maximum delay after failed reads.
  Micros MaxBackoff_ = Seconds(15);
  /// Reads and requests that a peer's higher head triggers are delayed by up to
  /// this random time, so that entries don't send them all at once.
  Micros HintJitter_ = Millis(300);
  /// Timeout of a read of the table and of a request to a peer.
  Micros ResponseTimeout_ = Seconds(2);
  /// How long a new entry collects heartbeats of its peers before it may become
  /// ready with a view from a peer.
  Micros DiscoveryDuration_ = Millis(1500);
};

// Events.

/// The row "head" was read; zero if it doesn't exist.
struct HeadRead {
  TicketNumber Head_;
};
/// The rows were read and applied to the ViewStore, which now has this head.
struct RowsApplied {
  TicketNumber Head_;
  /// The store returned Applied::Torn: a ticket was committed between the reads
  /// of the head and of the rows.
  bool Torn_ = false;
};
/// A read of the head or of the rows failed.
struct ReadFailed {};
/// A peer reported its head in a heartbeat.
struct PeerHeadReported {
  EntryId Peer_;
  TicketNumber Head_;
};
/// A peer is gone; see peer::Health.
struct PeerGone {
  EntryId Peer_;
};
/// A peer's changes were merged into the ViewStore, which now has this head.
struct PeerChangesMerged {
  EntryId Peer_;
  TicketNumber Head_;
};
/// A request to a peer failed.
struct PeerRequestFailed {
  EntryId Peer_;
};
/// Time has passed; expected about every 100 ms.
struct SyncTick {};

using SyncEvent =
    std::variant<HeadRead, RowsApplied, ReadFailed, PeerHeadReported, PeerGone,
                 PeerChangesMerged, PeerRequestFailed, SyncTick>;

// Effects.

/// Read the row "head"; completes with HeadRead or ReadFailed.
struct ReadHead {};
/// Read the rows after the store's cursor and apply them with this head;
/// completes with RowsApplied or ReadFailed.
struct ReadRows {
  TicketNumber Head_;
};
/// Request a peer's changes since the store's head and merge them; completes
/// with PeerChangesMerged or PeerRequestFailed.
struct RequestPeerChanges {
  EntryId Peer_;
};
/// The entry may now serve requests; emitted once.
struct BecameReady {};

using SyncEffect =
    std::variant<ReadHead, ReadRows, RequestPeerChanges, BecameReady>;
using SyncEffects = std::vector<SyncEffect>;

/// Schedules the reads that keep the view current. While the platform responds,
/// the head is read at a jittered interval, and earlier if a peer has a higher
/// head. While it doesn't, reads back off exponentially up to MaxBackoff_, and
/// the changes are requested from the peer with the highest head.
class ViewSync {
public:
  ViewSync(Instant Start, std::uint64_t Seed, SyncSettings Settings = {});

  SyncEffects on(Instant Now, const SyncEvent &E);

  bool ready() const { return Ready_; }
  /// Whether the last read of the platform failed.
  bool platformUnavailable() const { return ConsecutiveFailures_ > 0; }
  TicketNumber head() const { return Head_; }
  std::string dump() const;

private:
  void handle(Instant Now, const HeadRead &E, SyncEffects &Out);
  void handle(Instant Now, const RowsApplied &E, SyncEffects &Out);
  void handle(Instant Now, const ReadFailed &E, SyncEffects &Out);
  void handle(Instant Now, const PeerHeadReported &E, SyncEffects &Out);
  void handle(Instant Now, const PeerGone &E, SyncEffects &Out);
  void handle(Instant Now, const PeerChangesMerged &E, SyncEffects &Out);
  void handle(Instant Now, const PeerRequestFailed &E, SyncEffects &Out);
  void handle(Instant Now, const SyncTick &E, SyncEffects &Out);

  struct PeerHead {
    EntryId Peer_;
    TicketNumber Head_;
  };

  std::optional<PeerHead> peerWithHighestHead() const;
  void finishRead(Instant Now);
  void backOffReads(Instant Now);
  void forgetPeer(const EntryId &Peer);
  void schedulePeerRequest(Instant Now);
  bool needsPeerRequest() const;
  void setReady(SyncEffects &Out);
  void setReadyFromPeers(Instant Now, SyncEffects &Out);

  SyncSettings Settings_;
  Jitter Jitter_;
  Instant Start_;
  TicketNumber Head_;
  bool Ready_ = false;
  bool HasPeerView_ = false;

  std::uint32_t ConsecutiveFailures_ = 0;
  Instant NextRead_;
  std::optional<Instant> ReadStartedAt_;
  TicketNumber HighestHint_;

  std::map<EntryId, TicketNumber> PeerHeads_;
  std::optional<EntryId> RequestedPeer_;
  Instant PeerRequestedAt_;
  std::optional<Instant> NextPeerRequest_;
};

} // namespace heathercross::view
