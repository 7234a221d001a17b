// Signals as events of the event loop.
#pragma once

#include <QObject>

#include <functional>

namespace heathercross::daemon {

/// Calls a handler in the event loop for each SIGTERM or SIGINT.
class Signals : public QObject {
public:
  /// There is one object of this class in a process.
  explicit Signals(std::function<void()> OnStop);
};

} // namespace heathercross::daemon
