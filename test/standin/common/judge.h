// Judges the promises of the system from the merged histories of a run.
#pragma once

#include <QJsonObject>

#include <cstdint>
#include <string>
#include <vector>

namespace heathercross::standin {

/// One line of a history.
struct HistoryEvent {
  /// Microseconds since 1970.
  std::int64_t At_ = 0;
  std::string Process_;
  std::string Kind_;
  std::string Id_;
  QJsonObject Fields_;

  std::string text(const char *Name) const;
  std::int64_t number(const char *Name) const;
};

/// The events of all processes, in order of time.
using HistoryEvents = std::vector<HistoryEvent>;

/// Reads JSON lines; lines that aren't whole are counted and passed over.
HistoryEvents parseHistory(const std::string &Text, int &BadLines);
/// Puts merged events in order of time.
void sortHistory(HistoryEvents &Events);

/// What was found about one promise.
struct Judgement {
  std::string Promise_;
  /// How many things the promise was checked on.
  std::int64_t Checked_ = 0;
  std::vector<std::string> Violations_;
  /// Figures that aren't violations.
  std::string Note_;
};

/// The work of one key starts at most once, whatever repeats it.
Judgement judgeAtMostOnce(const HistoryEvents &Events);
/// What was answered as not run never started, before or after.
Judgement judgeNotRun(const HistoryEvents &Events);
/// A done answer is whole and the caller's own, and its work did end.
Judgement judgeOwnAnswer(const HistoryEvents &Events);
/// An instance changes pool only when its old work has ended, and no
/// voluntary change takes a pool below its budget.
Judgement judgeOnePool(const HistoryEvents &Events);
Judgement judgeBudget(const HistoryEvents &Events);
/// No new work is sent 3 s after the first word that a worker leaves.
Judgement judgeLeaving(const HistoryEvents &Events);
/// An entry that was asked to stop cuts no request and refuses none.
Judgement judgePlannedStop(const HistoryEvents &Events);
/// Reboots cut no request.
Judgement judgeMaintenance(const HistoryEvents &Events);
/// Every entry in service shows a new head within 8 s and never an older one.
Judgement judgeConfiguration(const HistoryEvents &Events);
/// Accepted jobs stay in the table, end once and are billed at most once.
Judgement judgeJobs(const HistoryEvents &Events);
/// Tries that workers see stay under 1.2 times the requests.
Judgement judgeTries(const HistoryEvents &Events);
/// Keyed requests that ended as unknown stay under a fiftieth.
Judgement judgeUnknown(const HistoryEvents &Events);

/// All of the above.
std::vector<Judgement> judgeAll(const HistoryEvents &Events);
/// One line a promise, and a line for each of the first violations.
std::string report(const std::vector<Judgement> &Judgements);
/// True when no promise was broken.
bool allHold(const std::vector<Judgement> &Judgements);

} // namespace heathercross::standin
