// standin-worker: simulates workers in one process, each on its own port.
#include "worker.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <iostream>
#include <memory>
#include <string>
#include <vector>

DEFINE_string(platform, "", "IP:PORT of the platform; empty for none");
DEFINE_int32(first_port, 0, "port of the first worker; 0 picks free ones");
DEFINE_int32(count, 1, "number of workers");
DEFINE_string(zone, "a", "availability zone of the workers");
DEFINE_int32(rack_size, 4, "workers per rack");
DEFINE_int32(slots, 8, "requests and tasks that a worker runs in parallel");
DEFINE_int32(connections, 64, "connections that a worker accepts");
DEFINE_string(name_prefix, "w", "workers are named PREFIX-ZONE-NUMBER");
DEFINE_int32(reboot_ms, 2000, "duration of a reboot, in milliseconds");
DEFINE_int32(clock_spread_ms, 5000,
             "the workers' clocks differ by up to this, in milliseconds");
DEFINE_string(history, "", "file to append the history to");

using namespace heathercross::standin;

namespace {

WorkerOptions makeOptions(int Index) {
  WorkerOptions O;
  O.Name_ = FLAGS_name_prefix + '-' + FLAGS_zone + '-' + std::to_string(Index);
  O.Zone_ = FLAGS_zone;
  // The label of a rack in a registration: a letter followed by digits.
  O.Rack_ =
      "r" +
      std::to_string(std::hash<std::string>()(FLAGS_name_prefix + FLAGS_zone) %
                     1000) +
      '-' + std::to_string(Index / FLAGS_rack_size);
  O.Port_ = FLAGS_first_port == 0
                ? quint16{0}
                : static_cast<quint16>(FLAGS_first_port + Index);
  O.Slots_ = static_cast<std::size_t>(FLAGS_slots);
  O.Connections_ = static_cast<std::size_t>(FLAGS_connections);
  O.RebootMs_ = FLAGS_reboot_ms;
  const int Spread = 2 * FLAGS_clock_spread_ms + 1;
  O.ClockOffsetMs_ = Index * 7919 % Spread - FLAGS_clock_spread_ms;
  O.Platform_ = parseEndpoint(FLAGS_platform);
  return O;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  QCoreApplication Application(Argc, Argv);
  HistoryFile History;
  if (!History.open(FLAGS_history)) {
    std::cerr << "standin-worker: can't open the history\n";
    return 1;
  }
  std::vector<std::unique_ptr<Worker>> Workers;
  for (int Index = 0; Index < FLAGS_count; ++Index) {
    Workers.push_back(std::make_unique<Worker>(makeOptions(Index), History));
    if (!Workers.back()->start()) {
      std::cerr << "standin-worker: can't listen for worker " << Index << '\n';
      return 1;
    }
    std::cout << "port " << Workers.back()->port() << '\n';
  }
  std::cout << "ready" << std::endl;
  return QCoreApplication::exec();
}
