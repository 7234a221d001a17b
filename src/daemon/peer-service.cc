// Datagrams and stream connections between entry instances.
#include "daemon/peer-service.h"

#include "core/endpoint.h"
#include "fleet/rows.h"
#include "http/http-server.h"

#include <QNetworkDatagram>
#include <QtEndian>

#include <glog/logging.h>

#include <algorithm>
#include <iterator>

namespace heathercross::daemon {

namespace {

constexpr int TickMs = 100;
constexpr int StreamTimeoutMs = 2000;
constexpr int MaxStreams = 16;
/// Size of the big-endian length in front of each message on a stream.
constexpr qsizetype LengthBytes = 4;
constexpr qsizetype MaxRequestBytes = 1024;
constexpr const char *InstancePrefix = "instance/";

std::string_view toStringView(const QByteArray &B) {
  return {B.constData(), static_cast<std::size_t>(B.size())};
}

/// Encodes a message as a frame: its length, then its bytes.
QByteArray encodeFrame(const std::string &Message) {
  QByteArray Frame(LengthBytes, '\0');
  qToBigEndian(static_cast<quint32>(Message.size()), Frame.data());
  return Frame + QByteArray::fromStdString(Message);
}

/// Returns the message of the frame at the start of the buffer, or nullopt if
/// the frame is incomplete. Throws peer::Oversized.
std::optional<QByteArray> decodeFrame(const QByteArray &Buffer) {
  if (Buffer.size() < LengthBytes)
    return std::nullopt;
  const auto Length = qFromBigEndian<quint32>(Buffer.constData());
  if (Length > peer::MaxFrame.Count_)
    raise(peer::Oversized(Bytes{Length}, peer::MaxFrame));
  if (Buffer.size() < LengthBytes + static_cast<qsizetype>(Length))
    return std::nullopt;
  return Buffer.mid(LengthBytes, static_cast<qsizetype>(Length));
}

/// Aborts a stream that is still open after the timeout, and deletes the socket
/// once it is disconnected.
void limitLifetime(QTcpSocket *Socket) {
  QTimer::singleShot(StreamTimeoutMs, Socket, [Socket] { Socket->abort(); });
  QObject::connect(Socket, &QTcpSocket::disconnected, Socket,
                   &QObject::deleteLater);
}

bool isInstanceRow(const Row &R) { return R.Key_.starts_with(InstancePrefix); }

} // namespace

PeerService::PeerService(PeerConfig Config, peer::PeerKey Key,
                         process::Clock &C, process::Metrics &M,
                         ViewService &View, FleetFeed &Feed)
    : Config_(std::move(Config)), Key_(std::move(Key)), Clock_(C), Metrics_(M),
      View_(View), Feed_(Feed), Members_(C.now(), Config_.Self_, Config_.Seeds_,
                                         Config_.Seed_, Config_.Membership_) {
  connect(&Udp_, &QUdpSocket::readyRead, this, [this] { readDatagrams(); });
  connect(&StreamServer_, &QTcpServer::newConnection, this,
          [this] { acceptStreams(); });
  connect(&TickTimer_, &QTimer::timeout, this, [this] { tick(); });
  View_.setAskPeer([this](const EntryId &Peer, TicketNumber Since,
                          const ViewService::PeerAnswer &Done) {
    requestView(Peer, Since, Done);
  });
}

void PeerService::listen(const QHostAddress &Address, std::uint16_t Port) {
  const bool Bound =
      Udp_.bind(Address, Port) && StreamServer_.listen(Address, Port);
  if (!Bound)
    raise(http::ListenFailed(
        (Address.toString() + ":" + QString::number(Port)).toStdString(),
        Udp_.errorString().toStdString()));
  TickTimer_.start(TickMs);
}

void PeerService::setLoad(std::uint32_t Queued,
                          std::vector<peer::PoolQueue> Longest) {
  OwnState_.Queued_ = Queued;
  OwnState_.Queues_ = std::move(Longest);
}

std::map<PoolId, std::uint32_t> PeerService::queuesElsewhere() const {
  std::map<PoolId, std::uint32_t> Queued;
  for (const peer::PeerStatus &P : Members_.peers(Clock_.now()))
    if (P.Health_ == peer::Health::Live)
      for (const peer::PoolQueue &Q : P.LastHeartbeat_.Queues_)
        Queued[Q.Pool_] += Q.Queued_;
  return Queued;
}

void PeerService::beginStop() { send(Members_.stop(Clock_.now())); }

std::vector<EntryId> PeerService::zoneEntries() const {
  return Members_.zoneEntries(Clock_.now());
}

std::vector<EntryId> PeerService::dutyEntries() const {
  return Members_.dutyEntries(Clock_.now());
}

void PeerService::tick() {
  const Instant Now = Clock_.now();
  OwnState_.Head_ = View_.view().Head_;
  OwnState_.PlatformUnavailable_ = View_.platformUnreachable();
  Members_.setOwnState(OwnState_);
  exchangeLeaving();
  send(Members_.tick(Now));
  for (const peer::PeerStatus &P : Members_.peers(Now)) {
    if (P.Health_ == peer::Health::Live)
      View_.peerSeen(P.Entry_, P.LastHeartbeat_.Head_);
    if (P.Health_ == peer::Health::Gone)
      View_.peerGone(P.Entry_);
  }
  std::vector<EntryId> Duty = dutyEntries();
  std::vector<EntryId> Zone = zoneEntries();
  if (Duty == LastDutyEntries_ && Zone == LastZoneEntries_)
    return;
  LOG(INFO) << "event=entries zone=" << Zone.size() << " duty=" << Duty.size();
  LastDutyEntries_ = std::move(Duty);
  LastZoneEntries_ = std::move(Zone);
  if (OnEntries_)
    OnEntries_();
}

void PeerService::exchangeLeaving() {
  const Instant Now = Clock_.now();
  const std::vector<InstanceId> Known = Members_.leaving(Now);
  for (const InstanceId &I : Known)
    Feed_.markLeaving(I, "peer");
  for (const InstanceId &I : Feed_.leaving())
    if (std::ranges::find(Known, I) == Known.end())
      Members_.onLeavingObserved(Now, I);
}

void PeerService::send(const std::vector<peer::Outgoing> &All) {
  for (const peer::Outgoing &O : All) {
    const auto Destination = parseEndpoint(O.Address_);
    if (!Destination || BlockedAddresses_.contains(O.Address_))
      continue;
    const std::string Message =
        peer::encode(O.Heartbeat_, Key_, peer::MaxDatagram);
    Udp_.writeDatagram(Message.data(), static_cast<qint64>(Message.size()),
                       QHostAddress(QString::fromStdString(Destination->Host_)),
                       Destination->Port_);
    TransferredBytes_ += Message.size();
  }
}

void PeerService::readDatagrams() {
  while (Udp_.hasPendingDatagrams()) {
    const QByteArray Data =
        Udp_.receiveDatagram(static_cast<qint64>(peer::MaxDatagram.Count_) + 1)
            .data();
    TransferredBytes_ += static_cast<std::uint64_t>(Data.size());
    try {
      const peer::Message M =
          peer::decode(toStringView(Data), Key_, peer::MaxDatagram);
      if (const auto *H = std::get_if<peer::Heartbeat>(&M))
        handleHeartbeat(*H);
    } catch (const Error &E) {
      Metrics_.add("heathercross_peer_messages_refused_total",
                   "Messages of peers that were unsigned or malformed.");
      LOG_EVERY_N(WARNING, 100) << "event=peer-refused code=" << E.code();
    }
  }
}

void PeerService::handleHeartbeat(const peer::Heartbeat &H) {
  if (BlockedAddresses_.contains(H.Address_))
    return;
  if (Members_.on(Clock_.now(), H) == peer::HeartbeatResult::Accepted)
    View_.peerSeen(H.Entry_, H.Head_);
}

// Stream connections.

void PeerService::acceptStreams() {
  while (QTcpSocket *Socket = StreamServer_.nextPendingConnection()) {
    Socket->setReadBufferSize(LengthBytes + MaxRequestBytes);
    limitLifetime(Socket);
    if (StreamServer_.findChildren<QTcpSocket *>().size() > MaxStreams) {
      Socket->abort();
      continue;
    }
    connect(Socket, &QTcpSocket::readyRead, this,
            [this, Socket] { serveStream(Socket); });
  }
}

void PeerService::serveStream(QTcpSocket *Socket) {
  try {
    const auto Message =
        decodeFrame(Socket->peek(LengthBytes + MaxRequestBytes));
    if (!Message)
      return;
    Socket->readAll();
    const peer::Message M =
        peer::decode(toStringView(*Message), Key_, peer::MaxFrame);
    if (const auto *R = std::get_if<peer::ViewRequest>(&M))
      Socket->write(encodeViewAnswer(*R));
    Socket->disconnectFromHost();
  } catch (const Error &E) {
    Metrics_.add("heathercross_peer_messages_refused_total",
                 "Messages of peers that were unsigned or malformed.");
    Socket->abort();
  }
}

QByteArray PeerService::encodeViewAnswer(const peer::ViewRequest &R) {
  peer::ViewAnswer A;
  if (View_.store().hasView()) {
    const view::ViewChanges Changes = View_.store().changesSince(R.Since_);
    A = {Changes.Since_, Changes.Head_, Changes.Rows_};
  }
  for (const auto &[Name, Record] : Feed_.instances())
    A.Rows_.push_back({fleet::instanceKey(Name), Record.Version_, AttemptId(),
                       fleet::encode(Record.Row_)});
  const std::string Message = peer::encode(A, Key_, peer::MaxFrame);
  TransferredBytes_ += Message.size();
  return encodeFrame(Message);
}

std::string PeerService::addressOf(const EntryId &Peer) const {
  const auto All = Members_.peers(Clock_.now());
  const auto It = std::ranges::find(All, Peer, &peer::PeerStatus::Entry_);
  return It == All.end() ? std::string() : It->Address_;
}

void PeerService::requestView(const EntryId &Peer, TicketNumber Since,
                              const ViewService::PeerAnswer &Done) {
  const std::string Address = addressOf(Peer);
  const auto Destination = parseEndpoint(Address);
  if (!Destination || BlockedAddresses_.contains(Address))
    return QTimer::singleShot(0, [Done] { Done(std::nullopt); });
  auto *Socket = new QTcpSocket(this);
  auto Answered = std::make_shared<bool>(false);
  connect(Socket, &QTcpSocket::connected, this, [this, Socket, Since] {
    Socket->write(encodeFrame(
        peer::encode(peer::ViewRequest{Since}, Key_, peer::MaxFrame)));
  });
  connect(Socket, &QTcpSocket::readyRead, this, [this, Socket, Answered, Done] {
    try {
      const auto Message = decodeFrame(Socket->peek(
          LengthBytes + static_cast<qint64>(peer::MaxFrame.Count_)));
      if (!Message || *Answered)
        return;
      TransferredBytes_ += static_cast<std::uint64_t>(Message->size());
      const peer::Message M =
          peer::decode(toStringView(*Message), Key_, peer::MaxFrame);
      *Answered = true;
      if (const auto *A = std::get_if<peer::ViewAnswer>(&M))
        handleViewAnswer(*A, Done);
      else
        Done(std::nullopt);
    } catch (const Error &E) {
      LOG(WARNING) << "event=peer-refused code=" << E.code();
    }
    Socket->abort();
  });
  connect(Socket, &QTcpSocket::stateChanged, this,
          [Answered, Done](QAbstractSocket::SocketState State) {
            if (State != QAbstractSocket::UnconnectedState || *Answered)
              return;
            *Answered = true;
            Done(std::nullopt);
          });
  limitLifetime(Socket);
  Socket->connectToHost(
      QHostAddress(QString::fromStdString(Destination->Host_)),
      Destination->Port_);
}

void PeerService::handleViewAnswer(const peer::ViewAnswer &A,
                                   const ViewService::PeerAnswer &Done) {
  view::ViewChanges Changes{A.Since_, A.Head_, {}};
  std::vector<Row> Instances;
  std::ranges::partition_copy(A.Rows_, std::back_inserter(Instances),
                              std::back_inserter(Changes.Rows_), isInstanceRow);
  Feed_.applyPeerRows(Instances);
  Done(std::move(Changes));
}

} // namespace heathercross::daemon
