// What a run of the load tool sends.
#pragma once

#include "standin/common/http-client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace heathercross::standin {

/// One run of the load tool. Rates are requests a second over all pools.
struct LoadOptions {
  std::vector<Endpoint> Targets_;
  std::vector<std::string> Pools_;
  std::string Token_;
  double Rate_ = 100;
  double Seconds_ = 5;
  std::size_t Connections_ = 256;
  std::size_t BodyBytes_ = 64;
  /// Shares of all requests, from 0 to 1.
  double KeyedShare_ = 0;
  double PoisonShare_ = 0;
  int WindowMs_ = 1000;
  int WorkMs_ = 0;
  /// The declared run time is off by up to this factor, up or down; 1 for
  /// declarations that are right.
  double DeclaredSpread_ = 1;
  /// Send straight to a worker's /run in place of an entry instance.
  bool Direct_ = false;
  /// Pools take turns at 5 times their mean, then at a twentieth of it.
  bool Bursts_ = false;
  double BurstSeconds_ = 4;
  /// Repeat keyed requests through other entries until the outcome is known.
  bool RepeatKeyed_ = false;
  /// Record which head each entry has in force.
  bool WatchViews_ = false;
  std::string Urgency_ = "normal";
  std::uint64_t Seed_ = 1;
  std::string Name_ = "load";
};

} // namespace heathercross::standin
