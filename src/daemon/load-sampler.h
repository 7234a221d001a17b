// Samples the demand for each pool and passes it to the peers and the duties.
#pragma once

#include "daemon/control-service.h"
#include "daemon/fleet-feed.h"
#include "daemon/peer-service.h"
#include "daemon/request-service.h"

#include <QObject>
#include <QTimer>

namespace heathercross::daemon {

/// Samples the demand periodically. Demand is soft state: it influences which
/// actions are chosen, never which are allowed.
class LoadSampler : public QObject {
public:
  LoadSampler(const RequestService &Requests, const FleetFeed &Feed,
              PeerService &Peers, ControlService &Control);

  void start();

private:
  void sample();
  std::vector<peer::PoolQueue> longestQueues() const;
  /// Returns the running and queued requests of each pool in the whole fleet,
  /// as far as this entry knows them.
  std::map<PoolId, fleet::PoolDemand> demand() const;

  const RequestService &Requests_;
  const FleetFeed &Feed_;
  PeerService &Peers_;
  ControlService &Control_;
  QTimer Timer_;
};

} // namespace heathercross::daemon
