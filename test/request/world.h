// A model world for the request decisions: one table, some workers, several
// entries, and a transport that loses, delays and repeats.
#pragma once

#include "request/fixture.h"
#include "request/slot-share.h"

#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace heathercross::request::test {

/// How often the model misbehaves, in percent of the messages.
struct Trouble {
  unsigned Table_ = 25;
  unsigned Workers_ = 25;
  unsigned Freezes_ = 5;
  unsigned Kills_ = 2;
  unsigned Reboots_ = 1;
};

/// The ground truth of one attempt on one worker.
enum class Life : std::uint8_t { Unseen, Running, Done, Failed, Fenced };

class World {
public:
  World(std::uint64_t Seed, int Entries, Trouble T) : Seed_(Seed), Trouble_(T) {
    for (int I = 0; I != Entries; ++I)
      startEntry(I);
  }

  /// One random step: an arrival, a message, some time, a freeze or a kill.
  void step() {
    const unsigned Dice = roll(100);
    if (Dice < 12)
      arrive();
    else if (Dice < 25)
      pass(Millis(1 + roll(120)));
    else if (Dice < 25 + Trouble_.Freezes_)
      Entries_[roll(Entries_.size())].Frozen_ ^= true;
    else if (Dice < 25 + Trouble_.Freezes_ + Trouble_.Kills_)
      startEntry(static_cast<int>(roll(Entries_.size())));
    else if (Dice <
             25 + Trouble_.Freezes_ + Trouble_.Kills_ + Trouble_.Reboots_)
      reboot(roll(Workers));
    else if (Dice == 99)
      release();
    else
      message();
  }

  /// Ends all trouble and lets all windows pass; then what was held up
  /// anywhere arrives after all.
  void settle() {
    Trouble_ = {0, 0, 0, 0, 0};
    for (Entry &E : Entries_)
      E.Frozen_ = false;
    for (int I = 0; I != 60; ++I) {
      while (!Pending_.empty())
        message();
      pass(Millis(100));
    }
    for (const Delayed &D : Delayed_)
      startOn(D.Send_);
    release();
    while (!Pending_.empty())
      message();
  }

  /// The first broken promise; empty while all hold.
  const std::string &broken() const { return Broken_; }
  std::size_t starts() const { return Starts_.size(); }
  std::size_t doneAnswers() const { return DoneAnswers_; }

  /// Promises that can be judged only at the end.
  void judge() {
    for (const auto &[Request, Owner] : Asked_)
      check(Answers_[Request] == 1 || Owner.Killed_, "answered once", Request);
    for (const auto &[Attempt, Worker] : Starts_)
      check(!NotRun_.contains(RequestOf_[Attempt]), "not run is true", Attempt);
  }

private:
  struct Entry {
    std::unique_ptr<Dispatcher> Dispatcher_;
    bool Frozen_ = false;
    std::deque<Event> Inbox_;
    std::uint64_t Life_ = 0;
  };
  struct Pending {
    std::size_t Entry_;
    std::uint64_t Life_;
    Effect Effect_;
  };
  struct Delayed {
    Send Send_;
  };
  struct Asker {
    std::size_t Entry_ = 0;
    bool Killed_ = false;
    std::string Key_;
  };
  using OnWorker = std::pair<std::string, std::string>;

  unsigned roll(std::size_t Sides) {
    return static_cast<unsigned>(mix(Seed_, ++Rolls_) % Sides);
  }
  bool trouble(unsigned Percent) { return roll(100) < Percent; }
  void check(bool Holds, const std::string &Promise, const std::string &Who) {
    if (!Holds && Broken_.empty())
      Broken_ = Promise + ": " + Who;
  }

