// Delivery of POSIX signals through Qt's event loop.
#pragma once

#include <QObject>

#include <functional>

namespace heathercross::process {

/// Calls OnStop from the event loop for each SIGTERM or SIGINT, and OnReload
/// for each SIGHUP. SIGHUP keeps its default action without OnReload, and
/// SIGPIPE is ignored.
class Signals : public QObject {
public:
  /// A process may have only one object of this class.
  explicit Signals(std::function<void()> OnStop,
                   std::function<void()> OnReload = nullptr);
};

} // namespace heathercross::process
