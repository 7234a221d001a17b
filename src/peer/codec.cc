// Signing and the Thrift compact form of the messages between entries.
#include "peer/codec.h"

#include "core/json-place.h"
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

/// The longest address that is read.
constexpr std::size_t MaxAddressLength = 64;
/// The longest key, writer or value of a row that is read.
constexpr std::size_t MaxRowText = 262'144;
/// The longest time that an instance is said to have been leaving.
constexpr Millis MaxLeavingAge = std::chrono::hours(1);

QByteArray view(std::string_view Text) {
  return QByteArray::fromRawData(Text.data(),
                                 static_cast<qsizetype>(Text.size()));
}

std::string signatureOf(std::string_view Payload, const PeerKey &Key) {
  return QMessageAuthenticationCode::hash(view(Payload), view(Key.secret()),
                                          QCryptographicHash::Sha256)
      .toStdString();
}

bool equalInConstantTime(std::string_view A, std::string_view B) {
  unsigned Difference = A.size() == B.size() ? 0 : 1;
  for (std::size_t I = 0; I < std::min(A.size(), B.size()); ++I)
    Difference |= static_cast<unsigned char>(A[I] ^ B[I]);
  return Difference == 0;
}

/// A name as it came, or Malformed.
template <class I> I nameTo(const std::string &Text) {
  if (!isName(Text))
    raise(Malformed("a name that isn't one"));
  return I(Text);
}

std::uint64_t countTo(std::int64_t Number) {
  if (Number < 0)
    raise(Malformed("a negative number"));
  return static_cast<std::uint64_t>(Number);
}

std::uint32_t smallCountTo(std::int32_t Number) {
  return static_cast<std::uint32_t>(countTo(Number));
}

std::int32_t smallCountFrom(std::uint32_t Number) {
  constexpr std::uint32_t Max = std::numeric_limits<std::int32_t>::max();
  return static_cast<std::int32_t>(std::min(Number, Max));
}

std::int64_t countFrom(std::uint64_t Number) {
  return static_cast<std::int64_t>(Number);
}

std::string addressTo(const std::string &Text) {
  if (Text.empty() || Text.size() > MaxAddressLength)
    raise(Malformed("an address that isn't one"));
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
  W.queued = smallCountFrom(Q.Queued_);
  return W;
}

void put(wire::Message &M, const Heartbeat &H) {
  wire::Heartbeat W;
  W.entry = H.Entry_.str();
  W.zone = H.Zone_.str();
  W.address = H.Address_;
  W.incarnation = countFrom(H.Incarnation_);
  W.sequence = countFrom(H.Sequence_);
  W.head = countFrom(H.Head_.value());
  W.queued = smallCountFrom(H.Queued_);
  W.busy_slots = smallCountFrom(H.Busy_.Count_);
  W.free_slots = smallCountFrom(H.Free_.Count_);
  W.stopping = H.Stopping_;
  for (const LeavingInstance &L : H.Leaving_)
    W.leaving.push_back(toWire(L));
  for (const KnownPeer &P : H.Known_)
    W.known.push_back(toWire(P));
  W.platform_away = H.PlatformAway_;
  for (const PoolQueue &Q : H.Queues_)
    W.queues.push_back(toWire(Q));
  M.__set_heartbeat(W);
}

void put(wire::Message &M, const ViewRequest &R) {
  wire::ViewRequest W;
  W.since = countFrom(R.Since_.value());
  M.__set_view_request(W);
}

void put(wire::Message &M, const ViewAnswer &A) {
  wire::ViewAnswer W;
  W.since = countFrom(A.Since_.value());
  W.head = countFrom(A.Head_.value());
  for (const Row &R : A.Rows_) {
    wire::ViewRow &Last = W.rows.emplace_back();
    Last.key = R.Key_;
    Last.version = countFrom(R.Version_.value());
    Last.writer = R.Writer_.str();
    Last.value = R.Value_;
  }
  M.__set_view_answer(W);
}

LeavingInstance fromWire(const wire::LeavingInstance &W) {
  if (W.age_ms > MaxLeavingAge.count())
    raise(Malformed("an age that is too high"));
  return {nameTo<InstanceId>(W.instance), Millis(countTo(W.age_ms))};
}

KnownPeer fromWire(const wire::KnownPeer &W) {
  return {nameTo<EntryId>(W.entry), nameTo<ZoneId>(W.zone),
          addressTo(W.address)};
}

PoolQueue fromWire(const wire::PoolQueue &W) {
  return {nameTo<PoolId>(W.pool), smallCountTo(W.queued)};
}

Heartbeat fromWire(const wire::Heartbeat &W) {
  requireAtMost(W.queues, MaxPoolQueues);
  requireAtMost(W.leaving, MaxLeavingInstances);
  requireAtMost(W.known, MaxKnownPeers);
  Heartbeat H;
  H.Entry_ = nameTo<EntryId>(W.entry);
  H.Zone_ = nameTo<ZoneId>(W.zone);
  H.Address_ = addressTo(W.address);
  H.Incarnation_ = countTo(W.incarnation);
  H.Sequence_ = countTo(W.sequence);
  H.Head_ = TicketNumber(countTo(W.head));
  H.Queued_ = smallCountTo(W.queued);
  H.Busy_ = Slots{smallCountTo(W.busy_slots)};
  H.Free_ = Slots{smallCountTo(W.free_slots)};
  H.Stopping_ = W.stopping;
  for (const wire::LeavingInstance &L : W.leaving)
    H.Leaving_.push_back(fromWire(L));
  for (const wire::KnownPeer &P : W.known)
    H.Known_.push_back(fromWire(P));
  H.PlatformAway_ = W.platform_away;
  for (const wire::PoolQueue &Q : W.queues)
    H.Queues_.push_back(fromWire(Q));
  return H;
}

ViewRequest fromWire(const wire::ViewRequest &W) {
  return {TicketNumber(countTo(W.since))};
}

ViewAnswer fromWire(const wire::ViewAnswer &W) {
  requireAtMost(W.rows, MaxRows);
  ViewAnswer A{
      TicketNumber(countTo(W.since)), TicketNumber(countTo(W.head)), {}};
  for (const wire::ViewRow &R : W.rows)
    A.Rows_.push_back(
        {R.key, RowVersion(countTo(R.version)), AttemptId(R.writer), R.value});
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
      Buffer, static_cast<std::int32_t>(MaxRowText),
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

std::string signedText(std::string_view Payload, const PeerKey &Key) {
  return signatureOf(Payload, Key) + std::string(Payload);
}

std::string encode(const Message &M, const PeerKey &Key, Bytes Limit) {
  wire::Message W;
  std::visit([&](const auto &Known) { put(W, Known); }, M);
  auto Buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> Protocol(Buffer);
  W.write(&Protocol);
  const std::string Payload = Buffer->getBufferAsString();
  requireWithin(Payload.size() + SignatureSize.Count_, Limit);
  return signedText(Payload, Key);
}

Message decode(std::string_view Bytes, const PeerKey &Key,
               heathercross::Bytes Limit) {
  requireWithin(Bytes.size(), Limit);
  if (Bytes.size() < SignatureSize.Count_)
    raise(BadSignature());
  const auto Payload = Bytes.substr(SignatureSize.Count_);
  const auto Signature = Bytes.substr(0, SignatureSize.Count_);
  if (!equalInConstantTime(Signature, signatureOf(Payload, Key)))
    raise(BadSignature());
  try {
    return fromWire(readPayload(Payload));
  } catch (const TException &E) {
    raise(Malformed(E.what()));
  }
}

} // namespace heathercross::peer
