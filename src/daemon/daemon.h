// One entry instance: its services, put together.
#pragma once

#include "heathercross/kernel.h"
#include "http/http-server.h"
#include "settings/settings.h"

#include <QObject>

#include <memory>
#include <set>
#include <string>

namespace heathercross::daemon {

/// Builds the services from checked settings, registers them with the kernel,
/// and runs the planned stop.
class Daemon : public QObject {
public:
  /// Throws when an address can't be listened on or a file can't be read.
  explicit Daemon(const settings::Settings &S);
  ~Daemon() override;

  /// The first call begins a planned stop, the second ends at once.
  void stop();
  /// Whether callers should be sent here.
  bool ready() const;

private:
  void connectServices();
  void addRoutes();
  void addTicketRoutes();
  void addJobRoutes();
  void applyCut(const std::set<std::string> &Cut);
  /// Throws NotReady.
  void requireView() const;
  void watchDrain();
  void exitNow(const char *How, std::size_t Cut);
  void sampleMetrics();
  http::Response dump() const;

  settings::Settings Settings_;
  Kernel Kernel_;
  bool Stopping_ = false;
};

} // namespace heathercross::daemon
