// A small clockwork of entries and workers with slots, for the behaviour of
// the request decisions under load. Time is simulated.
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

/// What callers offer.
struct Offer {
  PoolId Pool_{"p0"};
  TeamId Team_{"t"};
  double PerSecond_ = 100;
  /// The mean run time; single ones differ by up to half of it.
  Micros Work_ = Millis(50);
  Micros Window_ = Millis(500);
  Urgency Urgency_ = Urgency::Normal;
  Micros From_{0};
  Micros Until_ = Seconds(5);
};

/// What became of the requests of one team in one pool.
struct Tally {
  std::size_t Offered_ = 0;
  std::size_t InWindow_ = 0;
  std::size_t NotRun_ = 0;
  std::size_t Other_ = 0;
  Micros LongestWait_{0};
};

class Load {
public:
  /// Entries share the fleet; every worker reports to every entry each
  /// ReportEvery and tells its load beside each answer.
  Load(Fleet F, const std::vector<Config> &Configs,
       Micros ReportEvery = Millis(50))
      : Fleet_(std::move(F)) {
    for (const Config &C : Configs)
      Entries_.push_back(std::make_unique<Dispatcher>(C));
    for (const Candidate &C : Fleet_.Candidates_)
      Slots_[C.Worker_.str()] = C.Total_.Count_;
    for (std::size_t I = 0; I != Entries_.size(); ++I)
      give(I, FleetChanged{Fleet_});
    every(Millis(5), [this] { giveAll(Tick()); });
    every(ReportEvery, [this] {
      for (const Candidate &C : Fleet_.Candidates_)
        report(C.Worker_.str());
    });
  }

  void offer(const Offer &O) {
    const Micros Gap(static_cast<std::int64_t>(1e6 / O.PerSecond_));
    for (Micros At = O.From_; At < O.Until_; At += Gap)
      at(Start + At, [this, O] { arrive(O); });
  }
  /// Does something at a time after the start.
  void later(Micros After, std::function<void()> Do) {
    at(Start + After, std::move(Do));
  }
  void run(Micros For) {
    while (!Queue_.empty() && Queue_.top().At_ <= Start + For) {
      const auto Next = Queue_.top();
      Queue_.pop();
      Now_ = Next.At_;
      Next.Do_();
    }
  }

  /// Fails everything on the worker from now on, or answers again.
  void breakWorker(const std::string &Worker) { Broken_.insert(Worker); }
  void kill(const std::string &Worker) { Dead_.insert(Worker); }
  void freezeEntry(std::size_t I) { Frozen_.insert(I); }
  /// Batch tasks that hold slots until they are preempted.
  void occupy(const std::string &Worker, std::uint32_t Tasks) {
    Tasks_[Worker] = Tasks;
    Busy_[Worker] += Tasks;
  }

  Dispatcher &entry(std::size_t I) { return *Entries_[I]; }
  Tally &of(const std::string &Team) { return Tallies_[Team]; }
  std::size_t tries() const { return Tries_; }
  std::size_t refusals() const { return Refusals_; }
  std::size_t triesOn(const std::string &Worker) { return TriesOn_[Worker]; }

private:
  struct Item {
    Instant At_;
    std::uint64_t Order_;
    std::function<void()> Do_;
    bool operator<(const Item &Other) const {
      return std::pair(At_, Order_) > std::pair(Other.At_, Other.Order_);
    }
  };
  struct Asked {
    Offer Offer_;
    Instant At_;
  };

  void at(Instant When, std::function<void()> Do) {
    Queue_.push({When, ++Order_, std::move(Do)});
  }
  void every(Micros Gap, const std::function<void()> &Do) {
    at(Now_ + Gap, [this, Gap, Do] {
      Do();
      every(Gap, Do);
    });
  }
  void giveAll(const Event &E) {
    for (std::size_t I = 0; I != Entries_.size(); ++I)
      give(I, E);
  }
  void give(std::size_t I, const Event &E) {
    if (Frozen_.contains(I))
      return;
    for (const Effect &Out : Entries_[I]->on(E, Now_))
      take(I, Out);
  }
  WorkerReport state(const std::string &Worker) {
    WorkerReport R;
    R.Worker_ = InstanceId(Worker);
    R.Busy_ = Slots{Busy_[Worker]};
    R.BatchTasks_ = Slots{Tasks_[Worker]};
    return R;
  }
  void report(const std::string &Worker) {
    if (!Dead_.contains(Worker))
      giveAll(Reported{state(Worker)});
  }

