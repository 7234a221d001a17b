// Tests of membership: health, propagation of state, and bounded traffic.
#include "peer/membership.h"
#include "support/story.h"

#include <algorithm>
#include <memory>

using namespace heathercross;
using namespace heathercross::peer;
using heathercross::test::section;

namespace {

constexpr Micros Tick = Millis(100);
const PeerKey Key("sixteen bytes...");
/// Bytes that the IPv4 and UDP headers add to each datagram.
constexpr std::size_t DatagramHeader = 28;

Instant timeAt(Micros D) { return Instant(D); }

/// Entries in zones of equal size on a network without delay.
class Fleet {
public:
  Fleet(int Size, int Zones)
      : Disconnected_(static_cast<std::size_t>(Size), false) {
    // Every entry has the first three as seeds.
    const std::vector<std::string> Seeds{"10.0.0.0:1", "10.0.0.1:1",
                                         "10.0.0.2:1"};
    for (int I = 0; I < Size; ++I)
      Entries_.push_back(std::make_unique<Membership>(
          timeAt(Micros(0)),
          OwnIdentity{name(I), ZoneId("zone-" + std::to_string(I % Zones)),
                      address(I), 1},
          Seeds, static_cast<std::uint64_t>(I)));
  }

  static EntryId name(int I) { return EntryId("entry-" + std::to_string(I)); }
  static std::string address(int I) {
    return "10.0.0." + std::to_string(I) + ":1";
  }

  Membership &operator[](int I) { return *Entries_[I]; }

  void run(Micros Length) {
    for (const Micros End = Now_ + Length; Now_ < End; Now_ += Tick)
      for (int I = 0; I < static_cast<int>(Entries_.size()); ++I)
        if (!Disconnected_[I])
          send(Entries_[I]->tick(timeAt(Now_)));
  }

  void send(const std::vector<Outgoing> &Heartbeats) {
    for (const Outgoing &O : Heartbeats) {
      const std::string Bytes = encode(O.Heartbeat_, Key, MaxDatagram);
      SentBytes_ += Bytes.size() + DatagramHeader;
      for (int I = 0; I < static_cast<int>(Entries_.size()); ++I)
        if (address(I) == O.Address_ && !Disconnected_[I])
          Entries_[I]->on(timeAt(Now_),
                          std::get<Heartbeat>(decode(Bytes, Key, MaxDatagram)));
    }
  }

  /// Number of entries that report an instance as leaving.
  int countLeaving(const InstanceId &Instance) const {
    return static_cast<int>(std::ranges::count_if(Entries_, [&](const auto &E) {
      const auto Known = E->leaving(timeAt(Now_));
      return std::ranges::find(Known, Instance) != Known.end();
    }));
  }

  std::size_t SentBytes_ = 0;
  Micros Now_{0};
  std::vector<bool> Disconnected_;

private:
  std::vector<std::unique_ptr<Membership>> Entries_;
};

} // namespace

HEATHERCROSS_STORY(MembershipStory, "nine entries in three zones") {
  Fleet F(9, 3);
  F.run(Seconds(15));
  section("all know all, and each its zone in order", [&] {
    for (int I = 0; I < 9; ++I)
      CPPUNIT_ASSERT_EQUAL(std::size_t{9},
                           F[I].liveEntries(timeAt(F.Now_)).size());
    CPPUNIT_ASSERT(F[4].zoneEntries(timeAt(F.Now_)) ==
                   (std::vector{F.name(1), F.name(4), F.name(7)}));
  });
  section("a leaving instance is known everywhere within 3 s", [&] {
    F[4].onLeavingObserved(timeAt(F.Now_), InstanceId("i"));
    F.run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(9, F.countLeaving(InstanceId("i")));
    section("and expires everywhere, without being sent again", [&] {
      F.run(Seconds(21));
      CPPUNIT_ASSERT_EQUAL(0, F.countLeaving(InstanceId("i")));
    });
  });
  section("the highest head is known with its entry", [&] {
    OwnState State;
    State.Head_ = TicketNumber(7);
    F[2].setOwnState(State);
    F.run(Seconds(4));
    CPPUNIT_ASSERT(F[6].highestHead(timeAt(F.Now_))->Head_ == TicketNumber(7));
    CPPUNIT_ASSERT(F[6].highestHead(timeAt(F.Now_))->Entry_ == F.name(2));
  });
  section("a silent entry drops out of the zone within 4 s, and returns", [&] {
    F.Disconnected_[7] = true;
    F.run(Seconds(4));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         F[1].zoneEntries(timeAt(F.Now_)).size());
    F.run(Seconds(30));
    F.Disconnected_[7] = false;
    F.run(Seconds(6));
    CPPUNIT_ASSERT_EQUAL(std::size_t{3},
                         F[1].zoneEntries(timeAt(F.Now_)).size());
  });
  section("a planned stop is known in the zone at once", [&] {
    F.send(F[7].stop(timeAt(F.Now_)));
    CPPUNIT_ASSERT_EQUAL(std::size_t{2},
                         F[1].zoneEntries(timeAt(F.Now_)).size());
  });
}

