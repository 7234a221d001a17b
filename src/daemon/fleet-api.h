// What operators read of the fleet, as JSON.
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

  /// The view in force here, with the version of each object.
  QJsonObject view() const;
  /// Each pool with how many of its instances are available.
  QJsonObject pools() const;
  QJsonObject instances() const;
  /// Reads the permits of the pools that have waves, then answers with how far
  /// each wave has come.
  void waves(http::Responder To);

private:
  fleet::Snapshot snapshot() const;
  void readPermits(std::vector<PoolId> Remaining,
                   const std::shared_ptr<fleet::Snapshot> &S,
                   http::Responder To);

  process::Clock &Clock_;
  store::TableClient &Platform_;
  ViewService &View_;
  FleetFeed &Feed_;
};

} // namespace heathercross::daemon
