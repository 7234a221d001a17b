// Runs one case: review-3 CASE RECORD, in the repository.
#include "world.h"

#include <QCoreApplication>

#include <cstdlib>
#include <iostream>

using namespace heathercross::review;

int main(int Argc, char **Argv) {
  const QCoreApplication Application(Argc, Argv);
  const QStringList Arguments = QCoreApplication::arguments();
  const std::map<QString, Verdict (*)(const QString &)> Cases{
      {"11", movedRoute},    {"12", refusedHandover},
      {"13", purgedJobs},    {"14", adviceForFew},
      {"15", movedHint},     {"stale-holder", staleHolder},
      {"odd-spec", oddSpec}, {"slow-advice", slowAdvice}};
  const auto It =
      Arguments.size() == 3 ? Cases.find(Arguments[1]) : Cases.end();
  if (It == Cases.end())
    return static_cast<int>(Verdict::NotRun);
  constexpr int LimitMs = 117'000;
  QTimer::singleShot(LimitMs,
                     [] { std::_Exit(static_cast<int>(Verdict::NotRun)); });
  const Verdict V = It->second(Arguments[2]);
  std::cout << (V == Verdict::Held     ? "held"
                : V == Verdict::Broken ? "broken"
                                       : "not run")
            << std::endl;
  return static_cast<int>(V);
}
