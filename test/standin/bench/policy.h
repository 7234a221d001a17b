// Compares policies under rotating bursts, with real processes on loopback.
#pragma once

#include "standin/common/cluster.h"

#include <optional>
#include <string>

namespace heathercross::bench {

/// One of the two deployments, by the figures that differ here.
struct Deployment {
  const char *Name_;
  int Zones_;
  /// Mean run time of a request.
  int WorkMs_;
  int WindowMs_;
  /// Requests a second offered to each pool on average.
  double MeanRate_;
};

/// A named set of settings.
struct Policy {
  const char *Name_;
  const char *Picker_;
  const char *Overflow_;
  const char *Moves_;
  /// Pools are sized for the burst from the start.
  bool StaticBuffer_ = false;
};

/// What is disturbed in a run, and for how long it lasts.
struct PolicyRun {
  Deployment Deployment_;
  Policy Policy_;
  std::uint64_t Seed_ = 1;
  int Seconds_ = 30;
  bool RackLoss_ = false;
  bool FrozenEntry_ = false;
  bool NewEntry_ = false;
  /// Declared run times are off by up to this factor either way.
  double DeclaredSpread_ = 4;
};

/// Nothing for an unknown name.
std::optional<Deployment> findDeployment(const std::string &Name);
std::optional<Policy> findPolicy(const std::string &Name);

/// Runs it and prints its table. False when the processes don't come up.
bool runPolicy(const PolicyRun &Run);

} // namespace heathercross::bench
