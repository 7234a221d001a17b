// Model for property tests of the request logic: one table, some workers,
// several entries, and a transport that loses, delays and repeats messages.
#pragma once

#include "request/fixture.h"
#include "request/slot-share.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heathercross::request::test {

/// Fault probabilities in percent: Table_ and Workers_ per message, the others
/// per simulation step.
struct FaultRates {
  unsigned Table_ = 25;
  unsigned Workers_ = 25;
  unsigned Freezes_ = 5;
  unsigned Kills_ = 2;
  unsigned Reboots_ = 1;
};

/// Actual state of one attempt on one worker.
enum class AttemptState : std::uint8_t {
  Unseen,
  Running,
  Done,
  Failed,
  Fenced
};

class ClusterModel {
public:
  ClusterModel(std::uint64_t Seed, int Entries, FaultRates Faults)
      : Seed_(Seed), Faults_(Faults) {
    for (int I = 0; I != Entries; ++I)
      startEntry(I);
  }

  /// Performs one random step: an arrival, a message, passing time or a fault.
  /// The thresholds are percentages.
  void step() {
    const unsigned Roll = roll(100);
    if (Roll < 12)
      arrive();
    else if (Roll < 25)
      advance(Millis(1 + roll(120)));
    else if (Roll < 25 + Faults_.Freezes_)
      Entries_[roll(Entries_.size())].Frozen_ ^= true;
    else if (Roll < 25 + Faults_.Freezes_ + Faults_.Kills_)
      startEntry(static_cast<int>(roll(Entries_.size())));
    else if (Roll < 25 + Faults_.Freezes_ + Faults_.Kills_ + Faults_.Reboots_)
      reboot(roll(Workers));
    else if (Roll == 99)
      releaseHeld();
    else
      deliverMessage();
  }

  /// Stops all faults, lets all windows pass, and then delivers all delayed
  /// messages.
  void settle() {
    Faults_ = {0, 0, 0, 0, 0};
    for (Entry &E : Entries_)
      E.Frozen_ = false;
    for (int I = 0; I != 60; ++I) {
      while (!Pending_.empty())
        deliverMessage();
      advance(Millis(100));
    }
    for (const DelayedSend &D : Delayed_)
      startOn(D.Send_);
    releaseHeld();
    while (!Pending_.empty())
      deliverMessage();
  }

  /// The first violated invariant; empty while all hold.
  const std::string &violation() const { return Violation_; }
  std::size_t starts() const { return Starts_.size(); }
  std::size_t doneAnswers() const { return DoneAnswers_; }

  /// Checks the invariants that can be checked only at the end.
  void checkAtEnd() {
    for (const auto &[Request, Info] : Requests_)
      check(AnswerCount_[Request] == 1 || Info.Killed_, "answered exactly once",
            Request);
    for (const auto &[Attempt, Worker] : Starts_)
      check(!NotRun_.contains(RequestByAttempt_[Attempt]),
            "not run means it never ran", Attempt);
  }

private:
  struct Entry {
    std::unique_ptr<Dispatcher> Dispatcher_;
    bool Frozen_ = false;
    std::deque<Event> Inbox_;
    std::uint64_t Incarnation_ = 0;
  };
  struct PendingMessage {
    std::size_t Entry_;
    std::uint64_t Incarnation_;
    Effect Effect_;
  };
  struct DelayedSend {
    Send Send_;
  };
  struct RequestInfo {
    std::size_t Entry_ = 0;
    bool Killed_ = false;
    std::string Key_;
  };
  using AttemptOnWorker = std::pair<std::string, std::string>;

  unsigned roll(std::size_t Sides) {
    return static_cast<unsigned>(mix(Seed_, ++Rolls_) % Sides);
  }
  bool occurs(unsigned Percent) { return roll(100) < Percent; }
  void check(bool Holds, const std::string &Invariant,
             const std::string &Subject) {
    if (!Holds && Violation_.empty())
      Violation_ = Invariant + ": " + Subject;
  }

  void startEntry(int I) {
    Config C = config("e" + std::to_string(I));
    C.Seed_ = ++Incarnations_;
    if (Entries_.size() <= static_cast<std::size_t>(I))
      Entries_.emplace_back();
    Entry &E = Entries_[static_cast<std::size_t>(I)];
    for (auto &[Request, Info] : Requests_)
      Info.Killed_ |= Info.Entry_ == static_cast<std::size_t>(I);
    E = Entry{std::make_unique<Dispatcher>(C), false, {}, Incarnations_};
    deliver(static_cast<std::size_t>(I), FleetChanged{smallFleet(1, Workers)});
    for (int Number = 0; Number != Workers; ++Number)
      deliver(static_cast<std::size_t>(I), Reported{makeReport(Number)});
  }

