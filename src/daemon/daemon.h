// Creates and connects the services of one entry instance.
#pragma once

#include "heathercross/kernel.h"
#include "http/http-server.h"
#include "settings/settings.h"

#include <QObject>

#include <memory>
#include <set>
#include <string>

namespace heathercross::daemon {

/// Creates the services from validated settings, registers them with the
/// kernel, and performs the planned stop.
class Daemon : public QObject {
public:
  /// Throws if an address cannot be listened on or a file cannot be read.
  explicit Daemon(const settings::Settings &S);
  ~Daemon() override;

  /// The first call begins a planned stop; a second call exits immediately.
  void stop();
  /// Whether a load balancer may send callers here.
  bool ready() const;

private:
  void connectServices();
  void addRoutes();
  void addTicketRoutes();
  void addJobRoutes();
  void applyNetworkPartition(const std::set<std::string> &BlockedAddresses);
  /// Throws NotReady until the view and the instance rows were read.
  void requireView() const;
  void startDrain();
  /// Exits with status 0, or 1 if requests were left without a response.
  void exitNow(const char *Cause, std::size_t Unanswered);
  void sampleMetrics();
  http::Response dump() const;

  settings::Settings Settings_;
  Kernel Kernel_;
  bool Stopping_ = false;
};

} // namespace heathercross::daemon
