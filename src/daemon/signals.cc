// Signals as events of the event loop.
#include "daemon/signals.h"

#include <QSocketNotifier>

#include <csignal>
#include <sys/socket.h>
#include <unistd.h>

namespace heathercross::daemon {

namespace {

int SignalPipe[2] = {-1, -1};

extern "C" void writeSignal(int) {
  const char Byte = 1;
  const ssize_t Written = write(SignalPipe[0], &Byte, 1);
  static_cast<void>(Written);
}

} // namespace

Signals::Signals(std::function<void()> OnStop) {
  if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, SignalPipe) != 0)
    return;
  auto *Notifier =
      new QSocketNotifier(SignalPipe[1], QSocketNotifier::Read, this);
  connect(Notifier, &QSocketNotifier::activated, this,
          [OnStop = std::move(OnStop)] {
            char Byte = 0;
            while (read(SignalPipe[1], &Byte, 1) == 1)
              OnStop();
          });
  struct sigaction Action = {};
  Action.sa_handler = &writeSignal;
  Action.sa_flags = SA_RESTART;
  sigaction(SIGTERM, &Action, nullptr);
  sigaction(SIGINT, &Action, nullptr);
  struct sigaction Ignore = {};
  Ignore.sa_handler = SIG_IGN;
  sigaction(SIGPIPE, &Ignore, nullptr);
}

} // namespace heathercross::daemon
