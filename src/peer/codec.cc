// Signs messages between entry instances and encodes them with the Thrift
// compact protocol.
#include "peer/codec.h"

#include "core/json-node.h"
#include "peer/wire.h"

#include <QMessageAuthenticationCode>

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <limits>
#include <utility>

namespace heathercross::peer {

namespace {

using apache::thrift::TException;
using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

/// Maximum length of an address, in bytes.
constexpr std::size_t MaxAddressLength = 64;
/// Maximum length of a string in a message, in bytes.
constexpr std::size_t MaxTextLength = 262'144;
/// Maximum age of a report that an instance is leaving.
constexpr Millis MaxLeavingAge = std::chrono::hours(1);

QByteArray toByteArray(std::string_view Text) {
  return QByteArray::fromRawData(Text.data(),
                                 static_cast<qsizetype>(Text.size()));
}

std::string sign(std::string_view Payload, const PeerKey &Key) {
  return QMessageAuthenticationCode::hash(toByteArray(Payload),
                                          toByteArray(Key.secret()),
                                          QCryptographicHash::Sha256)
      .toStdString();
}

bool equalInConstantTime(std::string_view A, std::string_view B) {
  unsigned Difference = A.size() == B.size() ? 0 : 1;
  for (std::size_t I = 0; I < std::min(A.size(), B.size()); ++I)
    Difference |= static_cast<unsigned char>(A[I] ^ B[I]);
  return Difference == 0;
}

/// Converts a received name to an identifier. Throws Malformed.
template <class I> I toId(const std::string &Text) {
  if (!isName(Text))
    raise(Malformed("a name that isn't valid"));
  return I(Text);
}

std::uint64_t toCount(std::int64_t Number) {
  if (Number < 0)
    raise(Malformed("a negative number"));
  return static_cast<std::uint64_t>(Number);
}

std::uint32_t toCount32(std::int32_t Number) {
  return static_cast<std::uint32_t>(toCount(Number));
}

std::int32_t fromCount32(std::uint32_t Number) {
  constexpr std::uint32_t Max = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(Number, Max));
}

std::int64_t fromCount(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

std::string toAddress(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxAddressLength)
    raise(Malformed("an address that isn't valid"));
  return Text;
}

template <class List> void requireAtMost(const List &Items, std::size_t Max) {
  if (Items.size() > Max)
    raise(Malformed("a list that is too long"));
}

wire::LeavingInstance toWire(const LeavingInstance &L) {
  wire::LeavingInstance W;
  W.instance = L.Instance_.str();
  W.age_ms = L.Age_.count();
  return W;
}

wire::KnownPeer toWire(const KnownPeer &P) {
  wire::KnownPeer W;
  W.entry = P.Entry_.str();
  W.zone = P.Zone_.str();
  W.address = P.Address_;
  return W;
}

wire::PoolQueue toWire(const PoolQueue &Q) {
  wire::PoolQueue W;
  W.pool = Q.Pool_.str();
  W.queued = fromCount32(Q.Queued_);
  return W;
}

void setMessage(wire::Message &M, const Heartbeat &H) {
  wire::Heartbeat W;
  W.entry = H.Entry_.str();
  W.zone = H.Zone_.str();
  W.address = H.Address_;
  W.incarnation = fromCount(H.Incarnation_);
  W.sequence = fromCount(H.Sequence_);
  W.head = fromCount(H.Head_.value());
  W.queued = fromCount32(H.Queued_);
  W.busy_slots = fromCount32(H.Busy_.Count_);
  W.free_slots = fromCount32(H.Free_.Count_);
  W.stopping = H.Stopping_;
  for (const LeavingInstance &L : H.Leaving_)
    W.leaving.push_back(toWire(L));
  for (const KnownPeer &P : H.Known_)
    W.known.push_back(toWire(P));
  W.platform_away = H.PlatformUnavailable_;
  for (const PoolQueue &Q : H.Queues_)
    W.queues.push_back(toWire(Q));
  M.__set_heartbeat(W);
}

void setMessage(wire::Message &M, const ViewRequest &R) {
  wire::ViewRequest W;
  W.since = fromCount(R.Since_.value());
  M.__set_view_request(W);
}

void setMessage(wire::Message &M, const ViewAnswer &A) {
  wire::ViewAnswer W;
  W.since = fromCount(A.Since_.value());
  W.head = fromCount(A.Head_.value());
  for (const Row &R : A.Rows_) {
    wire::ViewRow &Target = W.rows.emplace_back();
    Target.key = R.Key_;
    Target.version = fromCount(R.Version_.value());
    Target.writer = R.Writer_.str();
    Target.value = R.Value_;
  }
  M.__set_view_answer(W);
}

LeavingInstance fromWire(const wire::LeavingInstance &W) {
  if (W.age_ms > MaxLeavingAge.count())
    raise(Malformed("an age that is too high"));
  return {toId<InstanceId>(W.instance), Millis(toCount(W.age_ms))};
}

KnownPeer fromWire(const wire::KnownPeer &W) {
  return {toId<EntryId>(W.entry), toId<ZoneId>(W.zone), toAddress(W.address)};
}

PoolQueue fromWire(const wire::PoolQueue &W) {
  return {toId<PoolId>(W.pool), toCount32(W.queued)};
}

Heartbeat fromWire(const wire::Heartbeat &W) {
  requireAtMost(W.queues, MaxPoolQueues);
  requireAtMost(W.leaving, MaxLeavingInstances);
  requireAtMost(W.known, MaxKnownPeers);
  Heartbeat H;
  H.Entry_ = toId<EntryId>(W.entry);
  H.Zone_ = toId<ZoneId>(W.zone);
  H.Address_ = toAddress(W.address);
  H.Incarnation_ = toCount(W.incarnation);
  H.Sequence_ = toCount(W.sequence);
  H.Head_ = TicketNumber(toCount(W.head));
  H.Queued_ = toCount32(W.queued);
  H.Busy_ = Slots{toCount32(W.busy_slots)};
  H.Free_ = Slots{toCount32(W.free_slots)};
  H.Stopping_ = W.stopping;
  for (const wire::LeavingInstance &L : W.leaving)
    H.Leaving_.push_back(fromWire(L));
  for (const wire::KnownPeer &P : W.known)
    H.Known_.push_back(fromWire(P));
  H.PlatformUnavailable_ = W.platform_away;
  for (const wire::PoolQueue &Q : W.queues)
    H.Queues_.push_back(fromWire(Q));
  return H;
}

ViewRequest fromWire(const wire::ViewRequest &W) {
  return {TicketNumber(toCount(W.since))};
}

ViewAnswer fromWire(const wire::ViewAnswer &W) {
  requireAtMost(W.rows, MaxRows);
  ViewAnswer A{
      TicketNumber(toCount(W.since)), TicketNumber(toCount(W.head)), {}};
  for (const wire::ViewRow &R : W.rows)
    A.Rows_.push_back(
        {R.key, RowVersion(toCount(R.version)), AttemptId(R.writer), R.value});
  return A;
}

Message fromWire(const wire::Message &W) {
  if (W.__isset.heartbeat)
    return fromWire(W.heartbeat);
  if (W.__isset.view_request)
    return fromWire(W.view_request);
  if (W.__isset.view_answer)
    return fromWire(W.view_answer);
  raise(Malformed("a message of an unknown kind"));
}

void requireWithin(std::size_t Size, Bytes Limit) {
  if (Size > Limit.Count_)
    raise(Oversized({Size}, Limit));
}

wire::Message readPayload(std::string_view Payload) {
  std::string Copy(Payload);
  auto Buffer = std::make_shared<TMemoryBuffer>(
      reinterpret_cast<std::uint8_t *>(Copy.data()),
      static_cast<std::uint32_t>(Copy.size()));
  TCompactProtocolT<TMemoryBuffer> Protocol(
      Buffer, static_cast<std::int32_t>(MaxTextLength),
      static_cast<std::int32_t>(MaxRows));
  wire::Message W;
  W.read(&Protocol);
  return W;
}

} // namespace

