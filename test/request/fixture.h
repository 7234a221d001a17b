// Shared by the tests of the request logic: small fleets, and a harness that
// delivers events to a dispatcher and collects its effects.
#pragma once

#include "request/dispatcher.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::request::test {

inline Candidate worker(const std::string &Pool, int Number,
                        const std::string &Zone = "a") {
  return {InstanceId(Pool + "-w" + std::to_string(Number)), PoolId(Pool),
          ZoneId(Zone), RackId("rack" + std::to_string(Number / 4)), Slots{8}};
}

/// Pools p0, p1, … with workers of 8 slots each in zone a, and a single entry
/// e1.
inline Fleet smallFleet(int Pools, int WorkersEach) {
  Fleet F;
  F.ZoneEntries_ = {EntryId("e1")};
  for (int P = 0; P != Pools; ++P) {
    const std::string Name = "p" + std::to_string(P);
    F.Pools_[PoolId(Name)] = Pool{PoolId(Name)};
    for (int W = 0; W != WorkersEach; ++W)
      F.Candidates_.push_back(worker(Name, W));
  }
  return F;
}

/// Adds a spare pool with the given number of workers.
inline void addSpare(Fleet &F, int Workers) {
  F.Pools_[PoolId("spare")] = Pool{PoolId("spare"), 0, true};
  for (int W = 0; W != Workers; ++W)
    F.Candidates_.push_back(worker("spare", W));
}

inline Config config(const std::string &Entry = "e1") {
  Config C;
  C.Entry_ = EntryId(Entry);
  C.Zone_ = ZoneId("a");
  return C;
}

/// Drives a dispatcher with simulated time and collects its effects.
class DispatcherHarness {
public:
  DispatcherHarness() : Dispatcher_(config()) {}
  explicit DispatcherHarness(Fleet F, Config C = config())
      : Dispatcher_(std::move(C)) {
    deliver(FleetChanged{std::move(F)});
  }

  Dispatcher &dispatcher() { return Dispatcher_; }
  Instant now() const { return Now_; }

  /// Delivers an event and returns its effects.
  Effects deliver(const Event &E) {
    Effects Out = Dispatcher_.on(E, Now_);
    All_.insert(All_.end(), Out.begin(), Out.end());
    return Out;
  }
  /// Advances the time and delivers a Tick.
  Effects advance(Micros Time) {
    Now_ += Time;
    return deliver(Tick());
  }

  RequestSpec spec(const std::string &Name, Micros Window = Seconds(2)) const {
    RequestSpec S;
    S.Request_ = RequestId(Name);
    S.Team_ = TeamId("t");
    S.Pool_ = PoolId("p0");
    S.Digest_ = "digest-" + Name;
    S.Deadline_ = Now_ + Window;
    return S;
  }
  Effects arrive(const RequestSpec &S) { return deliver(Arrived{S}); }
  Effects arrive(const std::string &Name, Micros Window = Seconds(2)) {
    return arrive(spec(Name, Window));
  }

  /// Ends a try.
  Effects endTry(const Send &S, TryResult Result, Refusal Why = Refusal::None,
                 Micros Took = Millis(10)) {
    return deliver(
        TryEnded{S.Request_, S.Attempt_, S.Worker_, Result, Why, Took});
  }
  void report(const std::string &Worker, std::uint32_t Busy) {
    WorkerReport R;
    R.Worker_ = InstanceId(Worker);
    R.Busy_ = Slots{Busy};
    deliver(Reported{R});
  }

  /// All effects of one type so far.
  template <class T> std::vector<T> all() const { return ofType<T>(All_); }
  template <class T> static std::vector<T> ofType(const Effects &Source) {
    std::vector<T> Result;
    for (const Effect &E : Source)
      if (const auto *Match = std::get_if<T>(&E))
        Result.push_back(*Match);
    return Result;
  }
  std::optional<Answer> answer(const std::string &Request) const {
    for (const Answer &A : all<Answer>())
      if (A.Request_.str() == Request)
        return A;
    return std::nullopt;
  }

private:
  Dispatcher Dispatcher_;
  Instant Now_{Seconds(100)};
  Effects All_;
};

} // namespace heathercross::request::test
