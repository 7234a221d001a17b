// Runs Qt's event loop inside a test.
#pragma once

#include <cppunit/TestAssert.h>

#include <QCoreApplication>
#include <QElapsedTimer>
#include <QEventLoop>

namespace heathercross::test {

/// Creates the QCoreApplication that all tests of a program share.
inline void startQt() {
  static int Argc = 1;
  static char Name[] = "test";
  static char *Argv[] = {Name, nullptr};
  static QCoreApplication Application(Argc, Argv);
}

/// Runs the event loop until a condition holds; fails the test after 20 s.
template <class Condition> void waitFor(Condition Holds) {
  constexpr int TimeoutMs = 20'000;
  QElapsedTimer Timer;
  Timer.start();
  bool Satisfied = Holds();
  while (!Satisfied && Timer.elapsed() < TimeoutMs) {
    QCoreApplication::processEvents(QEventLoop::AllEvents, 50);
    Satisfied = Holds();
  }
  CPPUNIT_ASSERT(Satisfied);
}

/// Runs the event loop for a number of milliseconds.
inline void runFor(int Ms) {
  QElapsedTimer Timer;
  Timer.start();
  while (Timer.elapsed() < Ms)
    QCoreApplication::processEvents(QEventLoop::AllEvents, 10);
}

} // namespace heathercross::test