HEATHERCROSS_STORY(MembershipReplay,
                   "old and self-sent heartbeats change nothing") {
  Membership M(timeAt(Micros(0)), {EntryId("a"), ZoneId("z"), "1:1", 1}, {}, 1);
  Heartbeat H;
  H.Entry_ = EntryId("b");
  H.Zone_ = ZoneId("z");
  H.Address_ = "2:1";
  H.Incarnation_ = 5;
  H.Sequence_ = 9;
  H.Head_ = TicketNumber(3);
  CPPUNIT_ASSERT(M.on(timeAt(Seconds(1)), H) == HeartbeatResult::Accepted);
  Heartbeat Old = H;
  Old.Incarnation_ = 4;
  Old.Sequence_ = 100;
  Old.Head_ = TicketNumber(9);
  CPPUNIT_ASSERT(M.on(timeAt(Seconds(2)), H) == HeartbeatResult::Replayed);
  CPPUNIT_ASSERT(M.on(timeAt(Seconds(2)), Old) == HeartbeatResult::Replayed);
  CPPUNIT_ASSERT(M.highestHead(timeAt(Seconds(2)))->Head_ == TicketNumber(3));
  CPPUNIT_ASSERT_EQUAL(std::size_t{1},
                       M.zoneEntries(timeAt(Seconds(5))).size());
  H.Entry_ = EntryId("a");
  CPPUNIT_ASSERT(M.on(timeAt(Seconds(2)), H) == HeartbeatResult::FromSelf);
  section("a later run of the entry counts at once", [&] {
    Old.Incarnation_ = 6;
    Old.Sequence_ = 1;
    CPPUNIT_ASSERT(M.on(timeAt(Seconds(2)), Old) == HeartbeatResult::Accepted);
  });
}

HEATHERCROSS_STORY(MembershipBytes, "bytes don't grow with the fleet") {
  for (const int Size : {9, 30, 60}) {
    Fleet F(Size, 3);
    F.run(Seconds(90));
    for (int I = 0; I < Size; ++I)
      CPPUNIT_ASSERT_EQUAL(F[I].zoneEntries(timeAt(F.Now_)).size(),
                           static_cast<std::size_t>(Size / 3));
    const std::size_t Before = F.SentBytes_;
    F.run(Seconds(30));
    const std::size_t BytesPerSecond = (F.SentBytes_ - Before) / 30 / Size;
    // Bytes sent and received must stay below half of the 3 KB/s that control
    // traffic may use.
    CPPUNIT_ASSERT(2 * BytesPerSecond < 1'500);
    F[3].onLeavingObserved(timeAt(F.Now_), InstanceId("i"));
    F.run(Seconds(3));
    CPPUNIT_ASSERT_EQUAL(Size, F.countLeaving(InstanceId("i")));
  }
}

HEATHERCROSS_STORY(DutyWatchers,
                   "a duty's watchers stay when others come or go") {
  std::vector<EntryId> Live;
  Live.reserve(20);
  for (int I = 0; I < 20; ++I)
    Live.push_back(Fleet::name(I));
  int ChangedDuties = 0;
  for (int D = 0; D < 100; ++D) {
    const std::string Duty = "job-" + std::to_string(D);
    const auto Before = dutyWatchers(Duty, Live, 3);
    CPPUNIT_ASSERT_EQUAL(std::size_t{3}, Before.size());
    auto Fewer = Live;
    std::erase(Fewer, Fleet::name(7));
    ChangedDuties += dutyWatchers(Duty, Fewer, 3) == Before ? 0 : 1;
  }
  // On average, each of 20 entries watches 3 of 20 duties.
  CPPUNIT_ASSERT(ChangedDuties >= 5 && ChangedDuties <= 30);
}
