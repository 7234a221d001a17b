// A pool whose workers carry orders out late, under random faults.
#pragma once

#include "schedule/model-pool.h"

#include <rapidcheck.h>

#include <string>
#include <utility>
#include <vector>

namespace heathercross::schedule::test {

inline JobSpec longRunning(std::uint32_t Count) {
  StepSpec S = step(Count, 2000, Millis(1000));
  S.LongRunning_ = true;
  S.MaxUnavailable_ = 1;
  return job({S});
}

inline ModelWorker &worker(ModelPool &P, const std::string &Id) {
  return P.Workers_.at(InstanceId(Id));
}

/// The job that a storm submits at a step of its script.
inline JobSpec stormJob(int Argument) {
  return job({step(3, 1500, Millis(300 + 100 * Argument))});
}

inline bool isFaultless(const PoolFaults &F) { return F == PoolFaults(); }

/// Applies random faults one after the other, then ends all of them; every job
/// must reach a final state. Kinds generates numbers of Fault, Prepare sets up
/// the pool, and SpecOf gives the jobs. Returns the number of second runs.
inline std::uint32_t runLateOrders(
    const rc::Gen<int> &Kinds, bool (*Holds)(const PoolFaults &) = isFaultless,
    JobSpec (*SpecOf)(int) = stormJob, void (*Prepare)(ModelPool &) = nullptr) {
  enum Fault {
    Nothing,
    Partition,
    Reconnect,
    Crash,
    DelayOrders,
    DelayRenewals,
    EndDelays,
    Submit,
    Cancel,
    ChangeHolder
  };
  const auto Script = *rc::gen::container<std::vector<std::pair<int, int>>>(
      40, rc::gen::pair(Kinds, rc::gen::inRange(0, 30)));
  ModelPool P;
  for (int I = 0; I < 4; ++I)
    P.addWorker("w" + std::to_string(I), "r" + std::to_string(I / 2), 6000);
  P.submit("lasting", longRunning(2));
  if (Prepare)
    Prepare(P);
  int Jobs = 0;
  for (const auto &[Kind, Argument] : Script) {
    ModelWorker &W = worker(P, "w" + std::to_string(Argument % 4));
    switch (Kind) {
    case Partition:
      W.Partitioned_ = true;
      break;
    case Reconnect:
      W.Partitioned_ = false;
      break;
    case Crash:
      P.crash(W);
      break;
    case DelayOrders:
      W.OrderDelay_ = Millis(400 * (Argument + 1));
      break;
    case DelayRenewals:
      W.RenewalDelay_ = Millis(400 * (Argument + 1));
      break;
    case EndDelays:
      W.OrderDelay_ = Millis(0);
      W.RenewalDelay_ = Millis(0);
      break;
    case Submit:
      P.submit("j" + std::to_string(Jobs++), SpecOf(Argument));
      break;
    case Cancel:
      P.Scheduler_.cancel(JobId("j" + std::to_string(Argument % (Jobs + 1))));
      break;
    case ChangeHolder:
      P.changeHolder();
      break;
    default:
      break;
    }
    P.run(Millis(100 + 20 * Argument));
  }
  for (auto &[Id, W] : P.Workers_) {
    W.Partitioned_ = false;
    W.OrderDelay_ = Millis(0);
    W.RenewalDelay_ = Millis(0);
  }
  RC_ASSERT(Holds(P.Faults_));
  RC_ASSERT(P.runUntil(Seconds(60), [&] {
    for (int I = 0; I < Jobs; ++I)
      if (!isFinal(P.state("j" + std::to_string(I))))
        return false;
    return P.running("lasting") == 2;
  }));
  RC_ASSERT(Holds(P.Faults_));
  return P.SecondRuns_;
}

} // namespace heathercross::schedule::test
