// Checks a configuration before it is sent, and compares it with the one in
// force.
#pragma once

#include "schedule/configuration.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace heathercross::schedule {

/// What the document of a configuration lists, including entries that are left
/// out because they can't be read.
struct ListedEntries {
  std::size_t Routes_ = 0;
  std::size_t Pools_ = 0;
  std::size_t Accounts_ = 0;
  /// Routes that allow no attempt of a task; they count as allowing one.
  std::vector<QueueId> WithoutAttempts_;
};

/// A problem or a difference of one entry. The text never contains a key.
struct ConfigurationFinding {
  /// The kind of entry and its name, such as "route quotes".
  std::string Entry_;
  std::string Text_;
  bool operator==(const ConfigurationFinding &) const = default;
};

/// Returns entries that were left out, that can never apply, or whose limits
/// contradict each other. LargestTask is what the largest task needs, if known.
std::vector<ConfigurationFinding>
findProblems(const Configuration &C, const ListedEntries &Listed,
             const std::optional<Resources> &LargestTask);

/// Returns what differs from the configuration in force.
std::vector<ConfigurationFinding> findChanges(const Configuration &New,
                                              const Configuration &Current);

/// Whether entries would use the new configuration in place of the current one.
bool replaces(const Configuration &New, const Configuration &Current);

} // namespace heathercross::schedule
