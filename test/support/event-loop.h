// Qt's event loop inside a test.
#pragma once

#include <cppunit/TestAssert.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

namespace heathercross::test {

/// Makes the application object, once for all tests of a program.
inline void startQt() {
  static int Argc = 1;
  static char Name[] = "test";
  static char *Argv[] = {Name, nullptr};
  static QCoreApplication App(Argc, Argv);
}

/// Runs the loop until a condition holds; fails the test when it doesn't hold
/// within a wide bound.
template <class Condition> void waitFor(Condition Holds) {
  constexpr int BoundMs = 20'000;
  QElapsedTimer Since;
  Since.start();
  bool Held = Holds();
  while (!Held && Since.elapsed() < BoundMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 50);
    Held = Holds();
  }
  CPPUNIT_ASSERT(Held);
}

/// Runs the loop for a while.
inline void runFor(int Ms) {
  QElapsedTimer Since;
  Since.start();
  while (Since.elapsed() < Ms)
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
}

} // namespace heathercross::test
