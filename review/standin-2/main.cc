// Plays one scripted case of the second review: review-case CASE DAEMON FOLDER
// RECORD. TROUBLE=0 in the environment leaves the disruption out. Exits with 1
// if the rule was broken, 0 if it held, and 2 if the case couldn't run.
#include "cases.h"

#include <QCoreApplication>

#include <functional>
#include <iostream>
#include <map>

using namespace heathercross;
using namespace heathercross::review;

int main(int Count, char **Arguments) {
  const QCoreApplication App(Count, Arguments);
  const QStringList Words = QCoreApplication::arguments();
  const std::map<QString, std::function<Verdict(Deployment &, bool)>> Cases{
      {"route-removed", playRouteRemoved},
      {"last-route-removed", playLastRouteRemoved},
      {"rolling-restart", playRollingRestart},
      {"cut-holder", playCutHolder},
      {"takeover", playTakeover},
      {"gang", playGang},
      {"late-upkeep", playLateUpkeep},
      {"other-kind", playOtherKind},
      {"long-schedules", playLongSchedules},
  };
  constexpr int WordCount = 5;
  if (Words.size() != WordCount || !Cases.contains(Words[1])) {
    std::cerr << "usage: review-case CASE DAEMON FOLDER RECORD\n";
    return static_cast<int>(Verdict::CannotTell);
  }
  const bool Disrupted = qgetenv("TROUBLE") != "0";
  Verdict V = Verdict::CannotTell;
  try {
    Deployment D({Words[2], Words[3], Words[4]});
    try {
      V = Cases.at(Words[1])(D, Disrupted);
    } catch (const CannotRun &E) {
      D.record(std::string("can't run: ") + E.what());
    }
  } catch (const std::exception &E) {
    std::cerr << E.what() << "\n";
  }
  std::cout << (V == Verdict::Broken ? "broken"
                : V == Verdict::Held ? "held"
                                     : "could not run")
            << "\n";
  return static_cast<int>(V);
}