  WorkerReport makeReport(int Number) {
    WorkerReport R;
    R.Worker_ = worker("p0", Number).Worker_;
    R.Boot_ = std::to_string(Boots_[R.Worker_.str()]);
    return R;
  }

  /// Delivers the messages that were held back, as when a frozen process
  /// resumes.
  void releaseHeld() {
    Pending_.insert(Pending_.end(), HeldBack_.begin(), HeldBack_.end());
    HeldBack_.clear();
  }

  /// Restarts the worker: it loses its attempts and the requests in its socket
  /// buffers. Requests still in the network arrive after the restart.
  void reboot(unsigned Number) {
    const std::string Name =
        worker("p0", static_cast<int>(Number)).Worker_.str();
    ++Boots_[Name];
    std::erase_if(AttemptStates_,
                  [&](const auto &Item) { return Item.first.second == Name; });
    std::erase_if(Delayed_, [&](const DelayedSend &D) {
      return D.Send_.Worker_.str() == Name;
    });
    if (roll(2) == 0)
      for (std::size_t I = 0; I != Entries_.size(); ++I)
        deliver(I, Reported{makeReport(static_cast<int>(Number))});
  }

  void deliver(std::size_t I, const Event &NewEvent) {
    Entry &E = Entries_[I];
    E.Inbox_.push_back(NewEvent);
    if (E.Frozen_)
      return;
    while (!E.Inbox_.empty()) {
      const Event Next = E.Inbox_.front();
      E.Inbox_.pop_front();
      for (const Effect &Out : E.Dispatcher_->on(Next, Now_))
        onEffect(I, Out);
    }
  }

  void advance(Micros Time) {
    Now_ += Time;
    for (std::size_t I = 0; I != Entries_.size(); ++I)
      deliver(I, Tick());
  }

  void arrive() {
    const std::size_t I = roll(Entries_.size());
    const std::string Name = "r" + std::to_string(Requests_.size());
    const unsigned KeyNumber = roll(5);
    RequestSpec S;
    S.Request_ = RequestId(Name);
    S.Team_ = TeamId("t");
    S.Pool_ = PoolId("p0");
    S.Deadline_ = Now_ + Millis(200 + roll(2500));
    if (KeyNumber != 0)
      S.Key_ = IdempotencyKey("k" + std::to_string(KeyNumber));
    S.Digest_ = KeyNumber == 0 ? Name : "body" + std::to_string(KeyNumber);
    Requests_[Name] = {I, false, KeyNumber == 0 ? "" : S.Key_->str()};
    deliver(I, Arrived{S});
  }

  // Effects of the entries.

  void onEffect(std::size_t I, const Effect &E) {
    if (const auto *A = std::get_if<Answer>(&E))
      return onAnswer(*A);
    if (const auto *S = std::get_if<Send>(&E))
      checkSend(I, *S);
    Pending_.push_back({I, Entries_[I].Incarnation_, E});
  }

  void onAnswer(const Answer &A) {
    const std::string Request = A.Request_.str();
    check(++AnswerCount_[Request] == 1, "a single answer", Request);
    if (A.Outcome_ == Outcome::NotRun)
      NotRun_.insert(Request);
    const std::string &Key = Requests_[Request].Key_;
    if (A.Outcome_ != Outcome::Done)
      return;
    ++DoneAnswers_;
    if (!Key.empty())
      check(Rows_.contains(Key) && Rows_[Key].State_ == ClaimState::Done,
            "recorded before answered", Request);
  }

  void checkSend(std::size_t I, const Send &S) {
    const std::string Key = Requests_[S.Request_.str()].Key_;
    RequestByAttempt_[S.Attempt_.str()] = S.Request_.str();
    if (Key.empty())
      return;
    const auto Claim = Confirmed_.find({I, S.Attempt_.str()});
    check(Claim != Confirmed_.end() && Claim->second.contains(S.Worker_.str()),
          "claim confirmed first", S.Attempt_.str());
    const AttemptOnWorker Target(S.Attempt_.str(), S.Worker_.str());
    const bool CannotStart = Fenced_.contains(Target);
    for (const Send &EarlierSend : SendsByKey_[Key]) {
      const AttemptOnWorker Earlier(EarlierSend.Attempt_.str(),
                                    EarlierSend.Worker_.str());
      check(CannotStart || NotStarted_.contains(Earlier) ||
                Fenced_.contains(Earlier),
            "earlier sends fenced first", S.Attempt_.str());
    }
    SendsByKey_[Key].push_back(S);
  }

