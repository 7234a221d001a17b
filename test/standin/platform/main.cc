// standin-platform: table, object store and instance list for tests.
#include "platform.h"

#include <QCoreApplication>

#include <gflags/gflags.h>

#include <iostream>

DEFINE_int32(port, 0, "port to listen on; 0 picks one");
DEFINE_int32(lag_ms, 0, "lag of the instance list, in milliseconds");
DEFINE_uint32(seed, 1, "seed for drawing faults");
DEFINE_string(history, "", "file to append the history to");

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  QCoreApplication Application(Argc, Argv);
  heathercross::standin::Platform Platform({static_cast<quint16>(FLAGS_port),
                                            FLAGS_lag_ms, FLAGS_seed,
                                            FLAGS_history});
  if (!Platform.start()) {
    std::cerr << "standin-platform: can't listen or open the history\n";
    return 1;
  }
  std::cout << "port " << Platform.port() << std::endl;
  return QCoreApplication::exec();
}
