// Read-only views of the fleet for operators, as JSON.
#pragma once

#include "daemon/fleet-feed.h"
#include "daemon/view-service.h"
#include "http/http-server.h"
#include "store/table-client.h"

#include <QJsonObject>

#include <memory>
#include <vector>

namespace heathercross::daemon {

/// Answers GET /v1/view, /v1/pools, /v1/instances and /v1/waves.
class FleetApi {
public:
  FleetApi(process::Clock &C, store::TableClient &Platform, ViewService &View,
           FleetFeed &Feed)
      : Clock_(C), Platform_(Platform), View_(View), Feed_(Feed) {}

  /// Returns this entry's current view with the version of each object.
  QJsonObject view() const;
  /// Returns each pool with its number of members and how many of them must be
  /// available.
  QJsonObject pools() const;
  QJsonObject instances() const;
  /// Reads the permits of the pools that have waves, then responds with the
  /// progress of each wave.
  void waves(http::Responder Responder);

private:
  fleet::Snapshot snapshot() const;
  void readPermits(std::vector<PoolId> Remaining,
                   const std::shared_ptr<fleet::Snapshot> &S,
                   http::Responder Responder);

  process::Clock &Clock_;
  store::TableClient &Platform_;
  ViewService &View_;
  FleetFeed &Feed_;
};

} // namespace heathercross::daemon
