// Works out the figures of a policy run from the histories of its processes.
#pragma once

#include "standin/common/judge.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace heathercross::bench {

/// What one load's requests came to.
struct OutcomeFigures {
  std::int64_t Requests_ = 0;
  /// Done once, with the own answer, within the window.
  std::int64_t Good_ = 0;
  /// Done, but the work ran to its end more than once.
  std::int64_t Twice_ = 0;
  /// Requests that aren't done, by "outcome/reason".
  std::map<std::string, std::int64_t> NotDone_;
  /// Time beyond the work's own run time, of those that are done.
  std::vector<std::int64_t> WaitsUs_;
  /// The same by entry (port of the last try).
  std::map<std::int64_t, std::vector<std::int64_t>> ByEntry_;
  /// Requests by entry and good ones by entry.
  std::map<std::int64_t, std::pair<std::int64_t, std::int64_t>> GoodByEntry_;
};

/// The figures of the load with this name, whose requests run WorkMs.
OutcomeFigures figuresOf(const standin::HistoryEvents &Events,
                         const std::string &Load, int WorkMs);

/// How often workers refused, by their own histories.
std::int64_t refusals(const standin::HistoryEvents &Events);

/// The value below which a share Q of the values lies; 0 for none.
std::int64_t quantile(std::vector<std::int64_t> Values, double Q);

/// The difference between the best and the worst entry's share of good
/// requests.
double unfairness(const OutcomeFigures &F);

} // namespace heathercross::bench
