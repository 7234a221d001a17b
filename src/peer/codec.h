// Messages between entry instances: plain structs and their signed bytes.
#pragma once

#include "heathercross/error.h"
#include "heathercross/ids.h"
#include "heathercross/table.h"
#include "heathercross/units.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace heathercross::peer {

/// The largest datagram that is sent or read.
inline constexpr Bytes MaxDatagram{1472};
/// The largest frame on a stream that is sent or read.
inline constexpr Bytes MaxFrame = 2_MiB;
/// The most leaving instances in one heartbeat.
inline constexpr std::size_t MaxLeavingInstances = 4;
/// The most other entries in one heartbeat.
inline constexpr std::size_t MaxKnownPeers = 4;
/// The most pools whose queues one heartbeat tells.
inline constexpr std::size_t MaxPoolQueues = 4;
/// The most rows in one answer.
inline constexpr std::size_t MaxRows = 10'000;
/// The length of the signature in front of each message.
inline constexpr Bytes SignatureSize{32};
/// The shortest key that is accepted.
inline constexpr Bytes MinKeySize{16};

/// An instance that is leaving, and for how long the sender has known it.
struct LeavingInstance {
  InstanceId Instance_;
  Millis Age_{0};
  bool operator==(const LeavingInstance &) const = default;
};

/// Where another entry can be reached: "IP:port".
struct KnownPeer {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  bool operator==(const KnownPeer &) const = default;
};

/// How many requests wait for a pool at the sender.
struct PoolQueue {
  PoolId Pool_;
  std::uint32_t Queued_ = 0;
  bool operator==(const PoolQueue &) const = default;
};

/// Soft state that an entry tells of itself.
struct Heartbeat {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  /// Tells this run of the entry from earlier ones; later runs have higher
  /// ones.
  std::uint64_t Incarnation_ = 0;
  /// Goes up with each heartbeat of this run.
  std::uint64_t Sequence_ = 0;
  TicketNumber Head_;
  /// Requests that wait in its queues.
  std::uint32_t Queued_ = 0;
  Slots Busy_;
  Slots Free_;
  bool Stopping_ = false;
  std::vector<LeavingInstance> Leaving_;
  std::vector<KnownPeer> Known_;
  /// The platform doesn't answer the sender, so it can do no control duty.
  bool PlatformAway_ = false;
  /// The longest queues of the sender.
  std::vector<PoolQueue> Queues_;
  bool operator==(const Heartbeat &) const = default;
};

/// Asks for the rows of the view that tickets above Since_ wrote.
struct ViewRequest {
  TicketNumber Since_;
  bool operator==(const ViewRequest &) const = default;
};

struct ViewAnswer {
  TicketNumber Since_;
  TicketNumber Head_;
  std::vector<Row> Rows_;
  bool operator==(const ViewAnswer &) const = default;
};

using Message = std::variant<Heartbeat, ViewRequest, ViewAnswer>;

/// A message whose signature doesn't fit its bytes and the key.
class BadSignature : public Error {
public:
  BadSignature() : Error("the message isn't signed with this key") {}
  const char *code() const noexcept override { return "bad-signature"; }
};

class Oversized : public Error {
public:
  Oversized(Bytes Size, Bytes Limit);
  const char *code() const noexcept override { return "oversized"; }
};

/// A signed message that isn't one of the known ones.
class Malformed : public Error {
public:
  explicit Malformed(const std::string &Problem) : Error(Problem) {}
  const char *code() const noexcept override { return "malformed"; }
};

class KeyTooShort : public Error {
public:
  KeyTooShort();
  const char *code() const noexcept override { return "key-too-short"; }
};

/// The key that all entries share.
class PeerKey {
public:
  /// Throws KeyTooShort.
  explicit PeerKey(std::string Secret);
  const std::string &secret() const { return Secret_; }

private:
  std::string Secret_;
};

/// A payload with its signature in front.
std::string signedText(std::string_view Payload, const PeerKey &Key);

/// The signature and the compact form of a message. Throws Oversized above
/// Limit.
std::string encode(const Message &M, const PeerKey &Key, Bytes Limit);

/// Reads what encode() wrote; unknown fields are passed over. Throws
/// Oversized, BadSignature, Malformed. The signature is compared in constant
/// time and before anything else is read.
Message decode(std::string_view Bytes, const PeerKey &Key,
               heathercross::Bytes Limit);

} // namespace heathercross::peer
