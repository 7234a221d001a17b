// The options of the load generator.
#pragma once

#include "standin/common/http-client.h"

#include <cstdint>
#include <string>
#include <vector>

namespace heathercross::standin {

/// The options of one run. Rates are requests per second over all pools.
struct LoadOptions {
  std::vector<Endpoint> Targets_;
  std::vector<std::string> Pools_;
  std::string Token_;
  double Rate_ = 100;
  double Seconds_ = 5;
  std::size_t Connections_ = 256;
  std::size_t BodyBytes_ = 64;
  /// Fractions of all requests.
  double KeyedShare_ = 0;
  double PoisonShare_ = 0;
  int WindowMs_ = 1000;
  int WorkMs_ = 0;
  /// Maximum factor between declared and actual run time, in either direction;
  /// 1 means exact declarations.
  double DeclaredSpread_ = 1;
  /// Send directly to the /run of workers instead of entry instances.
  bool Direct_ = false;
  /// Pools take turns at 5 times their mean rate, followed by 1/20 of it.
  bool Bursts_ = false;
  double BurstSeconds_ = 4;
  /// Repeat requests with an idempotency key through other entries until their
  /// outcome is known.
  bool RepeatKeyed_ = false;
  /// Record the head that each entry shows.
  bool WatchViews_ = false;
  std::string Urgency_ = "normal";
  std::uint64_t Seed_ = 1;
  std::string Name_ = "load";
};

} // namespace heathercross::standin
