// Measures the demand for each pool and tells peers and duties of it.
#pragma once

#include "daemon/control-service.h"
#include "daemon/fleet-feed.h"
#include "daemon/peer-service.h"
#include "daemon/request-service.h"

#include <QObject>
#include <QTimer>

namespace heathercross::daemon {

/// Takes a sample now and then. Demand is soft state: it decides what is worth
/// doing, never what is allowed.
class LoadSampler : public QObject {
public:
  LoadSampler(const RequestService &Requests, const FleetFeed &Feed,
              PeerService &Peers, ControlService &Control);

  void start();

private:
  void sample();
  std::vector<peer::PoolQueue> longestQueues() const;
  /// Requests that run or wait for a pool in the whole fleet, as far as known.
  std::map<PoolId, fleet::PoolDemand> demand() const;

  const RequestService &Requests_;
  const FleetFeed &Feed_;
  PeerService &Peers_;
  ControlService &Control_;
  QTimer Timer_;
};

} // namespace heathercross::daemon
