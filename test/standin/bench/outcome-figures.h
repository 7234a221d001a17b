// Computes the figures of a policy run from the histories of its processes.
#pragma once

#include "standin/common/checker.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heathercross::bench {

/// Outcomes and latencies of the requests of one load generator.
struct OutcomeFigures {
  std::int64_t Requests_ = 0;
  /// Requests done exactly once, with the correct answer, within the window.
  std::int64_t Good_ = 0;
  /// Requests done whose work was not completed exactly once.
  std::int64_t NotExactlyOnce_ = 0;
  /// Number of requests that aren't done, by "outcome/reason".
  std::map<std::string, std::int64_t> NotDone_;
  /// Latency minus the run time of the work, for requests that are done.
  std::vector<std::int64_t> WaitsUs_;
  /// The same, by the port of the entry that answered the last try.
  std::map<std::int64_t, std::vector<std::int64_t>> WaitsByEntryUs_;
  /// Number of requests and of good requests, by port of the entry.
  std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>>
      RequestsByEntry_;
};

/// Computes the figures of the load generator with this name, whose requests
/// run for WorkMs.
OutcomeFigures computeFigures(const standin::HistoryEvents &Events,
                              const std::string &Load, int WorkMs);

/// Counts the refusals that workers recorded.
std::int64_t countRefusals(const standin::HistoryEvents &Events);

/// Returns the quantile Q of the values; 0 if there are none.
std::int64_t quantile(std::vector<std::int64_t> Values, double Q);

/// Returns the difference between the largest and the smallest fraction of good
/// requests of any entry.
double fairnessGap(const OutcomeFigures &F);

} // namespace heathercross::bench
