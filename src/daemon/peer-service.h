// Datagrams and streams between entry instances.
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
  peer::Self Self_;
  std::vector<std::string> Seeds_;
  std::uint64_t Seed_ = 1;
  peer::MembershipSettings Membership_;
};

/// Carries heartbeats as datagrams and view rows as frames on a stream, both
/// signed. Everything it brings is soft state.
class PeerService : public QObject {
public:
  PeerService(PeerConfig Config, peer::PeerKey Key, process::Clock &C,
              process::Metrics &M, ViewService &View, FleetFeed &Feed);

  /// Throws http::ListenFailed.
  void listen(const QHostAddress &Address, std::uint16_t Port);
  /// Runs when the live entries may have changed.
  void onEntries(std::function<void()> Done) { OnEntries_ = std::move(Done); }
  /// What the next heartbeats say of this entry's load.
  void setLoad(std::uint32_t Queued, std::vector<peer::PoolQueue> Longest);
  /// The requests that wait for each pool at the other entries, as far as they
  /// told.
  std::map<PoolId, std::uint32_t> queuesElsewhere() const;
  /// Tells peers that a planned stop began.
  void beginStop();
  /// Addresses to which nothing is sent and from which nothing is taken.
  void setCut(std::set<std::string> Addresses) { Cut_ = std::move(Addresses); }

  std::vector<EntryId> zoneEntries() const;
  /// The live entries of all zones that may do control duties.
  std::vector<EntryId> dutyEntries() const;
  std::uint64_t bytes() const { return Bytes_; }
  std::string dump() const { return Members_.dump(Clock_.now()); }

private:
  void tick();
  void send(const std::vector<peer::Outgoing> &All);
  void readDatagrams();
  void take(const peer::Heartbeat &H);
  void spreadLeaving();
  void accept();
  void serve(QTcpSocket *Socket);
  QByteArray answerTo(const peer::ViewRequest &R);
  void ask(const EntryId &Peer, TicketNumber Since,
           const ViewService::PeerAnswer &Done);
  void takeAnswer(const peer::ViewAnswer &A,
                  const ViewService::PeerAnswer &Done);
  std::string addressOf(const EntryId &Peer) const;

  PeerConfig Config_;
  peer::PeerKey Key_;
  process::Clock &Clock_;
  process::Metrics &Metrics_;
  ViewService &View_;
  FleetFeed &Feed_;
  peer::Membership Members_;
  peer::OwnState Own_;
  std::set<std::string> Cut_;
  std::vector<EntryId> LastDuty_;
  std::vector<EntryId> LastZone_;
  std::function<void()> OnEntries_;
  std::uint64_t Bytes_ = 0;
  QUdpSocket Udp_;
  QTcpServer Streams_;
  QTimer Tick_;
};

} // namespace heathercross::daemon
