// The true state of a worker in the model of a pool, and the specifications
// that tests of the pool's scheduler use.
#pragma once

#include "schedule/model.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace heathercross::schedule::test {

/// The fence of a call: the holder and the fence that it uses for the worker.
struct ModelFence {
  std::uint64_t Holder_ = 0;
  std::uint64_t Generation_ = 0;
  auto operator<=>(const ModelFence &) const = default;
};

class ModelWorker;

/// A call that a worker carries out after its caller has given it up.
struct LateCall {
  Instant Due_;
  InstanceId Worker_;
  /// The life of the worker that the call was meant for.
  std::int64_t Incarnation_ = 0;
  std::function<void(ModelWorker &)> CarryOut_;
};

/// A placement service, and the policy that it knows. It handles one query at
/// a time.
struct ModelPlacement {
  AdviceTimes Times_;
  /// Of so many workers a step may use one; it may use the ones in Always_ in
  /// any case.
  std::uint64_t OneOf_ = 1;
  std::set<InstanceId> Always_;
  /// Start orders that a worker refused for want of a valid ticket.
  std::uint32_t TicketsRefused_ = 0;
  std::uint32_t Queries_ = 0;

  bool allows(const StepKey &Step, const InstanceId &Worker) const {
    const std::string Name = Step.Job_.str() + "." +
                             std::to_string(Step.Occurrence_) + "." +
                             std::to_string(Step.Step_) + "/" + Worker.str();
    return Always_.contains(Worker) ||
           std::hash<std::string>()(Name) % OneOf_ == 0;
  }
  Millis duration(std::size_t Workers) const {
    return Times_.Decide_ + Times_.Each_ * static_cast<std::int64_t>(Workers);
  }
  /// A ticket names the life of the worker and when the ticket expires.
  static std::string ticket(std::int64_t Life, Instant ValidUntil) {
    return std::to_string(Life) + "/" +
           std::to_string(ValidUntil.time_since_epoch().count());
  }
  static bool isValid(const std::string &Ticket, std::int64_t Life,
                      Instant Now) {
    const auto Slash = Ticket.find('/');
    return Slash != std::string::npos &&
           Ticket.substr(0, Slash) == std::to_string(Life) &&
           Now.time_since_epoch().count() <
               std::stoll(Ticket.substr(Slash + 1));
  }
};

/// The true state of one worker.
class ModelWorker {
public:
  struct Running {
    Attempt Attempt_ = 0;
    Resources Needs_;
    Instant Ends_;
    Instant Started_;
    RunEnd End_ = RunEnd::Done;
  };

  WorkerInfo Info_;
  bool Up_ = true;
  /// A network partition: no calls get through, in either direction.
  bool Partitioned_ = false;
  /// Start orders are carried out, but their answers are lost.
  bool LosesAnswers_ = false;
  /// Orders get no answer and are carried out this much later, by whichever
  /// life of the worker is there then.
  Millis OrderDelay_{0};
  /// The same for lease renewals.
  Millis RenewalDelay_{0};
  /// How long an accepted stop takes; the run is listed meanwhile.
  Millis StopTime_{0};
  bool FailsAll_ = false;
  bool Hangs_ = false;
  double SlowdownFactor_ = 1;
  /// The time of day, in milliseconds, at which this life began.
  std::int64_t Incarnation_ = 1;
  Instant LeaseEnd_;
  std::map<TaskKey, Running> Running_;
  std::vector<EndReport> Ended_;
  std::uint64_t Sequence_ = 0;
  std::map<TaskKey, Attempt> Highest_;
  /// The highest fence that this life has seen.
  ModelFence Fence_;
};

inline WorkerInfo workerInfo(const std::string &Id, const std::string &Rack,
                             std::int64_t CpuMilli = 32'000,
                             std::int64_t MemoryMb = 64'000) {
  WorkerInfo W;
  W.Id_ = InstanceId(Id);
  W.Pool_ = PoolId("quotes");
  W.Address_ = "10.0.0.1:" + Id;
  W.Capacity_ = {CpuMilli, MemoryMb, 0};
  W.Rack_ = RackId(Rack);
  W.Labels_ = {"a", Rack};
  return W;
}

inline StepSpec step(std::uint32_t Count, std::int64_t CpuMilli,
                     Millis Estimate) {
  StepSpec S;
  S.Count_ = Count;
  S.Needs_ = {CpuMilli, 1000, 0};
  S.Estimate_ = Estimate;
  return S;
}

inline JobSpec job(std::vector<StepSpec> Steps) {
  JobSpec J;
  // GCC 12 warns of an overflow if a literal is assigned.
  J.Payload_.assign(1, 'x');
  J.Steps_ = std::move(Steps);
  return J;
}

} // namespace heathercross::schedule::test
