// Signals as events of the event loop.
#pragma once

#include <QObject>

#include <functional>

namespace heathercross::process {

/// Calls a handler in the event loop for each SIGTERM or SIGINT, and another
/// one for each SIGHUP.
class Signals : public QObject {
public:
  /// There is one object of this class in a process.
  explicit Signals(std::function<void()> OnStop,
                   std::function<void()> OnReload = nullptr);
};

} // namespace heathercross::process
