// What the proof scenarios share: the seed, and the verdict at their end.
#pragma once

#include "standin/common/cluster.h"
#include "support/story.h"

#include <QString>

#include <cstdlib>
#include <iostream>
#include <set>
#include <string>

namespace heathercross::test {

/// The seed of this run; HEATHERCROSS_SEED gives another.
inline std::uint64_t seed() {
  const char *Text = std::getenv("HEATHERCROSS_SEED");
  return Text ? std::strtoull(Text, nullptr, 10) : 20261204;
}

/// Options of a cluster with this run's seed, which is printed.
inline standin::ClusterOptions seeded() {
  standin::ClusterOptions Options;
  Options.Seed_ = seed();
  std::cout << "\nseed " << Options.Seed_ << std::endl;
  return Options;
}

/// Starts a cluster with one pool; fails the story when it doesn't come up.
inline void bringUp(standin::Cluster &C, const std::string &Pool, int Size,
                    int MinAvailable) {
  CPPUNIT_ASSERT_MESSAGE("the processes start", C.start());
  CPPUNIT_ASSERT_MESSAGE("the pool fills",
                         C.makePool(Pool, Size, MinAvailable));
}

/// Judges every promise, prints the verdict, and fails on any violation. Each
/// promise that is named must have been checked on something.
inline void judge(const standin::Cluster &C,
                  const std::set<std::string> &Named) {
  const auto Judgements = standin::judgeAll(C.history());
  const std::string Report = standin::report(Judgements);
  std::cout << Report << std::flush;
  CPPUNIT_ASSERT_MESSAGE(Report, standin::allHold(Judgements));
  for (const standin::Judgement &J : Judgements)
    if (Named.contains(J.Promise_))
      CPPUNIT_ASSERT_MESSAGE(J.Promise_ + " was checked on nothing",
                             J.Checked_ > 0);
}

/// A figure of the load tool's summary.
inline int figure(const QJsonObject &Summary, const char *Name) {
  return Summary[QLatin1String(Name)].toInt();
}

/// Requests that ended with an outcome, whatever the reason.
inline int ended(const QJsonObject &Summary, const std::string &Outcome) {
  int Count = 0;
  const QJsonObject Outcomes = Summary["outcomes"].toObject();
  for (auto At = Outcomes.begin(); At != Outcomes.end(); ++At)
    if (At.key().toStdString().starts_with(Outcome + '/'))
      Count += At.value().toInt();
  return Count;
}

} // namespace heathercross::test
