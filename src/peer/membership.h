// Tracks the health and state of other entries by their heartbeats.
#pragma once

#include "core/jitter.h"
#include "peer/codec.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::peer {

struct MembershipSettings {
  /// Interval between rounds of heartbeats.
  Micros Interval_ = Seconds(1);
  /// Minimum interval between rounds when there is news to send.
  Micros MinInterval_ = Millis(250);
  /// Heartbeats per round to entries of the own zone, to entries of other
  /// zones, and to addresses of entries that are gone or have never reported.
  /// They bound the bytes that an entry sends, regardless of the fleet's size.
  std::size_t ZoneFanOut_ = 3;
  std::size_t OtherZonesFanOut_ = 1;
  std::size_t UnreachableFanOut_ = 1;
  /// An entry is suspect, or gone, when it has not reported for this many times
  /// the expected interval of its heartbeats.
  int SuspectAfter_ = 3;
  int GoneAfter_ = 8;
  /// Entries are kept at least this long after their last heartbeat, so that
  /// replayed old heartbeats are recognized.
  Micros PeerRetention_ = Seconds(120);
  /// How long an entry counts as new and is sent more known peers.
  Micros NewPeerDuration_ = Seconds(30);
  /// How long an instance counts as leaving after the last such report.
  Micros LeavingDuration_ = Seconds(20);
};

/// Maximum number of other entries and of leaving instances that are kept.
inline constexpr std::size_t MaxPeers = 1'024;
inline constexpr std::size_t MaxLeaving = 2'048;
/// Maximum number of entries that are notified at once of a planned stop.
inline constexpr std::size_t MaxStopNotices = 32;

/// Identity of the own entry.
struct OwnIdentity {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  std::uint64_t Incarnation_ = 1;
};

/// The variable state of the own entry, sent in each heartbeat.
struct OwnState {
  TicketNumber Head_;
  std::uint32_t Queued_ = 0;
  Slots Busy_;
  Slots Free_;
  bool PlatformUnavailable_ = false;
  /// The longest queues, at most MaxPoolQueues.
  std::vector<PoolQueue> Queues_;
};

/// Introduced means named by another entry, but not heard from yet.
enum class Health : std::uint8_t { Introduced, Live, Suspect, Gone };

/// What is known about another entry.
struct PeerStatus {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  Health Health_ = Health::Introduced;
  Heartbeat LastHeartbeat_;
};

/// A heartbeat to send to an address.
struct Outgoing {
  std::string Address_;
  Heartbeat Heartbeat_;
};

/// How a received heartbeat was handled.
enum class HeartbeatResult : std::uint8_t {
  Accepted,
  Replayed,
  FromSelf,
  Refused
};

/// An entry with the highest head.
struct HighestHead {
  EntryId Entry_;
  std::string Address_;
  TicketNumber Head_;
};

/// Soft state about the other entries. Lost or wrong information costs
/// efficiency, but never violates a guarantee.
class Membership {
public:
  Membership(Instant Start, OwnIdentity Own, std::vector<std::string> Seeds,
             std::uint64_t Seed, MembershipSettings Settings = {});

  /// Sets the state that the next heartbeats contain. A higher head triggers a
  /// round early, after MinInterval_.
  void setOwnState(const OwnState &State);
  /// Records that this entry has observed that an instance is leaving.
  void onLeavingObserved(Instant Now, const InstanceId &Instance);
  /// Begins a planned stop; returns at most MaxStopNotices heartbeats that
  /// announce it.
  std::vector<Outgoing> stop(Instant Now);

  /// Returns the heartbeats that are due. Call it about every 100 ms.
  std::vector<Outgoing> tick(Instant Now);
  /// Handles a received heartbeat whose signature was verified.
  HeartbeatResult on(Instant Now, const Heartbeat &H);

  /// All other entries, sorted by id.
  std::vector<PeerStatus> peers(Instant Now) const;
  /// The live entries of the own zone, including the own entry, that aren't
  /// stopping, sorted by id.
  std::vector<EntryId> zoneEntries(Instant Now) const;
  /// Like zoneEntries(), for all zones.
  std::vector<EntryId> liveEntries(Instant Now) const;
  /// The entries of liveEntries() that can reach the platform and thus can hold
  /// control duties.
  std::vector<EntryId> dutyEntries(Instant Now) const;
  /// The highest head that a live or suspect entry has reported.
  std::optional<HighestHead> highestHead(Instant Now) const;
  /// The instances reported as leaving by any entry, sorted by id.
  std::vector<InstanceId> leaving(Instant Now) const;
  bool stopping() const { return Stopping_; }

  std::string dump(Instant Now) const;

private:
  struct PeerRecord {
    ZoneId Zone_;
    std::string Address_;
    bool HasReported_ = false;
    /// When the last heartbeat came, or when the entry was introduced.
    Instant LastReportAt_;
    Instant FirstReportAt_;
    Heartbeat LastHeartbeat_;
  };
  struct LeavingRecord {
    Instant ReportedAt_;
    std::uint32_t TimesSent_ = 0;
  };
  using Peers = std::map<EntryId, PeerRecord>;

  Health healthOf(const PeerRecord &Record, Instant Now) const;
  Micros expectedReportInterval(const PeerRecord &Record) const;
  void countZonePeers();
  std::vector<std::string> nextTargets(Instant Now);
  std::vector<std::string> pickRoundRobin(const std::vector<std::string> &From,
                                          std::size_t Count,
                                          std::size_t &Cursor);
  std::vector<std::string> addressesOf(bool OwnZone, Instant Now) const;
  /// Addresses of entries that are gone, and seed addresses without a known
  /// entry. They get heartbeats too, so that network partitions heal.
  std::vector<std::string> unreachableAddresses(Instant Now) const;
  Heartbeat makeHeartbeat(Instant Now, const std::string &To);
  std::vector<Outgoing> heartbeatsTo(Instant Now,
                                     const std::vector<std::string> &To);
  std::vector<LeavingInstance> selectLeaving(Instant Now);
  std::vector<KnownPeer> selectKnownPeers(Instant Now, const std::string &To);
  const PeerRecord *findPeer(const std::string &Address) const;
  std::vector<EntryId> selectLive(Instant Now, bool OwnZoneOnly) const;
  void recordLeaving(Instant ReportedAt, const InstanceId &Instance);
  void addIntroduced(Instant Now, const KnownPeer &P);
  void forgetExpired(Instant Now);

  MembershipSettings Settings_;
  OwnIdentity Own_;
  std::vector<std::string> Seeds_;
  Jitter Jitter_;

  OwnState State_;
  bool Stopping_ = false;
  std::uint64_t Sequence_ = 0;
  Instant NextRound_;
  Instant LastRound_;
  bool HasNews_ = true;

  Peers Peers_;
  std::size_t ZonePeers_ = 0;
  std::map<InstanceId, LeavingRecord> Leaving_;
  std::size_t ZoneCursor_ = 0;
  std::size_t OtherZonesCursor_ = 0;
  std::size_t UnreachableCursor_ = 0;
};

/// The entries that watch a duty's lease: the first Count of the live entries
/// by rendezvous hashing, so that reads of a lease don't grow with the number
/// of entries. Entries with different lists of live entries may watch the same
/// duty; the lease ensures a single holder.
std::vector<EntryId> dutyWatchers(std::string_view Duty,
                                  const std::vector<EntryId> &Live,
                                  std::size_t Count);

} // namespace heathercross::peer
