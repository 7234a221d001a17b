// The entry process: creates its services and connects them.
#pragma once

#include "entry/cluster-state.h"
#include "entry/duties.h"
#include "entry/front.h"
#include "heathercross/kernel.h"
#include "http/http-server.h"

#include <QObject>

#include <memory>
#include <string>

namespace heathercross::entry {

/// Owns the services of an entry instance and its three servers: for callers,
/// the load balancer and other entries.
class Entry : public QObject {
public:
  /// Throws http::ListenFailed and http::ClientSetupFailed.
  Entry(EntrySettings S, std::string SettingsFile);
  ~Entry() override;

  /// Planned stop: gives the duties back and exits once no request is pending.
  void stop();
  /// Reads the settings file again; only the address of the placement service
  /// is applied.
  void reload();

private:
  void listen();
  void serveReady(http::Request &&R, http::Responder &&To);
  void servePeers(http::Request &&R, http::Responder &&To);
  bool ready() const;
  void checkStop();
  std::string metricsText();

  EntrySettings Settings_;
  std::string SettingsFile_;
  Kernel Kernel_;
  std::unique_ptr<Context> Context_;
  Instant StopAt_;
  bool Stopping_ = false;
  bool HandedOver_ = false;
};

} // namespace heathercross::entry
