// Datagrams and stream connections between entry instances.
#pragma once

#include "daemon/fleet-feed.h"
#include "daemon/view-service.h"
#include "peer/codec.h"
#include "peer/membership.h"
#include "process/clock.h"
#include "process/metrics.h"

#include <QHostAddress>
#include <QObject>
#include <QTcpServer>
#include <QTcpSocket>
#include <QTimer>
#include <QUdpSocket>

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heathercross::daemon {

struct PeerConfig {
  peer::OwnIdentity Self_;
  std::vector<std::string> Seeds_;
  std::uint64_t Seed_ = 1;
  peer::MembershipSettings Membership_;
};

/// Exchanges heartbeats as datagrams and view rows as frames on TCP streams,
/// both signed. Everything received from peers is soft state.
class PeerService : public QObject {
public:
  PeerService(PeerConfig Config, peer::PeerKey Key, process::Clock &C,
              process::Metrics &M, ViewService &View, FleetFeed &Feed);

  /// Throws http::ListenFailed.
  void listen(const QHostAddress &Address, std::uint16_t Port);
  /// Sets the callback that runs when the live entries may have changed.
  void onEntries(std::function<void()> Callback) {
    OnEntries_ = std::move(Callback);
  }
  /// Sets the load of this entry that the next heartbeats report.
  void setLoad(std::uint32_t Queued, std::vector<peer::PoolQueue> Longest);
  /// Returns the number of requests queued for each pool at the live peers, as
  /// far as their heartbeats reported it.
  std::map<PoolId, std::uint32_t> queuesElsewhere() const;
  /// Tells the peers that this entry began a planned stop.
  void beginStop();
  /// Sets the addresses with which no messages are exchanged, as a simulated
  /// network partition.
  void setBlockedAddresses(std::set<std::string> Addresses) {
    BlockedAddresses_ = std::move(Addresses);
  }

  std::vector<EntryId> zoneEntries() const;
  /// Returns the live entries of all zones that may hold control duties.
  std::vector<EntryId> dutyEntries() const;
  std::uint64_t transferredBytes() const { return TransferredBytes_; }
  std::string dump() const { return Members_.dump(Clock_.now()); }

private:
  void tick();
  void send(const std::vector<peer::Outgoing> &All);
  void readDatagrams();
  void handleHeartbeat(const peer::Heartbeat &H);
  void exchangeLeaving();
  void acceptStreams();
  void serveStream(QTcpSocket *Socket);
  QByteArray encodeViewAnswer(const peer::ViewRequest &R);
  void requestView(const EntryId &Peer, TicketNumber Since,
                   const ViewService::PeerAnswer &Done);
  void handleViewAnswer(const peer::ViewAnswer &A,
                        const ViewService::PeerAnswer &Done);
  std::string addressOf(const EntryId &Peer) const;

  PeerConfig Config_;
  peer::PeerKey Key_;
  process::Clock &Clock_;
  process::Metrics &Metrics_;
  ViewService &View_;
  FleetFeed &Feed_;
  peer::Membership Members_;
  peer::OwnState OwnState_;
  std::set<std::string> BlockedAddresses_;
  std::vector<EntryId> LastDutyEntries_;
  std::vector<EntryId> LastZoneEntries_;
  std::function<void()> OnEntries_;
  std::uint64_t TransferredBytes_ = 0;
  QUdpSocket Udp_;
  QTcpServer StreamServer_;
  QTimer TickTimer_;
};

} // namespace heathercross::daemon
