// Which entries live, what they said last, and what to tell them.
#pragma once

#include "core/jitter.h"
#include "peer/codec.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::peer {

struct MembershipSettings {
  /// Time between rounds of heartbeats.
  Micros Interval_ = Seconds(1);
  /// The shortest time between rounds when there is news.
  Micros MinGap_ = Millis(250);
  /// Heartbeats a round to entries of the own zone, to those of other zones,
  /// and to addresses of entries that are gone or were never heard. They bound
  /// the bytes that an entry sends, however large the fleet is.
  std::size_t ZoneFanOut_ = 3;
  std::size_t OtherFanOut_ = 1;
  std::size_t LostFanOut_ = 1;
  /// An entry is suspect, or gone, after this many times the interval at
  /// which it should have been heard.
  int SuspectAfter_ = 3;
  int GoneAfter_ = 8;
  /// Entries that are gone are remembered this long, so that their old
  /// messages aren't taken for new ones.
  Micros ForgetAfter_ = Seconds(120);
  /// How long an entry counts as new, and is told of more entries.
  Micros NewFor_ = Seconds(30);
  /// How long an instance counts as leaving after it was last seen so.
  Micros LeavingFor_ = Seconds(20);
};

/// The most entries and leaving instances that are remembered.
inline constexpr std::size_t MaxPeers = 1'024;
inline constexpr std::size_t MaxLeaving = 2'048;
/// The most entries that are told at once of a planned stop.
inline constexpr std::size_t MaxStopNotices = 32;

/// The entry that a Membership speaks for.
struct Self {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  std::uint64_t Incarnation_ = 1;
};

/// What changes of the entry's own state and goes into each heartbeat.
struct OwnState {
  TicketNumber Head_;
  std::uint32_t Queued_ = 0;
  Slots Busy_;
  Slots Free_;
  bool PlatformAway_ = false;
  /// The longest queues, at most MaxPoolQueues.
  std::vector<PoolQueue> Queues_;
};

/// Introduced entries were named by another one but not heard yet.
enum class Health : std::uint8_t { Introduced, Live, Suspect, Gone };

struct PeerStatus {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  Health Health_ = Health::Introduced;
  Heartbeat Last_;
};

/// A heartbeat to send to an address.
struct Outgoing {
  std::string Address_;
  Heartbeat Heartbeat_;
};

/// What a heartbeat brought.
enum class Received : std::uint8_t { News, Replayed, FromSelf, Refused };

struct HeadAt {
  EntryId Entry_;
  std::string Address_;
  TicketNumber Head_;
};

/// Soft state about the other entries. Losing it, or being misled by it, costs
/// efficiency and never a promise.
class Membership {
public:
  Membership(Instant Start, Self Own, std::vector<std::string> Seeds,
             std::uint64_t Seed, MembershipSettings Settings = {});

  /// What the next heartbeats say. A higher head is told at once.
  void setOwnState(const OwnState &State);
  /// A source of this entry's own saw that an instance is leaving.
  void sawLeaving(Instant Now, const InstanceId &Instance);
  /// A planned stop began: tells a bounded number of entries at once.
  std::vector<Outgoing> stop(Instant Now);

  /// To be called every 100 ms or so; gives the heartbeats that are due.
  std::vector<Outgoing> tick(Instant Now);
  /// A heartbeat came whose signature was right.
  Received on(Instant Now, const Heartbeat &H);

  /// All entries but this one, in order.
  std::vector<PeerStatus> peers(Instant Now) const;
  /// The live entries of the own zone that aren't stopping, in order, with
  /// this one unless it is stopping.
  std::vector<EntryId> zoneEntries(Instant Now) const;
  /// As zoneEntries, over all zones.
  std::vector<EntryId> liveEntries(Instant Now) const;
  /// The live entries of all zones that the platform answers; for control
  /// duties.
  std::vector<EntryId> dutyEntries(Instant Now) const;
  /// The highest head that a live or suspect entry has said.
  std::optional<HeadAt> highestHead(Instant Now) const;
  /// The instances that any source said are leaving, in order.
  std::vector<InstanceId> leaving(Instant Now) const;
  bool stopping() const { return Stopping_; }

  std::string dump(Instant Now) const;

private:
  struct Known {
    ZoneId Zone_;
    std::string Address_;
    bool Heard_ = false;
    Instant HeardAt_;
    Instant FirstHeardAt_;
    Heartbeat Last_;
  };
  struct LeavingNote {
    Instant SeenAt_;
    std::uint32_t TimesTold_ = 0;
  };
  using Peers = std::map<EntryId, Known>;

  Health healthOf(const Known &K, Instant Now) const;
  Micros expectedGap(const Known &K) const;
  void recount();
  std::vector<std::string> targets(Instant Now);
  std::vector<std::string> pick(const std::vector<std::string> &From,
                                std::size_t Count, std::size_t &Cursor);
  std::vector<std::string> addressesOf(bool OwnZone, Instant Now) const;
  /// Addresses of entries that are gone, and those from the settings under
  /// which none is known. They are tried too, so that cuts heal.
  std::vector<std::string> lostAddresses(Instant Now) const;
  Heartbeat heartbeat(Instant Now, const std::string &To);
  std::vector<Outgoing> heartbeatsTo(Instant Now,
                                     const std::vector<std::string> &To);
  std::vector<LeavingInstance> leavingToTell(Instant Now);
  std::vector<KnownPeer> peersToIntroduce(Instant Now, const std::string &To);
  const Known *peerAt(const std::string &Address) const;
  std::vector<EntryId> live(Instant Now, bool OwnZoneOnly) const;
  void note(Instant SeenAt, const InstanceId &Instance);
  void introduce(Instant Now, const KnownPeer &P);
  void forgetOld(Instant Now);

  MembershipSettings Settings_;
  Self Own_;
  std::vector<std::string> Seeds_;
  Jitter Jitter_;

  OwnState State_;
  bool Stopping_ = false;
  std::uint64_t Sequence_ = 0;
  Instant NextRound_;
  Instant LastRound_;
  bool Urgent_ = true;

  Peers Peers_;
  std::size_t ZonePeers_ = 0;
  std::map<InstanceId, LeavingNote> Leaving_;
  std::size_t ZoneCursor_ = 0;
  std::size_t OtherCursor_ = 0;
  std::size_t LostCursor_ = 0;
};

/// The entries that watch a duty's lease: the Count highest by rendezvous
/// hashing over those that live, so that the reads of a lease don't grow with
/// the number of entries. Entries that don't agree on who lives may watch the
/// same duty; the lease decides.
std::vector<EntryId> dutyWatchers(std::string_view Duty,
                                  const std::vector<EntryId> &Live,
                                  std::size_t Count);

} // namespace heathercross::peer
