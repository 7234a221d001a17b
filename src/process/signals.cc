// Delivery of POSIX signals through Qt's event loop.
#include "process/signals.h"

#include <QSocketNotifier>

#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

namespace heathercross::process {

namespace {

/// The signal handler writes to the first socket; the event loop reads the
/// second one.
int SignalSockets[2] = {-1, -1};

/// Forwards a signal's number; only async-signal-safe calls are allowed here.
extern "C" void writeSignal(int Signal) {
  const char Byte = static_cast<char>(Signal);
  const ssize_t Written = write(SignalSockets[0], &Byte, 1);
  static_cast<void>(Written);
}

} // namespace

Signals::Signals(std::function<void()> OnStop, std::function<void()> OnReload) {
  const bool Reloads = static_cast<bool>(OnReload);
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, SignalSockets) != 0)
    return;
  auto *Notifier =
      new QSocketNotifier(SignalSockets[1], QSocketNotifier::Read, this);
  connect(Notifier, &QSocketNotifier::activated, this,
          [OnStop = std::move(OnStop), OnReload = std::move(OnReload)] {
            char Byte = 0;
            while (read(SignalSockets[1], &Byte, 1) == 1) {
              if (Byte != SIGHUP)
                OnStop();
              else if (OnReload)
                OnReload();
            }
          });
  struct sigaction Action = {};
  Action.sa_handler = &writeSignal;
  Action.sa_flags = SA_RESTART;
  sigaction(SIGTERM, &Action, nullptr);
  sigaction(SIGINT, &Action, nullptr);
  if (Reloads)
    sigaction(SIGHUP, &Action, nullptr);
  struct sigaction Ignore = {};
  Ignore.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &Ignore, nullptr);
}

} // namespace heathercross::process