Oversized::Oversized(Bytes Size, Bytes Limit)
    : Error(std::to_string(Size.Count_) + " bytes, the limit is " +
            std::to_string(Limit.Count_)) {}

KeyTooShort::KeyTooShort()
    : Error("the peers' key is shorter than " +
            std::to_string(MinKeySize.Count_) + " bytes") {}

PeerKey::PeerKey(std::string Secret) : Secret_(std::move(Secret)) {
  if (Secret_.size() < MinKeySize.Count_)
    raise(KeyTooShort());
}

std::string signPayload(std::string_view Payload, const PeerKey &Key) {
  return sign(Payload, Key) + std::string(Payload);
}

std::string encode(const Message &M, const PeerKey &Key, Bytes Limit) {
  wire::Message W;
  std::visit([&](const auto &Alternative) { setMessage(W, Alternative); }, M);
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  W.write(&Protocol);
  const std::string Payload = Buffer->getBufferAsString();
  requireWithin(Payload.size() + SignatureSize.Count_, Limit);
  return signPayload(Payload, Key);
}

Message decode(std::string_view Bytes, const PeerKey &Key,
               heathercross::Bytes Limit) {
  requireWithin(Bytes.size(), Limit);
  if (Bytes.size() < SignatureSize.Count_)
    raise(BadSignature());
  const auto Payload = Bytes.substr(SignatureSize.Count_);
  const auto Signature = Bytes.substr(0, SignatureSize.Count_);
  if (!equalInConstantTime(Signature, sign(Payload, Key)))
    raise(BadSignature());
  try {
    return fromWire(readPayload(Payload));
  } catch (const TException &E) {
    raise(Malformed(E.what()));
  }
}

} // namespace heathercross::peer
