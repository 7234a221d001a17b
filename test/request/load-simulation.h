// Discrete-event simulation of entries and workers, for testing the request
// logic under load.
#pragma once

#include "request/fixture.h"
#include "request/slot-share.h"

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace heathercross::request::test {

/// A stream of requests with a constant rate.
struct OfferedLoad {
  PoolId Pool_{"p0"};
  TeamId Team_{"t"};
  double PerSecond_ = 100;
  /// Mean run time; individual run times vary by up to 50 %.
  Micros Work_ = Millis(50);
  Micros Window_ = Millis(500);
  Urgency Urgency_ = Urgency::Normal;
  Micros From_{0};
  Micros Until_ = Seconds(5);
};

/// Results of the requests of one team.
struct TeamStats {
  std::size_t Offered_ = 0;
  std::size_t InWindow_ = 0;
  std::size_t NotRun_ = 0;
  /// Done after the window, failed or unknown.
  std::size_t Other_ = 0;
  Micros LongestWait_{0};
};

class LoadSimulation {
public:
  /// The entries share the fleet. Every worker reports its load to every entry
  /// at the given interval, and to the sender along with each answer.
  LoadSimulation(Fleet F, const std::vector<Config> &Configs,
                 Micros ReportInterval = Millis(50))
      : Fleet_(std::move(F)) {
    for (const Config &C : Configs)
      Entries_.push_back(std::make_unique<Dispatcher>(C));
    for (const Candidate &C : Fleet_.Candidates_)
      Slots_[C.Worker_.str()] = C.SlotCount_.Count_;
    for (std::size_t I = 0; I != Entries_.size(); ++I)
      deliver(I, FleetChanged{Fleet_});
    scheduleEvery(Millis(5), [this] { deliverAll(Tick()); });
    scheduleEvery(ReportInterval, [this] {
      for (const Candidate &C : Fleet_.Candidates_)
        report(C.Worker_.str());
    });
  }

  void offer(const OfferedLoad &O) {
    const Micros Interval(static_cast<std::int64_t>(1e6 / O.PerSecond_));
    for (Micros At = O.From_; At < O.Until_; At += Interval)
      scheduleAt(Start + At, [this, O] { arrive(O); });
  }
  /// Runs an action at the given time after the start.
  void scheduleAfter(Micros After, std::function<void()> Action) {
    scheduleAt(Start + After, std::move(Action));
  }
  /// Runs the simulation until the given time after the start.
  void run(Micros Until) {
    while (!Queue_.empty() && Queue_.top().At_ <= Start + Until) {
      const auto Next = Queue_.top();
      Queue_.pop();
      Now_ = Next.At_;
      Next.Action_();
    }
  }

  /// Makes every request on the worker fail from now on.
  void breakWorker(const std::string &Worker) { Broken_.insert(Worker); }
  /// Makes the worker refuse connections and stop reporting from now on.
  void kill(const std::string &Worker) { Killed_.insert(Worker); }
  /// Drops all events of the entry from now on.
  void freezeEntry(std::size_t I) { Frozen_.insert(I); }
  /// Starts batch tasks that hold slots until they are preempted.
  void occupy(const std::string &Worker, std::uint32_t Tasks) {
    Tasks_[Worker] = Tasks;
    Busy_[Worker] += Tasks;
  }

  Dispatcher &entry(std::size_t I) { return *Entries_[I]; }
  TeamStats &statsOf(const std::string &Team) { return Stats_[Team]; }
  std::size_t tries() const { return Tries_; }
  std::size_t refusals() const { return Refusals_; }
  std::size_t triesOn(const std::string &Worker) { return TriesOn_[Worker]; }

private:
  struct ScheduledAction {
    Instant At_;
    std::uint64_t InsertionOrder_;
    std::function<void()> Action_;
    bool operator<(const ScheduledAction &Other) const {
      return std::pair(At_, InsertionOrder_) >
             std::pair(Other.At_, Other.InsertionOrder_);
    }
  };
  struct RequestInfo {
    OfferedLoad Load_;
    Instant ArrivedAt_;
  };

  void scheduleAt(Instant When, std::function<void()> Action) {
    Queue_.push({When, ++InsertionOrder_, std::move(Action)});
  }
  void scheduleEvery(Micros Interval, const std::function<void()> &Action) {
    scheduleAt(Now_ + Interval, [this, Interval, Action] {
      Action();
      scheduleEvery(Interval, Action);
    });
  }
  void deliverAll(const Event &E) {
    for (std::size_t I = 0; I != Entries_.size(); ++I)
      deliver(I, E);
  }
  void deliver(std::size_t I, const Event &E) {
    if (Frozen_.contains(I))
      return;
    for (const Effect &Out : Entries_[I]->on(E, Now_))
      onEffect(I, Out);
  }
  WorkerReport makeReport(const std::string &Worker) {
    WorkerReport R;
    R.Worker_ = InstanceId(Worker);
    R.Busy_ = Slots{Busy_[Worker]};
    R.BatchTasks_ = Slots{Tasks_[Worker]};
    return R;
  }
  void report(const std::string &Worker) {
    if (!Killed_.contains(Worker))
      deliverAll(Reported{makeReport(Worker)});
  }

  void arrive(const OfferedLoad &O) {
    RequestSpec S;
    S.Request_ = RequestId("r" + std::to_string(++RequestCount_));
    S.Team_ = O.Team_;
    S.Pool_ = O.Pool_;
    S.Urgency_ = O.Urgency_;
    S.Digest_ = S.Request_.str();
    S.Deadline_ = Now_ + O.Window_;
    RequestInfos_[S.Request_.str()] = {O, Now_};
    ++Stats_[O.Team_.str()].Offered_;
    std::size_t I = RequestCount_ % Entries_.size();
    while (Frozen_.contains(I))
      I = (I + 1) % Entries_.size();
    deliver(I, Arrived{S});
  }

  void onEffect(std::size_t I, const Effect &E) {
    if (const auto *S = std::get_if<Send>(&E))
      scheduleAt(Now_ + NetworkLatency, [this, I, S = *S] { onSend(I, S); });
    else if (const auto *A = std::get_if<Answer>(&E))
      onAnswer(*A);
    else if (const auto *P = std::get_if<Preempt>(&E))
      scheduleAt(Now_ + Millis(200), [this, W = P->Worker_.str()] {
        if (Tasks_[W] == 0)
          return;
        --Tasks_[W];
        --Busy_[W];
        report(W);
      });
  }

  void onSend(std::size_t I, const Send &S) {
    const std::string Worker = S.Worker_.str();
    ++Tries_;
    ++TriesOn_[Worker];
    const auto End = [this, I, S](Micros After, TryResult R, Refusal Why) {
      scheduleAt(Now_ + After + NetworkLatency, [this, I, S, R, Why, After] {
        deliver(I, TryEnded{S.Request_, S.Attempt_, S.Worker_, R, Why, After});
        if (R != TryResult::NeverSent)
          deliver(I, Reported{makeReport(S.Worker_.str())});
      });
    };
    if (Killed_.contains(Worker))
      return End(Micros(0), TryResult::NeverSent, Refusal::None);
    if (Busy_[Worker] >= Slots_[Worker]) {
      ++Refusals_;
      return End(Micros(0), TryResult::Refused, Refusal::Full);
    }
    if (Broken_.contains(Worker))
      return End(Millis(1), TryResult::WorkFailed, Refusal::None);
    const RequestInfo &Info = RequestInfos_[S.Request_.str()];
    TeamStats &T = Stats_[Info.Load_.Team_.str()];
    T.LongestWait_ = std::max(T.LongestWait_, Micros(Now_ - Info.ArrivedAt_));
    ++Busy_[Worker];
    const auto Percent = static_cast<std::int64_t>(
        50 + mix(stableHash(S.Request_.str()), 0) % 101);
    const Micros Work = Info.Load_.Work_ * Percent / 100;
    scheduleAt(Now_ + Work, [this, Worker] { --Busy_[Worker]; });
    End(Work, TryResult::Answered, Refusal::None);
  }

  void onAnswer(const Answer &A) {
    const RequestInfo &Info = RequestInfos_[A.Request_.str()];
    TeamStats &T = Stats_[Info.Load_.Team_.str()];
    const bool InTime = Now_ <= Info.ArrivedAt_ + Info.Load_.Window_;
    if (A.Outcome_ == Outcome::Done && InTime)
      ++T.InWindow_;
    else if (A.Outcome_ == Outcome::NotRun)
      ++T.NotRun_;
    else
      ++T.Other_;
  }

  static constexpr Instant Start{Seconds(100)};
  /// One-way network latency.
  static constexpr Micros NetworkLatency{500};

  Fleet Fleet_;
  Instant Now_ = Start;
  std::vector<std::unique_ptr<Dispatcher>> Entries_;
  std::priority_queue<ScheduledAction> Queue_;
  std::uint64_t InsertionOrder_ = 0;
  std::size_t RequestCount_ = 0;
  std::size_t Tries_ = 0;
  std::size_t Refusals_ = 0;
  std::map<std::string, std::uint32_t> Slots_;
  std::map<std::string, std::uint32_t> Busy_;
  std::map<std::string, std::uint32_t> Tasks_;
  std::map<std::string, std::size_t> TriesOn_;
  std::map<std::string, RequestInfo> RequestInfos_;
  std::map<std::string, TeamStats> Stats_;
  std::set<std::string> Broken_;
  std::set<std::string> Killed_;
  std::set<std::size_t> Frozen_;
};

} // namespace heathercross::request::test
