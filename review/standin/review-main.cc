// review-deployment CASE TROUBLE RECORD: plays a case against entry processes.
#include "review-scenarios.h"

#include <QCoreApplication>
#include <QFile>

#include <iostream>

int main(int Argc, char **Argv) {
  QCoreApplication Application(Argc, Argv);
  const QStringList Arguments = QCoreApplication::arguments();
  if (Arguments.size() != 4) {
    std::cerr << "review-deployment CASE TROUBLE RECORD\n";
    return 2;
  }
  QFile::remove(Arguments[3]);
  return static_cast<int>(heathercross::review::play(
      Arguments[1], Arguments[2] != "0", Arguments[3]));
}