  // The table and the workers.

  void deliverMessage() {
    if (Pending_.empty())
      return;
    const auto At = Pending_.begin() + roll(Pending_.size());
    const PendingMessage P = *At;
    Pending_.erase(At);
    if (const auto *W = std::get_if<WriteClaim>(&P.Effect_))
      onWrite(P, *W);
    else if (const auto *R = std::get_if<ReadClaim>(&P.Effect_))
      onReadClaim(P, *R);
    else if (const auto *S = std::get_if<Send>(&P.Effect_))
      onSend(P, *S);
    else if (const auto *F = std::get_if<Fence>(&P.Effect_))
      onFence(P, *F);
    else if (const auto *G = std::get_if<FetchAnswer>(&P.Effect_))
      onFetch(P, *G);
  }

  void reply(const PendingMessage &P, const Event &E) {
    if (Entries_[P.Entry_].Incarnation_ == P.Incarnation_)
      deliver(P.Entry_, E);
  }

  bool commit(const WriteClaim &W) {
    const std::string Key = Requests_[W.Request_.str()].Key_;
    const auto I = Rows_.find(Key);
    const RowVersion Present =
        I == Rows_.end() ? RowVersion() : I->second.Version_;
    if (Present != W.Row_.Version_)
      return false;
    Rows_[Key] = W.Row_;
    Rows_[Key].Version_ = Version_ = Version_.next();
    return true;
  }

  void onWrite(const PendingMessage &P, const WriteClaim &W) {
    if (!occurs(Faults_.Table_)) {
      const bool Committed = commit(W);
      const auto Status =
          Committed ? CommitStatus::Committed : CommitStatus::Conflict;
      if (Committed && W.Row_.State_ == ClaimState::Claimed)
        confirm(P.Entry_, W.Row_);
      return reply(P, ClaimWritten{W.Request_, Status,
                                   Committed ? Version_ : RowVersion()});
    }
    // 0: refused; 1: committed, answer lost; 2: may be committed later;
    // 3: write and answer lost.
    const unsigned Kind = roll(4);
    if (Kind == 0)
      return reply(P, ClaimWritten{W.Request_, CommitStatus::Refused, {}});
    if (Kind == 1)
      commit(W);
    reply(P, ClaimWritten{W.Request_, CommitStatus::Uncertain, {}});
    // No entry has incarnation 0, so the late write gets no reply.
    if (Kind == 2)
      Pending_.push_back({P.Entry_, 0, W});
  }

  void confirm(std::size_t I, const ClaimRow &Row) {
    auto &ClaimWorkers = Confirmed_[{I, Row.Attempt_.str()}];
    for (const InstanceId &Worker : Row.Workers_)
      ClaimWorkers.insert(Worker.str());
  }

  void onReadClaim(const PendingMessage &P, const ReadClaim &R) {
    if (occurs(Faults_.Table_))
      return reply(P, ClaimRead{R.Request_, std::nullopt, true});
    const auto I = Rows_.find(Requests_[R.Request_.str()].Key_);
    if (I == Rows_.end())
      return reply(P, ClaimRead{R.Request_, std::nullopt, false});
    if (I->second.State_ == ClaimState::Claimed)
      confirm(P.Entry_, I->second);
    reply(P, ClaimRead{R.Request_, I->second, false});
  }

  /// Starts the attempt unless it was started or fenced, or the boot id
  /// differs. Returns whether it started.
  bool startOn(const Send &S) {
    AttemptState &State = AttemptStates_[{S.Attempt_.str(), S.Worker_.str()}];
    const std::string Boot = std::to_string(Boots_[S.Worker_.str()]);
    if (State != AttemptState::Unseen || (!S.Boot_.empty() && S.Boot_ != Boot))
      return false;
    State = AttemptState::Running;
    Starts_.emplace_back(S.Attempt_.str(), S.Worker_.str());
    const std::string Key = Requests_[S.Request_.str()].Key_;
    if (!Key.empty())
      check(++RunCount_[Key] == 1, "at most once", Key);
    return true;
  }

