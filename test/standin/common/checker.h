// Checks the guarantees of the system against the merged histories of a run.
#pragma once

#include <QJsonObject>

#include <cstdint>
#include <string>
#include <vector>

namespace heathercross::standin {

/// One event of a history file, parsed from one line.
struct HistoryEvent {
  /// Microseconds since 1970.
  std::int64_t TimeUs_ = 0;
  std::string Process_;
  std::string Kind_;
  std::string Id_;
  QJsonObject Fields_;

  std::string text(const char *Name) const;
  std::int64_t number(const char *Name) const;
};

/// The events of all processes, ordered by time.
using HistoryEvents = std::vector<HistoryEvent>;

/// Parses JSON lines. Malformed lines are skipped and counted in BadLines.
HistoryEvents parseHistory(const std::string &Text, int &BadLines);
/// Sorts merged events by time.
void sortHistory(HistoryEvents &Events);

/// The result of checking one guarantee.
struct CheckResult {
  std::string Guarantee_;
  /// Number of requests, events or rows that the check covered.
  std::int64_t Checked_ = 0;
  std::vector<std::string> Violations_;
  /// Additional figures for the report.
  std::string Note_;
};

/// The work of one idempotency key starts at most once, however often the
/// request is repeated.
CheckResult checkAtMostOnce(const HistoryEvents &Events);
/// A request that was answered as not run never starts, neither before nor
/// after the answer.
CheckResult checkNotRun(const HistoryEvents &Events);
/// A done answer is complete and belongs to the caller's own request, and the
/// work of that request ended.
CheckResult checkOwnAnswer(const HistoryEvents &Events);
/// An instance changes pool only after its work for the old pool has ended.
CheckResult checkOnePool(const HistoryEvents &Events);
/// No voluntary change takes a pool below its availability budget.
CheckResult checkAvailabilityBudget(const HistoryEvents &Events);
/// No new work reaches a worker later than 3 s after the first notice that it
/// leaves.
CheckResult checkLeaving(const HistoryEvents &Events);
/// A planned stop of an entry interrupts and refuses no request.
CheckResult checkPlannedStop(const HistoryEvents &Events);
/// Reboots interrupt no request.
CheckResult checkMaintenance(const HistoryEvents &Events);
/// Every entry in service shows a new head within 8 s and never goes back to an
/// older one.
CheckResult checkConfiguration(const HistoryEvents &Events);
/// Accepted jobs stay in the table, reach one final state and are billed at
/// most once.
CheckResult checkJobs(const HistoryEvents &Events);
/// Workers see at most 1.2 tries per request.
CheckResult checkTries(const HistoryEvents &Events);
/// At most 2% of the requests with an idempotency key end with an unknown
/// outcome.
CheckResult checkUnknownOutcomes(const HistoryEvents &Events);

/// Runs all of the checks above.
std::vector<CheckResult> checkAll(const HistoryEvents &Events);
/// Formats one line per guarantee, followed by its first violations.
std::string formatReport(const std::vector<CheckResult> &Results);
/// Returns true if there are no violations.
bool allPassed(const std::vector<CheckResult> &Results);

} // namespace heathercross::standin
