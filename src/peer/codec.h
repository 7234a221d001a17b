// Messages between entry instances and their signed encoding.
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

/// Maximum size of a datagram: an Ethernet MTU of 1500 bytes less the IPv4 and
/// UDP headers.
inline constexpr Bytes MaxDatagram{1472};
/// Maximum size of a frame on a stream.
inline constexpr Bytes MaxFrame = 2_MiB;
/// Maximum number of leaving instances in a heartbeat.
inline constexpr std::size_t MaxLeavingInstances = 4;
/// Maximum number of other entries in a heartbeat.
inline constexpr std::size_t MaxKnownPeers = 4;
/// Maximum number of pool queues in a heartbeat.
inline constexpr std::size_t MaxPoolQueues = 4;
/// Maximum number of rows in a ViewAnswer.
inline constexpr std::size_t MaxRows = 10'000;
/// Size of the HMAC-SHA-256 signature that precedes each message.
inline constexpr Bytes SignatureSize{32};
/// Minimum size of the shared key.
inline constexpr Bytes MinKeySize{16};

/// An instance that is leaving, and the age of the latest such report.
struct LeavingInstance {
  InstanceId Instance_;
  Millis Age_{0};
  bool operator==(const LeavingInstance &) const = default;
};

/// Another entry and its address, "IP:port".
struct KnownPeer {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  bool operator==(const KnownPeer &) const = default;
};

/// Number of requests that wait for a pool at the sender.
struct PoolQueue {
  PoolId Pool_;
  std::uint32_t Queued_ = 0;
  bool operator==(const PoolQueue &) const = default;
};

/// Soft state that an entry reports about itself.
struct Heartbeat {
  EntryId Entry_;
  ZoneId Zone_;
  std::string Address_;
  /// Distinguishes runs of the entry; a later run has a higher incarnation.
  std::uint64_t Incarnation_ = 0;
  /// Increases with each heartbeat of this run.
  std::uint64_t Sequence_ = 0;
  TicketNumber Head_;
  /// Number of requests waiting in all queues.
  std::uint32_t Queued_ = 0;
  Slots Busy_;
  Slots Free_;
  bool Stopping_ = false;
  std::vector<LeavingInstance> Leaving_;
  std::vector<KnownPeer> Known_;
  /// The platform doesn't respond to the sender, so the sender can't hold
  /// control duties.
  bool PlatformUnavailable_ = false;
  /// The longest queues of the sender.
  std::vector<PoolQueue> Queues_;
  bool operator==(const Heartbeat &) const = default;
};

/// Requests the rows of the view that tickets above Since_ have written.
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

/// The signature of a message doesn't match its payload and the key.
class BadSignature : public Error {
public:
  BadSignature() : Error("the message isn't signed with this key") {}
  const char *code() const noexcept override { return "bad-signature"; }
};

/// A message exceeds its size limit.
class Oversized : public Error {
public:
  Oversized(Bytes Size, Bytes Limit);
  const char *code() const noexcept override { return "oversized"; }
};

/// A correctly signed message that can't be decoded.
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

/// The secret key that all entries share.
class PeerKey {
public:
  /// Throws KeyTooShort.
  explicit PeerKey(std::string Secret);
  const std::string &secret() const { return Secret_; }

private:
  std::string Secret_;
};

/// Prepends the signature to a payload.
std::string signPayload(std::string_view Payload, const PeerKey &Key);

/// Encodes and signs a message. Throws Oversized if the result exceeds Limit.
std::string encode(const Message &M, const PeerKey &Key, Bytes Limit);

/// Decodes the output of encode(), ignoring unknown fields. The signature is
/// compared in constant time, before the payload is parsed. Throws Oversized,
/// BadSignature and Malformed.
Message decode(std::string_view Bytes, const PeerKey &Key,
               heathercross::Bytes Limit);

} // namespace heathercross::peer
