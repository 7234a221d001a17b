// standin-check: checks the guarantees of the system against the merged
// histories of a run.
#include "standin/common/checker.h"

#include <fstream>
#include <iostream>
#include <sstream>

using namespace heathercross::standin;

int main(int Argc, char **Argv) {
  if (Argc < 2) {
    std::cerr << "usage: standin-check HISTORY...\n";
    return 2;
  }
  HistoryEvents All;
  int BadLines = 0;
  for (int I = 1; I < Argc; ++I) {
    std::ifstream Stream(Argv[I]);
    if (!Stream) {
      std::cerr << "standin-check: can't read " << Argv[I] << '\n';
      return 2;
    }
    std::ostringstream Text;
    Text << Stream.rdbuf();
    HistoryEvents Events = parseHistory(Text.str(), BadLines);
    All.insert(All.end(), std::make_move_iterator(Events.begin()),
               std::make_move_iterator(Events.end()));
  }
  sortHistory(All);
  const auto Results = checkAll(All);
  std::cout << "events " << All.size() << ", lines skipped " << BadLines << '\n'
            << formatReport(Results);
  return allPassed(Results) ? 0 : 1;
}
