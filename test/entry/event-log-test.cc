// Tests of the event log: line format, rate limit and a stalled reader.
#include "process/event-log.h"
#include "support/event-loop.h"
#include "support/story.h"

#include <QElapsedTimer>
#include <QJsonDocument>

#include <sstream>
#include <unistd.h>

using namespace heathercross;
using namespace heathercross::process;
using heathercross::test::section;
using heathercross::test::startQt;

namespace {

struct Pipe {
  int Ends_[2] = {-1, -1};
  Pipe() { CPPUNIT_ASSERT_EQUAL(0, pipe(Ends_)); }
  ~Pipe() {
    close(Ends_[0]);
    close(Ends_[1]);
  }

  std::vector<std::string> lines() const {
    std::string Text(1 << 20, '\0');
    const ssize_t Size = read(Ends_[0], Text.data(), Text.size());
    std::istringstream In(Text.substr(0, static_cast<std::size_t>(Size)));
    std::vector<std::string> Lines;
    for (std::string Line; std::getline(In, Line);)
      Lines.push_back(Line);
    return Lines;
  }
};

} // namespace

HEATHERCROSS_STORY(EventLines, "events are lines that a program can read") {
  startQt();
  const Pipe P;
  EventLog Log(P.Ends_[1]);
  section("one object a line, with time and event", [&] {
    Log.write("job-stored", {{"job", "j\n1"}, {"epoch", 3}});
    Log.flush();
    const auto Lines = P.lines();
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, Lines.size());
    const auto O = QJsonDocument::fromJson(Lines[0].c_str()).object();
    CPPUNIT_ASSERT(O["event"].toString() == "job-stored");
    CPPUNIT_ASSERT(O["job"].toString() == "j\n1" && O["t"].toDouble() > 0);
  });
  section("routine lines are limited, decisions are not", [&] {
    for (int I = 0; I < 400; ++I)
      Log.write("run-ended", {{"n", I}}, LineClass::Routine);
    CPPUNIT_ASSERT(Log.dropped() > 0);
    const auto Dropped = Log.dropped();
    for (int I = 0; I < 400; ++I)
      Log.write("job-rejected", {{"n", I}});
    CPPUNIT_ASSERT_EQUAL(Dropped, Log.dropped());
  });
}

HEATHERCROSS_STORY(StoppedReader, "a reader that has stopped blocks nothing") {
  startQt();
  const Pipe P;
  EventLog Log(P.Ends_[1]);
  QElapsedTimer Timer;
  Timer.start();
  for (int I = 0; I < 20'000; ++I) {
    Log.write("job-rejected", {{"cause", "too-much-ahead"}, {"n", I}});
    if (I % 1000 == 0)
      Log.flush();
  }
  Log.flush();
  CPPUNIT_ASSERT(Timer.elapsed() < 5000);
  CPPUNIT_ASSERT(Log.dropped() > 0);
  CPPUNIT_ASSERT(!P.lines().empty());
}
