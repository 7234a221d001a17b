// Commands on maintenance waves. Every change is submitted as a ticket.
#include "cli/command.h"
#include "cli/errors.h"
#include "cli/flags.h"
#include "cli/ticket-change.h"

namespace heathercross::cli {

namespace {

const Columns WaveColumns{"name", "pool", "mode"};
const Columns StatusColumns{"name", "pool",        "state",
                            "done", "in_progress", "total"};

ExitCode list(Session &S, const Arguments &) {
  S.printRows("waves", arrayField(S.get("/v1/view"), "waves"), WaveColumns);
  return ExitCode::Done;
}

/// Returns whether a report is of the named wave; without a name, all are.
bool matchesName(const QJsonValue &Report, const Arguments &A) {
  return A.empty() || nameOf("wave", Report.toObject()) == A[0];
}

ExitCode status(Session &S, const Arguments &A) {
  QJsonArray Rows;
  for (const auto &Report : arrayField(S.get("/v1/waves"), "waves"))
    if (matchesName(Report, A))
      Rows.append(Report);
  if (Rows.isEmpty() && !A.empty())
    raise(CallFailed(ExitCode::Refused, "no-such-wave",
                     "no wave is named " + A[0]));
  S.printRows("waves", Rows, StatusColumns);
  return ExitCode::Done;
}

ExitCode create(Session &S, const Arguments &A) {
  const QJsonObject Wave{
      {"name", QString::fromStdString(A[0])},
      {"pool", QString::fromStdString(A[1])},
      {"mode", "running"},
      {"drain_limit_ms", static_cast<qint64>(FLAGS_drain_limit_ms)}};
  return submitChange(S, CurrentView(S), "wave", Wave);
}

/// Submits a ticket that changes only the mode of a wave.
ExitCode changeMode(Session &S, const Arguments &A, const char *Mode) {
  const CurrentView View(S);
  QJsonObject Wave = View.find("wave", A[0]);
  if (Wave.isEmpty())
    raise(CallFailed(ExitCode::Refused, "no-such-wave",
                     "no wave is named " + A[0]));
  Wave["mode"] = Mode;
  return submitChange(S, View, "wave", Wave);
}

ExitCode pause(Session &S, const Arguments &A) {
  return changeMode(S, A, "paused");
}

ExitCode resume(Session &S, const Arguments &A) {
  return changeMode(S, A, "running");
}

ExitCode abort(Session &S, const Arguments &A) {
  return changeMode(S, A, "aborted");
}

} // namespace

CommandList waveCommands() {
  return {
      {"wave",
       "list",
       "",
       0,
       0,
       "Lists the waves of the view in force.",
       "heathercross wave list",
       {},
       list},
      {"wave",
       "status",
       "[NAME]",
       0,
       1,
       "Shows how far waves have advanced.",
       "heathercross wave status kernel-6-12",
       {},
       status},
      {"wave",
       "create",
       "NAME POOL",
       2,
       2,
       "Submits a ticket for a wave over a pool.",
       "heathercross wave create kernel-6-12 quotes --ticket 13",
       {"ticket", "drain_limit_ms"},
       create},
      {"wave",
       "pause",
       "NAME",
       1,
       1,
       "Submits a ticket that pauses a wave.",
       "heathercross wave pause kernel-6-12",
       {"ticket"},
       pause},
      {"wave",
       "resume",
       "NAME",
       1,
       1,
       "Submits a ticket that resumes a wave.",
       "heathercross wave resume kernel-6-12",
       {"ticket"},
       resume},
      {"wave",
       "abort",
       "NAME",
       1,
       1,
       "Submits a ticket that aborts a wave.",
       "heathercross wave abort kernel-6-12",
       {"ticket"},
       abort},
  };
}

} // namespace heathercross::cli