  void arrive(const Offer &O) {
    Spec S;
    S.Request_ = RequestId("r" + std::to_string(++Requests_));
    S.Team_ = O.Team_;
    S.Pool_ = O.Pool_;
    S.Urgency_ = O.Urgency_;
    S.Digest_ = S.Request_.str();
    S.Deadline_ = Now_ + O.Window_;
    Asked_[S.Request_.str()] = {O, Now_};
    ++Tallies_[O.Team_.str()].Offered_;
    std::size_t I = Requests_ % Entries_.size();
    while (Frozen_.contains(I))
      I = (I + 1) % Entries_.size();
    give(I, Arrived{S});
  }

  void take(std::size_t I, const Effect &E) {
    if (const auto *S = std::get_if<Send>(&E))
      at(Now_ + Hop, [this, I, S = *S] { onSend(I, S); });
    else if (const auto *A = std::get_if<Answer>(&E))
      onAnswer(*A);
    else if (const auto *P = std::get_if<Preempt>(&E))
      at(Now_ + Millis(200), [this, W = P->Worker_.str()] {
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
      at(Now_ + After + Hop, [this, I, S, R, Why, After] {
        give(I, TryEnded{S.Request_, S.Attempt_, S.Worker_, R, Why, After});
        if (R != TryResult::NeverSent)
          give(I, Reported{state(S.Worker_.str())});
      });
    };
    if (Dead_.contains(Worker))
      return End(Micros(0), TryResult::NeverSent, Refusal::None);
    if (Busy_[Worker] >= Slots_[Worker]) {
      ++Refusals_;
      return End(Micros(0), TryResult::Refused, Refusal::Full);
    }
    if (Broken_.contains(Worker))
      return End(Millis(1), TryResult::WorkFailed, Refusal::None);
    const Asked &A = Asked_[S.Request_.str()];
    Tally &T = Tallies_[A.Offer_.Team_.str()];
    T.LongestWait_ = std::max(T.LongestWait_, Micros(Now_ - A.At_));
    ++Busy_[Worker];
    const auto Percent = static_cast<std::int64_t>(
        50 + mix(stableHash(S.Request_.str()), 0) % 101);
    const Micros Work = A.Offer_.Work_ * Percent / 100;
    at(Now_ + Work, [this, Worker] { --Busy_[Worker]; });
    End(Work, TryResult::Answered, Refusal::None);
  }

  void onAnswer(const Answer &A) {
    const Asked &Q = Asked_[A.Request_.str()];
    Tally &T = Tallies_[Q.Offer_.Team_.str()];
    const bool InTime = Now_ <= Q.At_ + Q.Offer_.Window_;
    if (A.Outcome_ == Outcome::Done && InTime)
      ++T.InWindow_;
    else if (A.Outcome_ == Outcome::NotRun)
      ++T.NotRun_;
    else
      ++T.Other_;
  }

  static constexpr Instant Start{Seconds(100)};
  static constexpr Micros Hop{500};

  Fleet Fleet_;
  Instant Now_ = Start;
  std::vector<std::unique_ptr<Dispatcher>> Entries_;
  std::priority_queue<Item> Queue_;
  std::uint64_t Order_ = 0;
  std::size_t Requests_ = 0;
  std::size_t Tries_ = 0;
  std::size_t Refusals_ = 0;
  std::map<std::string, std::uint32_t> Slots_;
  std::map<std::string, std::uint32_t> Busy_;
  std::map<std::string, std::uint32_t> Tasks_;
  std::map<std::string, std::size_t> TriesOn_;
  std::map<std::string, Asked> Asked_;
  std::map<std::string, Tally> Tallies_;
  std::set<std::string> Broken_;
  std::set<std::string> Dead_;
  std::set<std::size_t> Frozen_;
};

} // namespace heathercross::request::test
