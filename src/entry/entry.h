// An entry instance on the platform: its services, put together.
#pragma once

#include "entry/duties.h"
#include "entry/front.h"
#include "entry/knowledge.h"
#include "heathercross/kernel.h"
#include "http/http-server.h"

#include <QObject>

#include <memory>
#include <string>

namespace heathercross::entry {

class Entry : public QObject {
public:
  /// Throws http::ListenFailed and http::ClientSetupFailed.
  Entry(EntrySettings S, std::string SettingsFile);
  ~Entry() override;

  /// A planned stop: gives the duties back and ends when nothing is open.
  void stop();
  /// Reads the settings file again.
  void reload();

private:
  void listen();
  void serveReady(http::Request &&R, http::Responder &&To);
  void servePeers(http::Request &&R, http::Responder &&To);
  bool ready() const;
  void watchStop();
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