  void startEntry(int I) {
    Config C = config("e" + std::to_string(I));
    C.Seed_ = ++Lives_;
    if (Entries_.size() <= static_cast<std::size_t>(I))
      Entries_.emplace_back();
    Entry &E = Entries_[static_cast<std::size_t>(I)];
    for (auto &[Request, Owner] : Asked_)
      Owner.Killed_ |= Owner.Entry_ == static_cast<std::size_t>(I);
    E = Entry{std::make_unique<Dispatcher>(C), false, {}, Lives_};
    give(static_cast<std::size_t>(I), FleetChanged{smallFleet(1, Workers)});
    for (int Number = 0; Number != Workers; ++Number)
      give(static_cast<std::size_t>(I), Reported{state(Number)});
  }

  WorkerReport state(int Number) {
    WorkerReport R;
    R.Worker_ = worker("p0", Number).Worker_;
    R.Boot_ = std::to_string(Boots_[R.Worker_.str()]);
    return R;
  }

  /// What a frozen process was about to send goes out after all.
  void release() {
    Pending_.insert(Pending_.end(), Stuck_.begin(), Stuck_.end());
    Stuck_.clear();
  }

  /// The worker forgets all, and what waits in its sockets is gone. Requests
  /// that are still under way arrive at the new boot.
  void reboot(unsigned Number) {
    const std::string Name =
        worker("p0", static_cast<int>(Number)).Worker_.str();
    ++Boots_[Name];
    std::erase_if(LivesAt_,
                  [&](const auto &L) { return L.first.second == Name; });
    std::erase_if(Delayed_, [&](const Delayed &D) {
      return D.Send_.Worker_.str() == Name;
    });
    if (roll(2) == 0)
      for (std::size_t I = 0; I != Entries_.size(); ++I)
        give(I, Reported{state(static_cast<int>(Number))});
  }

  void give(std::size_t I, const Event &What) {
    Entry &E = Entries_[I];
    E.Inbox_.push_back(What);
    if (E.Frozen_)
      return;
    while (!E.Inbox_.empty()) {
      const Event Next = E.Inbox_.front();
      E.Inbox_.pop_front();
      for (const Effect &Out : E.Dispatcher_->on(Next, Now_))
        take(I, Out);
    }
  }

  void pass(Micros Time) {
    Now_ += Time;
    for (std::size_t I = 0; I != Entries_.size(); ++I)
      give(I, Tick());
  }

  void arrive() {
    const std::size_t I = roll(Entries_.size());
    const std::string Name = "r" + std::to_string(Asked_.size());
    const unsigned Which = roll(5);
    Spec S;
    S.Request_ = RequestId(Name);
    S.Team_ = TeamId("t");
    S.Pool_ = PoolId("p0");
    S.Deadline_ = Now_ + Millis(200 + roll(2500));
    if (Which != 0)
      S.Key_ = IdempotencyKey("k" + std::to_string(Which));
    S.Digest_ = Which == 0 ? Name : "body" + std::to_string(Which);
    Asked_[Name] = {I, false, Which == 0 ? "" : S.Key_->str()};
    give(I, Arrived{S});
  }

  // What the entries ask for.

  void take(std::size_t I, const Effect &E) {
    if (const auto *A = std::get_if<Answer>(&E))
      return takeAnswer(*A);
    if (const auto *S = std::get_if<Send>(&E))
      checkSend(I, *S);
    Pending_.push_back({I, Entries_[I].Life_, E});
  }

  void takeAnswer(const Answer &A) {
    const std::string Request = A.Request_.str();
    check(++Answers_[Request] == 1, "one answer", Request);
    if (A.Outcome_ == Outcome::NotRun)
      NotRun_.insert(Request);
    const std::string &Key = Asked_[Request].Key_;
    if (A.Outcome_ != Outcome::Done)
      return;
    ++DoneAnswers_;
    if (!Key.empty())
      check(Rows_.contains(Key) && Rows_[Key].State_ == ClaimState::Done,
            "recorded before answered", Request);
  }

