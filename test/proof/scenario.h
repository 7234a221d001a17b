// Helpers of the end-to-end scenarios: the random seed, cluster start-up, and
// the check of the recorded history at the end.
#pragma once

#include "standin/common/cluster.h"
#include "support/story.h"

#include <QString>

#include <cstdlib>
#include <iostream>
#include <set>
#include <string>

namespace heathercross::test {

/// Returns the random seed of this run, which HEATHERCROSS_SEED overrides.
inline std::uint64_t runSeed() {
  const char *Value = std::getenv("HEATHERCROSS_SEED");
  return Value ? std::strtoull(Value, nullptr, 10) : 20261204;
}

/// Returns cluster options with this run's seed, and prints the seed.
inline standin::ClusterOptions seededOptions() {
  standin::ClusterOptions Options;
  Options.Seed_ = runSeed();
  std::cout << "\nseed " << Options.Seed_ << std::endl;
  return Options;
}

/// Starts a cluster with one pool; fails the test if a process doesn't start or
/// the pool doesn't reach its size.
inline void startCluster(standin::Cluster &C, const std::string &PoolName,
                         int PoolSize, int MinAvailable) {
  CPPUNIT_ASSERT_MESSAGE("the processes start", C.start());
  CPPUNIT_ASSERT_MESSAGE("the pool fills",
                         C.createPool(PoolName, PoolSize, MinAvailable));
}

/// Runs every check on the recorded history, prints the report, and fails on
/// any violation. Each check in MustBeChecked must have found at least one
/// event to check, so that a scenario can't pass without exercising it.
inline void expectNoViolations(const standin::Cluster &C,
                               const std::set<std::string> &MustBeChecked) {
  const auto Results = standin::checkAll(C.history());
  const std::string Report = standin::formatReport(Results);
  std::cout << Report << std::flush;
  CPPUNIT_ASSERT_MESSAGE(Report, standin::allPassed(Results));
  for (const standin::CheckResult &Result : Results)
    if (MustBeChecked.contains(Result.Guarantee_))
      CPPUNIT_ASSERT_MESSAGE(Result.Guarantee_ + " was checked on nothing",
                             Result.Checked_ > 0);
}

/// Returns one count from the load tool's summary.
inline int summaryCount(const QJsonObject &Summary, const char *Name) {
  return Summary[QLatin1String(Name)].toInt();
}

/// Counts the requests with an outcome, whatever reason follows it after the
/// slash.
inline int countOutcomes(const QJsonObject &Summary,
                         const std::string &Outcome) {
  int Count = 0;
  const QJsonObject Outcomes = Summary["outcomes"].toObject();
  for (auto Item = Outcomes.begin(); Item != Outcomes.end(); ++Item)
    if (Item.key().toStdString().starts_with(Outcome + '/'))
      Count += Item.value().toInt();
  return Count;
}

} // namespace heathercross::test
