// Counts starts and ends of runs.
#include "world.h"

namespace heathercross::review {

void RunLog::add(const QString &Line) {
  const auto Field = [&](const QString &Name) {
    return Line.section(' ' + Name + '=', 1).section(' ', 0, 0);
  };
  const QString Task = Field("task");
  if (Line.startsWith("start ")) {
    ++Starts_[Task];
    if (++Running_[Task] > 1)
      Doubled_.insert(Task);
    if (Done_.contains(Task))
      AfterDone_.insert(Task);
  } else if (Line.startsWith("end ")) {
    --Running_[Task];
    if (Field("how") == "done")
      Done_.insert(Task);
    if (Field("how") == "failed")
      ++Failures_[Task];
  }
}

int RunLog::starts(const QString &Task) const {
  const auto It = Starts_.find(Task);
  return It == Starts_.end() ? 0 : It->second;
}

int RunLog::failures(const QString &Task) const {
  const auto It = Failures_.find(Task);
  return It == Failures_.end() ? 0 : It->second;
}

} // namespace heathercross::review