  void checkSend(std::size_t I, const Send &S) {
    const std::string Key = Asked_[S.Request_.str()].Key_;
    RequestOf_[S.Attempt_.str()] = S.Request_.str();
    if (Key.empty())
      return;
    const auto Claim = Confirmed_.find({I, S.Attempt_.str()});
    check(Claim != Confirmed_.end() && Claim->second.contains(S.Worker_.str()),
          "claim confirmed first", S.Attempt_.str());
    const OnWorker Target(S.Attempt_.str(), S.Worker_.str());
    const bool CantStart = Fenced_.contains(Target);
    for (const Send &Before : SendsOf_[Key]) {
      const OnWorker Place(Before.Attempt_.str(), Before.Worker_.str());
      check(CantStart || Harmless_.contains(Place) || Fenced_.contains(Place),
            "fenced between sends", S.Attempt_.str());
    }
    SendsOf_[Key].push_back(S);
  }

  // What the table and the workers do.

  void message() {
    if (Pending_.empty())
      return;
    const auto At = Pending_.begin() + roll(Pending_.size());
    const Pending P = *At;
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

  void reply(const Pending &P, const Event &E) {
    if (Entries_[P.Entry_].Life_ == P.Life_)
      give(P.Entry_, E);
  }

  bool commit(const WriteClaim &W) {
    const std::string Key = Asked_[W.Request_.str()].Key_;
    const auto I = Rows_.find(Key);
    const RowVersion Present =
        I == Rows_.end() ? RowVersion() : I->second.Version_;
    if (Present != W.Row_.Version_)
      return false;
    Rows_[Key] = W.Row_;
    Rows_[Key].Version_ = Version_ = Version_.next();
    return true;
  }

  void onWrite(const Pending &P, const WriteClaim &W) {
    if (!trouble(Trouble_.Table_)) {
      const bool Took = commit(W);
      const auto Status =
          Took ? CommitStatus::Committed : CommitStatus::Conflict;
      if (Took && W.Row_.State_ == ClaimState::Claimed)
        confirm(P.Entry_, W.Row_);
      return reply(
          P, ClaimWritten{W.Request_, Status, Took ? Version_ : RowVersion()});
    }
    const unsigned Kind = roll(4);
    if (Kind == 0)
      return reply(P, ClaimWritten{W.Request_, CommitStatus::Refused, {}});
    if (Kind == 1)
      commit(W);
    reply(P, ClaimWritten{W.Request_, CommitStatus::Uncertain, {}});
    if (Kind == 2)
      Pending_.push_back({P.Entry_, 0, W});
  }

  void confirm(std::size_t I, const ClaimRow &Row) {
    auto &Named = Confirmed_[{I, Row.Attempt_.str()}];
    for (const InstanceId &Worker : Row.Workers_)
      Named.insert(Worker.str());
  }

  void onReadClaim(const Pending &P, const ReadClaim &R) {
    if (trouble(Trouble_.Table_))
      return reply(P, ClaimRead{R.Request_, std::nullopt, true});
    const auto I = Rows_.find(Asked_[R.Request_.str()].Key_);
    if (I == Rows_.end())
      return reply(P, ClaimRead{R.Request_, std::nullopt, false});
    if (I->second.State_ == ClaimState::Claimed)
      confirm(P.Entry_, I->second);
    reply(P, ClaimRead{R.Request_, I->second, false});
  }

  /// Whether the attempt started now.
  bool startOn(const Send &S) {
    Life &L = LivesAt_[{S.Attempt_.str(), S.Worker_.str()}];
    const std::string Boot = std::to_string(Boots_[S.Worker_.str()]);
    if (L != Life::Unseen || (!S.Boot_.empty() && S.Boot_ != Boot))
      return false;
    L = Life::Running;
    Starts_.emplace_back(S.Attempt_.str(), S.Worker_.str());
    const std::string Key = Asked_[S.Request_.str()].Key_;
    if (!Key.empty())
      check(++Runs_[Key] == 1, "at most once", Key);
    return true;
  }

  void onSend(const Pending &P, const Send &S) {
    const OnWorker Place(S.Attempt_.str(), S.Worker_.str());
    const auto End = [&](TryResult R, Refusal Why = Refusal::None) {
      reply(P, TryEnded{S.Request_, S.Attempt_, S.Worker_, R, Why, Millis(5)});
    };
    const bool Bad = trouble(Trouble_.Workers_);
    const unsigned Kind = Bad ? roll(6) : 6;
    if (Kind == 0 || Kind == 1) {
      Harmless_.insert(Place);
      return Kind == 0 ? End(TryResult::NeverSent)
                       : End(TryResult::Refused, Refusal::Full);
    }
    if (Kind == 2) {
      if (roll(2) == 0) {
        Stuck_.push_back(P);
        return;
      }
      Delayed_.push_back({S});
      return End(TryResult::Lost);
    }
    if (!startOn(S)) {
      Harmless_.insert(Place);
      return End(TryResult::Refused, Refusal::Fenced);
    }
    if (Kind == 3)
      return End(TryResult::Refused, Refusal::Duplicate);
    if (Kind == 4)
      return End(TryResult::Lost);
    LivesAt_[Place] = Kind == 5 ? Life::Failed : Life::Done;
    End(Kind == 5 ? TryResult::WorkFailed : TryResult::Answered);
    if (Bad)
      End(TryResult::Answered);
  }

  void onFence(const Pending &P, const Fence &F) {
    Life &L = LivesAt_[{F.Attempt_.str(), F.Worker_.str()}];
    const bool Bad = trouble(Trouble_.Workers_);
    if (!Bad || roll(2) == 0) {
      if (L == Life::Unseen) {
        L = Life::Fenced;
        Fenced_.emplace(F.Attempt_.str(), F.Worker_.str());
      } else if (L == Life::Running && roll(2) == 0)
        L = roll(4) == 0 ? Life::Failed : Life::Done;
    }
    static const std::map<Life, FenceResult> Results{
        {Life::Fenced, FenceResult::Fenced},
        {Life::Running, FenceResult::Running},
        {Life::Done, FenceResult::Done},
        {Life::Failed, FenceResult::Failed}};
    const auto R = Bad ? FenceResult::NoAnswer : Results.at(L);
    reply(P, FenceEnded{F.Request_, F.Attempt_, F.Worker_, R,
                        std::to_string(Boots_[F.Worker_.str()])});
  }

  void onFetch(const Pending &P, const FetchAnswer &G) {
    const Life L = LivesAt_[{G.Attempt_.str(), G.Worker_.str()}];
    auto R = L == Life::Done     ? TryResult::Answered
             : L == Life::Failed ? TryResult::WorkFailed
                                 : TryResult::Lost;
    if (trouble(Trouble_.Workers_))
      R = TryResult::Lost;
    reply(P, TryEnded{G.Request_, G.Attempt_, G.Worker_, R});
  }

  static constexpr int Workers = 4;

  std::uint64_t Seed_;
  std::uint64_t Rolls_ = 0;
  std::uint64_t Lives_ = 0;
  Trouble Trouble_;
  Instant Now_{Seconds(100)};
  std::vector<Entry> Entries_;
  std::vector<Pending> Pending_;
  std::vector<Delayed> Delayed_;
  std::vector<Pending> Stuck_;
  std::map<std::string, ClaimRow> Rows_;
  RowVersion Version_;
  std::map<std::pair<std::size_t, std::string>, std::set<std::string>>
      Confirmed_;
  std::map<OnWorker, Life> LivesAt_;
  std::set<OnWorker> Harmless_;
  /// Attempts that a worker fenced, also when it forgot that since.
  std::set<OnWorker> Fenced_;
  std::map<std::string, int> Boots_;
  std::map<std::string, std::vector<Send>> SendsOf_;
  std::map<std::string, std::string> RequestOf_;
  std::map<std::string, Asker> Asked_;
  std::map<std::string, int> Answers_;
  std::map<std::string, int> Runs_;
  std::set<std::string> NotRun_;
  std::vector<OnWorker> Starts_;
  std::size_t DoneAnswers_ = 0;
  std::string Broken_;
};

} // namespace heathercross::request::test
