// The entry process: creates its services and connects them.
#pragma once

#include "entry/cluster-state.h"
#include "entry/duties.h"
#include "entry/front.h"
#include "entry/settings-watch.h"
#include "heathercross/kernel.h"
#include "http/http-server.h"

#include <QObject>
#include <QTimer>

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
  /// Reads the settings file again, as after a signal, and applies the
  /// addresses in it. The file is also read when it changes without a signal.
  void reload();

private:
  void listen();
  void serveReady(http::Request &&R, http::Responder &&To);
  void servePeers(http::Request &&R, http::Responder &&To);
  bool ready() const;
  void watchSettings();
  /// Applies a text of the settings file, unless it is malformed.
  void applySettings(const std::string &Text, const char *Cause);
  void checkStop();
  std::string metricsText();

  EntrySettings Settings_;
  std::string SettingsFile_;
  SettingsWatch Watch_;
  QTimer WatchTimer_;
  Kernel Kernel_;
  std::unique_ptr<Context> Context_;
  Instant StopAt_;
  bool Stopping_ = false;
  bool HandedOver_ = false;
};

} // namespace heathercross::entry
