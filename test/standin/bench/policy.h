// Measures a policy under rotating bursts, with real processes on loopback.
#pragma once

#include "standin/common/cluster.h"

#include <optional>
#include <string>

namespace heathercross::bench {

/// A deployment, reduced to the figures that matter for the benchmark.
struct Deployment {
  const char *Name_;
  int Zones_;
  /// Mean run time of a request.
  int WorkMs_;
  int WindowMs_;
  /// Mean number of requests per second offered to each pool.
  double MeanRate_;
};

/// A policy under test: its name and settings.
struct Policy {
  const char *Name_;
  const char *Picker_;
  const char *Overflow_;
  const char *Moves_;
  /// Whether pools are sized for the burst from the start.
  bool StaticBuffer_ = false;
};

/// The parameters of a run, including the faults to inject.
struct PolicyRun {
  Deployment Deployment_;
  Policy Policy_;
  std::uint64_t Seed_ = 1;
  int Seconds_ = 30;
  bool RackLoss_ = false;
  bool FrozenEntry_ = false;
  bool NewEntry_ = false;
  /// Maximum factor between declared and actual run time, in either direction.
  double DeclaredSpread_ = 4;
};

/// Return nothing if the name is unknown.
std::optional<Deployment> findDeployment(const std::string &Name);
std::optional<Policy> findPolicy(const std::string &Name);

/// Runs a policy and prints its table. Returns false if the processes don't
/// start.
bool runPolicy(const PolicyRun &Run);

} // namespace heathercross::bench
