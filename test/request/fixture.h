// What the tests of the request decisions share: a fleet and a desk at which
// events are given and effects are read.
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

/// Pools p0, p1, … with workers of 8 slots each in zone a; entry e1 alone.
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

/// Adds the spare pool.
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

/// A dispatcher with the time and the effects so far.
class Desk {
public:
  Desk() : Dispatcher_(config()) {}
  explicit Desk(Fleet F, Config C = config()) : Dispatcher_(std::move(C)) {
    give(FleetChanged{std::move(F)});
  }

  Dispatcher &dispatcher() { return Dispatcher_; }
  Instant now() const { return Now_; }

  /// Gives an event and returns the effects of just this one.
  Effects give(const Event &E) {
    Effects Out = Dispatcher_.on(E, Now_);
    All_.insert(All_.end(), Out.begin(), Out.end());
    return Out;
  }
  Effects passed(Micros Time) {
    Now_ += Time;
    return give(Tick());
  }

  Spec spec(const std::string &Name, Micros Window = Seconds(2)) const {
    Spec S;
    S.Request_ = RequestId(Name);
    S.Team_ = TeamId("t");
    S.Pool_ = PoolId("p0");
    S.Digest_ = "digest-" + Name;
    S.Deadline_ = Now_ + Window;
    return S;
  }
  Effects arrive(const Spec &S) { return give(Arrived{S}); }
  Effects arrive(const std::string &Name, Micros Window = Seconds(2)) {
    return arrive(spec(Name, Window));
  }

  Effects end(const Send &S, TryResult Result, Refusal Why = Refusal::None,
              Micros Took = Millis(10)) {
    return give(TryEnded{S.Request_, S.Attempt_, S.Worker_, Result, Why, Took});
  }
  void report(const std::string &Worker, std::uint32_t Busy) {
    WorkerReport R;
    R.Worker_ = InstanceId(Worker);
    R.Busy_ = Slots{Busy};
    give(Reported{R});
  }

  /// All effects of a kind so far.
  template <class T> std::vector<T> all() const { return only<T>(All_); }
  template <class T> static std::vector<T> only(const Effects &From) {
    std::vector<T> Result;
    for (const Effect &E : From)
      if (const auto *What = std::get_if<T>(&E))
        Result.push_back(*What);
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