  void onSend(const PendingMessage &P, const Send &S) {
    const AttemptOnWorker Target(S.Attempt_.str(), S.Worker_.str());
    const auto End = [&](TryResult R, Refusal Why = Refusal::None) {
      reply(P, TryEnded{S.Request_, S.Attempt_, S.Worker_, R, Why, Millis(5)});
    };
    // 0: no connection; 1: worker full; 2: request delayed; 3: started, then
    // refused as a duplicate; 4: answer lost; 5: work failed; 6: no fault.
    const bool Faulty = occurs(Faults_.Workers_);
    const unsigned Kind = Faulty ? roll(6) : 6;
    if (Kind == 0 || Kind == 1) {
      NotStarted_.insert(Target);
      return Kind == 0 ? End(TryResult::NeverSent)
                       : End(TryResult::Refused, Refusal::Full);
    }
    if (Kind == 2) {
      if (roll(2) == 0) {
        HeldBack_.push_back(P);
        return;
      }
      Delayed_.push_back({S});
      return End(TryResult::Lost);
    }
    if (!startOn(S)) {
      NotStarted_.insert(Target);
      return End(TryResult::Refused, Refusal::Fenced);
    }
    if (Kind == 3)
      return End(TryResult::Refused, Refusal::Duplicate);
    if (Kind == 4)
      return End(TryResult::Lost);
    AttemptStates_[Target] =
        Kind == 5 ? AttemptState::Failed : AttemptState::Done;
    End(Kind == 5 ? TryResult::WorkFailed : TryResult::Answered);
    if (Faulty)
      End(TryResult::Answered);
  }

  void onFence(const PendingMessage &P, const Fence &F) {
    AttemptState &State = AttemptStates_[{F.Attempt_.str(), F.Worker_.str()}];
    const bool Faulty = occurs(Faults_.Workers_);
    if (!Faulty || roll(2) == 0) {
      if (State == AttemptState::Unseen) {
        State = AttemptState::Fenced;
        Fenced_.emplace(F.Attempt_.str(), F.Worker_.str());
      } else if (State == AttemptState::Running && roll(2) == 0)
        State = roll(4) == 0 ? AttemptState::Failed : AttemptState::Done;
    }
    static const std::map<AttemptState, FenceResult> Results{
        {AttemptState::Fenced, FenceResult::Fenced},
        {AttemptState::Running, FenceResult::Running},
        {AttemptState::Done, FenceResult::Done},
        {AttemptState::Failed, FenceResult::Failed}};
    const auto R = Faulty ? FenceResult::NoAnswer : Results.at(State);
    reply(P, FenceEnded{F.Request_, F.Attempt_, F.Worker_, R,
                        std::to_string(Boots_[F.Worker_.str()])});
  }

  void onFetch(const PendingMessage &P, const FetchAnswer &G) {
    const AttemptState State =
        AttemptStates_[{G.Attempt_.str(), G.Worker_.str()}];
    auto R = State == AttemptState::Done     ? TryResult::Answered
             : State == AttemptState::Failed ? TryResult::WorkFailed
                                             : TryResult::Lost;
    if (occurs(Faults_.Workers_))
      R = TryResult::Lost;
    reply(P, TryEnded{G.Request_, G.Attempt_, G.Worker_, R});
  }

  static constexpr int Workers = 4;

  std::uint64_t Seed_;
  std::uint64_t Rolls_ = 0;
  std::uint64_t Incarnations_ = 0;
  FaultRates Faults_;
  Instant Now_{Seconds(100)};
  std::vector<Entry> Entries_;
  std::vector<PendingMessage> Pending_;
  /// Sends that were answered as lost but may still arrive in settle().
  std::vector<DelayedSend> Delayed_;
  /// Sends held back until releaseHeld().
  std::vector<PendingMessage> HeldBack_;
  std::map<std::string, ClaimRow> Rows_;
  RowVersion Version_;
  /// Workers of each confirmed claim, by entry and attempt.
  std::map<std::pair<std::size_t, std::string>, std::set<std::string>>
      Confirmed_;
  std::map<AttemptOnWorker, AttemptState> AttemptStates_;
  /// Sends that reached no worker, or that the worker refused.
  std::set<AttemptOnWorker> NotStarted_;
  /// Attempts that a worker fenced, including those lost in a restart since.
  std::set<AttemptOnWorker> Fenced_;
  std::map<std::string, int> Boots_;
  std::map<std::string, std::vector<Send>> SendsByKey_;
  std::map<std::string, std::string> RequestByAttempt_;
  std::map<std::string, RequestInfo> Requests_;
  std::map<std::string, int> AnswerCount_;
  std::map<std::string, int> RunCount_;
  std::set<std::string> NotRun_;
  std::vector<AttemptOnWorker> Starts_;
  std::size_t DoneAnswers_ = 0;
  std::string Violation_;
};

} // namespace heathercross::request::test
