// Tests of the encoding and signing of messages between entries.
#include "peer/codec.h"
#include "support/story.h"

#include <rapidcheck.h>

using namespace heathercross;
using namespace heathercross::peer;
using heathercross::test::section;

namespace {

const PeerKey Key("sixteen bytes...");

Heartbeat largestHeartbeat() {
  const std::string Name(64, 'x');
  Heartbeat H;
  H.Entry_ = EntryId(Name);
  H.Zone_ = ZoneId(Name);
  H.Address_ = "255.255.255.255:65535";
  H.Incarnation_ = H.Sequence_ = std::uint64_t{1} << 60;
  H.Head_ = TicketNumber(99'999'999);
  H.Queued_ = 2'000'000'000;
  H.Busy_ = H.Free_ = Slots{2'000'000'000};
  H.Stopping_ = true;
  for (std::size_t I = 0; I < MaxLeavingInstances; ++I)
    H.Leaving_.push_back({InstanceId(Name), Millis(3'600'000)});
  for (std::size_t I = 0; I < MaxKnownPeers; ++I)
    H.Known_.push_back({EntryId(Name), ZoneId(Name), H.Address_});
  for (std::size_t I = 0; I < MaxPoolQueues; ++I)
    H.Queues_.push_back({PoolId(Name), 2'000'000'000});
  H.PlatformUnavailable_ = true;
  return H;
}

} // namespace

HEATHERCROSS_STORY(PeerCodecStory, "decoded messages equal what was encoded") {
  const ViewAnswer Rows{TicketNumber(3),
                        TicketNumber(5),
                        {{"k", RowVersion(9), AttemptId("a"), "{\"x\":1}"}}};
  section("each kind", [&] {
    for (const Message &M :
         {Message(largestHeartbeat()), Message(ViewRequest{TicketNumber(4)}),
          Message(Rows)})
      CPPUNIT_ASSERT(decode(encode(M, Key, MaxFrame), Key, MaxFrame) == M);
  });
  section("the largest heartbeat fits into a datagram", [&] {
    CPPUNIT_ASSERT(!encode(largestHeartbeat(), Key, MaxDatagram).empty());
  });
  section("what is too large is refused on both sides", [&] {
    CPPUNIT_ASSERT_THROW(encode(Rows, Key, Bytes{40}), Oversized);
    CPPUNIT_ASSERT_THROW(
        decode(std::string(MaxDatagram.Count_ + 1, 'x'), Key, MaxDatagram),
        Oversized);
  });
  section("another key is refused, and a short one isn't valid", [&] {
    const auto Bytes = encode(Rows, PeerKey("another sixteen."), MaxFrame);
    CPPUNIT_ASSERT_THROW(decode(Bytes, Key, MaxFrame), BadSignature);
    CPPUNIT_ASSERT_THROW(PeerKey("short"), KeyTooShort);
  });
  section("a list or number out of bounds is malformed", [&] {
    Heartbeat H = largestHeartbeat();
    H.Leaving_.push_back(H.Leaving_[0]);
    CPPUNIT_ASSERT_THROW(decode(encode(H, Key, MaxFrame), Key, MaxFrame),
                         Malformed);
    H = largestHeartbeat();
    H.Entry_ = EntryId("a/b");
    CPPUNIT_ASSERT_THROW(decode(encode(H, Key, MaxFrame), Key, MaxFrame),
                         Malformed);
  });
}

HEATHERCROSS_STORY(PeerCodecCorruption,
                   "changed bytes never decode as a message") {
  const std::string Good = encode(largestHeartbeat(), Key, MaxDatagram);
  const auto Property = [&Good](std::size_t Position, char Mask,
                                std::size_t Removed) {
    std::string Bad = Good;
    Bad[Position % Bad.size()] =
        static_cast<char>(Good[Position % Good.size()] ^ Mask);
    Bad.resize(Bad.size() - Removed % Bad.size());
    RC_PRE(Bad != Good);
    RC_ASSERT_THROWS_AS(decode(Bad, Key, MaxDatagram), BadSignature);
  };
  HEATHERCROSS_PROPERTY("changed bytes are refused", Property);
}

HEATHERCROSS_STORY(PeerCodecGarbage,
                   "signed garbage is malformed, not a crash") {
  const auto Property = [](const std::string &Garbage) {
    try {
      decode(signPayload(Garbage, Key), Key, MaxFrame);
    } catch (const Malformed &) {
    }
  };
  HEATHERCROSS_PROPERTY("garbage never crashes the decoder", Property);
}
