// The request logic of one entry instance: admission, queueing and placement.
#include "request/dispatcher.h"

#include <algorithm>
#include <utility>

namespace heathercross::request {

namespace {
/// Maximum number of workers that one claim names.
constexpr std::size_t MaxNamedWorkers = 3;
/// Minimum time between two preemptions for the same urgent request.
constexpr Micros PreemptInterval = Millis(500);
/// Minimum delay until the timer of a queued request fires again.
constexpr Micros MinTimerDelay = Millis(1);
} // namespace

Dispatcher::Dispatcher(Config C)
    : Config_(std::move(C)), Registry_(Config_), Placement_(Config_, Registry_),
      Health_(Config_.Health_),
      Budget_(Config_.RetryShare_, Config_.RetryBurst_) {}

Effects Dispatcher::on(const Event &E, Instant Now) {
  Now_ = std::max(Now_, Now);
  Out_.clear();
  runTimers();
  std::visit([this](const auto &Alternative) { handle(Alternative); }, E);
  removeFinished();
  return std::exchange(Out_, {});
}

// Accessors.

std::optional<Instant> Dispatcher::nextWake() const {
  if (Timers_.empty())
    return std::nullopt;
  return Timers_.begin()->first;
}

std::size_t Dispatcher::queued() const {
  std::size_t Count = 0;
  for (const auto &[Name, P] : Pools_)
    Count += P.Queue_.size();
  return Count;
}

std::size_t Dispatcher::queued(const PoolId &Pool) const {
  const auto I = Pools_.find(Pool);
  return I == Pools_.end() ? 0 : I->second.Queue_.size();
}

Micros Dispatcher::runTime(const PoolId &Pool) const {
  const auto I = Pools_.find(Pool);
  return I == Pools_.end() ? Micros(0) : I->second.RunTime_.expected(Millis(0));
}

Dispatcher::OpenRequest *Dispatcher::find(const RequestId &Id) {
  const auto I = SequenceById_.find(Id);
  return I == SequenceById_.end() ? nullptr : &OpenRequests_.at(I->second);
}

Dispatcher::PoolState &Dispatcher::poolOf(const OpenRequest &R) {
  return Pools_[R.Spec_.Pool_];
}

Cause Dispatcher::causeOf(const RequestSpec &S) {
  const std::string &Body = S.Digest_.empty() ? S.Request_.str() : S.Digest_;
  return {stableHash("team/" + S.Team_.str()), stableHash("body/" + Body)};
}

AttemptId Dispatcher::newAttempt() {
  return AttemptId(Config_.Entry_.str() + "-" + std::to_string(Config_.Seed_) +
                   "-" + std::to_string(++LastAttempt_));
}

// Admission.

std::optional<Reason> Dispatcher::arrivalRefusal(const RequestSpec &S) {
  if (Stopping_)
    return Reason::Stopping;
  if (!HasFleet_)
    return Reason::NotReady;
  const auto P = Pools_.find(S.Pool_);
  if (P == Pools_.end() || P->second.Pool_.Removed_)
    return Reason::NoSuchPool;
  if (OpenRequests_.size() >= Config_.OpenLimit_)
    return Reason::QueueFull;
  return std::nullopt;
}

void Dispatcher::handle(const Arrived &E) {
  if (find(E.Spec_.Request_))
    return;
  ++Counters_.Arrived_;
  const auto Refused = arrivalRefusal(E.Spec_);
  const Sequence S = ++LastSequence_;
  OpenRequest &R = OpenRequests_[S];
  R.Spec_ = E.Spec_;
  R.Sequence_ = S;
  SequenceById_.emplace(E.Spec_.Request_, S);
  if (Refused)
    return finish(R, {R.Spec_.Request_, Outcome::NotRun, *Refused});
  if (!joinsLeader(R))
    admit(R);
}

bool Dispatcher::joinsLeader(OpenRequest &R) {
  if (!R.Spec_.Key_)
    return false;
  const ClaimKey Key(R.Spec_.Team_, *R.Spec_.Key_);
  if (Leaders_.emplace(Key, R.Sequence_).second)
    return false;
  R.Stage_ = Stage::Joined;
  Followers_[Key].push_back(R.Sequence_);
  setTimer(R, R.Spec_.Deadline_);
  return true;
}

WaitingRequest Dispatcher::waitingRequest(const OpenRequest &R) const {
  return {R.Sequence_, R.Spec_.Team_, R.Spec_.Urgency_, R.Spec_.Deadline_,
          R.Work_};
}

bool Dispatcher::tooLate(OpenRequest &R) {
  PoolState &P = poolOf(R);
  const RunTimeEstimate &RunTime = P.RunTime_;
  const Millis Declared = R.Spec_.DeclaredWork_;
  const bool Contended = P.Queue_.size() > 1;
  R.Work_ =
      Contended ? RunTime.conservative(Declared) : RunTime.expected(Declared);
  return Now_ + R.Work_ >= R.Spec_.Deadline_;
}

std::optional<Reason> Dispatcher::queueRefusal(const OpenRequest &R,
                                               PoolState &P) {
  if (P.Queue_.empty() || R.Work_.count() <= 0)
    return std::nullopt;
  const Micros Left = R.Spec_.Deadline_ - Now_ - R.Work_;
  // Assumes that each slot in use serves one request per run time.
  const auto Rounds = static_cast<std::size_t>(Left / R.Work_);
  const std::size_t Served =
      std::min(Config_.QueueLimit_,
               (Rounds + 1) * std::max<std::size_t>(1, P.InFlight_));
  if (P.Queue_.countAhead(waitingRequest(R), Served + 1) > Served)
    return Reason::WindowTooShort;
  return std::nullopt;
}

bool Dispatcher::makeRoom(const WaitingRequest &W, PoolState &P) {
  if (P.Queue_.size() < Config_.QueueLimit_)
    return true;
  const auto Victim = P.Queue_.victimFor(W);
  if (!Victim)
    return false;
  const Reason Why = P.Queue_.exceedsShare(Victim->Team_) ? Reason::OverQuota
                                                          : Reason::QueueFull;
  finishUnserved(OpenRequests_.at(Victim->Sequence_), Why);
  return true;
}

void Dispatcher::admit(OpenRequest &R) {
  PoolState &P = poolOf(R);
  if (!Placement_.anyTakesWork(R.Spec_.Pool_))
    return finishUnserved(R, Reason::NoWorkers);
  if (tooLate(R)) {
    P.RunTime_.refused();
    return finishUnserved(R, Reason::WindowTooShort);
  }
  if (const auto Why = queueRefusal(R, P))
    return finishUnserved(R, *Why);
  if (!makeRoom(waitingRequest(R), P))
    return finishUnserved(R, P.Queue_.exceedsShare(R.Spec_.Team_)
                                 ? Reason::OverQuota
                                 : Reason::QueueFull);
  enqueue(R);
  serveQueue(R.Spec_.Pool_);
}

void Dispatcher::enqueue(OpenRequest &R) {
  R.Stage_ = Stage::Queued;
  poolOf(R).Queue_.push(waitingRequest(R));
  setTimer(R, std::max(Now_ + MinTimerDelay, R.Spec_.Deadline_ - R.Work_));
}

void Dispatcher::park(OpenRequest &R) {
  R.Stage_ = Stage::Parked;
  setTimer(R, std::min(R.Spec_.Deadline_, Now_ + Config_.RetryDelay_));
}

// Placement.

void Dispatcher::serveQueue(const PoolId &Pool) {
  const auto I = Pools_.find(Pool);
  if (I == Pools_.end())
    return;
  while (!I->second.Queue_.empty())
    if (!serveFront(I->second))
      return;
}

void Dispatcher::serveAllQueues() {
  for (const PoolId &Spare : SparePools_)
    serveQueue(Spare);
  for (auto &[Name, P] : Pools_)
    if (!P.Queue_.empty())
      serveQueue(Name);
}

bool Dispatcher::serveFront(PoolState &P) {
  OpenRequest &R = OpenRequests_.at(P.Queue_.front()->Sequence_);
  if (tooLate(R)) {
    finishUnserved(R, Reason::WindowTooShort);
    return true;
  }
  const auto Choice = findWorker(R, P);
  if (!Choice) {
    preemptFor(R, P);
    return false;
  }
  P.Queue_.serve(R.Sequence_);
  Counters_.Overflowed_ += Choice->Kind_ == PlacementKind::Overflow;
  Counters_.OtherZone_ += Choice->Kind_ == PlacementKind::OtherZone;
  startTry(R, P, *Choice);
  return true;
}

PlacementRules Dispatcher::rulesFor(const OpenRequest &R,
                                    const PoolState &P) const {
  PlacementRules Rules;
  Rules.Pool_ = R.Spec_.Pool_;
  Rules.Exclude_ = R.FailedWorkers_;
  Rules.Retry_ = R.TryCount_ != 0;
  Rules.BorrowMargin_ = P.Margin_.slots(Now_);
  if (!Config_.Overflow_ || !P.Pool_.MayOverflow_ || P.Pool_.Spare_)
    return Rules;
  std::ranges::copy_if(
      SparePools_, std::back_inserter(Rules.Overflow_),
      [this](const PoolId &Spare) { return Pools_.at(Spare).Queue_.empty(); });
  return Rules;
}

std::optional<WorkerChoice> Dispatcher::findWorker(const OpenRequest &R,
                                                   const PoolState &P) {
  PlacementRules Rules = rulesFor(R, P);
  auto Choice = Placement_.find(Rules, Now_);
  if (Choice || Rules.Exclude_.empty())
    return Choice;
  // A retry may return to a worker that failed when no other has room.
  Rules.Exclude_ = {};
  return Placement_.find(Rules, Now_);
}

void Dispatcher::preemptFor(OpenRequest &R, const PoolState &P) {
  const bool Due =
      R.PreemptedAt_ == Instant() || Now_ - R.PreemptedAt_ >= PreemptInterval;
  if (R.Spec_.Urgency_ != Urgency::Urgent || !Due)
    return;
  const auto Worker = Placement_.preemptible(P.Pool_.Name_);
  if (!Worker)
    return;
  R.PreemptedAt_ = Now_;
  --Registry_.find(*Worker)->BatchTasks_;
  ++Counters_.Preempts_;
  Out_.push_back(Preempt{*Worker});
}

void Dispatcher::startTry(OpenRequest &R, PoolState &P,
                          const WorkerChoice &Choice) {
  if (R.TryCount_ == 0)
    Budget_.earn();
  if (R.Spec_.Key_)
    return startClaim(R, P, Choice);
  R.Stage_ = Stage::Trying;
  R.Attempt_ = newAttempt();
  emitSend(R, Send{R.Spec_.Request_, R.Attempt_, Choice.Worker_});
  setTimer(R, R.Spec_.Deadline_);
}

void Dispatcher::startClaim(OpenRequest &R, const PoolState &P,
                            const WorkerChoice &Choice) {
  R.Stage_ = Stage::Claiming;
  if (!R.Claim_)
    R.Claim_.emplace(R.Spec_, Config_.Entry_, Config_.Claim_);
  std::vector<InstanceId> Workers = Placement_.alternatives(
      rulesFor(R, P), Choice, MaxNamedWorkers - 1, Now_);
  Workers.insert(Workers.begin(), Choice.Worker_);
  R.Reserved_ = Choice.Worker_;
  Registry_.occupy(Choice.Worker_);
  std::vector<std::string> Boots;
  for (const InstanceId &Worker : Workers) {
    const WorkerState *W = Registry_.find(Worker);
    Boots.push_back(W ? W->Boot_ : std::string());
  }
  stepClaim(R, [&](Claim &C, ClaimStep &Step) {
    C.startAttempt(newAttempt(), std::move(Workers), std::move(Boots), Step);
  });
}

void Dispatcher::emitSend(OpenRequest &R, Send S) {
  releaseReservation(R);
  Registry_.occupy(S.Worker_);
  const RequestSpec &Request = R.Spec_;
  const Micros Left = Request.Deadline_ - Now_;
  // Reserves at most a quarter of the remaining window for fencing.
  const Micros FenceReserve =
      Request.Key_ ? std::min(Config_.Claim_.FenceReserve_, Left / 4)
                   : Micros(0);
  S.Timeout_ = std::max(Micros(1), Left - FenceReserve);
  const WorkerState *W = Registry_.find(S.Worker_);
  if (W && W->ClockMs_ != 0)
    S.StartByMs_ =
        W->ClockMs_ + toMillis(Request.Deadline_ - W->ClockAt_).count();
  ++(R.TryCount_++ == 0 ? Counters_.FirstTries_ : Counters_.Retries_);
  ++poolOf(R).InFlight_;
  OpenTries_[{S.Attempt_, S.Worker_}] = {Request.Pool_, Request.DeclaredWork_,
                                         causeOf(Request), Now_};
  Out_.push_back(std::move(S));
}

// Answering requests.

void Dispatcher::finish(OpenRequest &R, Answer A) {
  if (R.Answered_)
    return;
  R.Answered_ = true;
  ++Counters_.Outcomes_.at(static_cast<std::size_t>(A.Outcome_));
  ++Counters_.Reasons_.at(static_cast<std::size_t>(A.Reason_));
  Out_.push_back(std::move(A));
  releaseReservation(R);
  Timers_.erase({R.TimerAt_, R.Sequence_});
  if (const auto P = Pools_.find(R.Spec_.Pool_); P != Pools_.end())
    P->second.Queue_.erase(R.Sequence_);
  SequenceById_.erase(R.Spec_.Request_);
  Finished_.push_back(R.Sequence_);
}

void Dispatcher::finishUnserved(OpenRequest &R, Reason Why) {
  if (R.Claim_)
    return stepClaim(R,
                     [&](Claim &C, ClaimStep &Step) { C.giveUp(Why, Step); });
  if (R.MayHaveRun_)
    return finish(R, {R.Spec_.Request_, Outcome::Unknown, Reason::AnswerLost});
  finish(R, {R.Spec_.Request_, Outcome::NotRun, Why});
}

void Dispatcher::removeFinished() {
  // Waking the followers of a key may append to Finished_.
  std::size_t Next = 0;
  while (Next != Finished_.size()) {
    const OpenRequest &R = OpenRequests_.at(Finished_[Next++]);
    if (!R.Spec_.Key_)
      continue;
    const ClaimKey Key(R.Spec_.Team_, *R.Spec_.Key_);
    const auto Leader = Leaders_.find(Key);
    if (Leader == Leaders_.end() || Leader->second != R.Sequence_)
      continue;
    Leaders_.erase(Leader);
    wakeFollowers(Key, R.Claim_ && R.Claim_->recorded());
  }
  for (const Sequence S : Finished_)
    OpenRequests_.erase(S);
  Finished_.clear();
}

void Dispatcher::wakeFollowers(const ClaimKey &Key, bool Recorded) {
  auto Node = Followers_.extract(Key);
  if (Node.empty())
    return;
  for (const Sequence S : Node.mapped()) {
    const auto I = OpenRequests_.find(S);
    if (I == OpenRequests_.end() || I->second.Answered_)
      continue;
    OpenRequest &R = I->second;
    if (Recorded)
      lookUpClaim(R);
    else if (!joinsLeader(R))
      admit(R);
  }
}

void Dispatcher::lookUpClaim(OpenRequest &R) {
  R.Stage_ = Stage::Claiming;
  R.Claim_.emplace(R.Spec_, Config_.Entry_, Config_.Claim_);
  stepClaim(R, [](Claim &C, ClaimStep &Step) { C.lookUp(Step); });
}

void Dispatcher::handle(const CallerLeft &E) {
  OpenRequest *R = find(E.Request_);
  if (!R)
    return;
  R->CallerLeft_ = true;
  if (R->Stage_ == Stage::Joined)
    return finish(*R, {E.Request_, Outcome::Unknown, Reason::ClaimPending});
  if (R->Stage_ == Stage::Queued || R->Stage_ == Stage::Parked)
    finishUnserved(*R, Reason::None);
}

// Timers.

void Dispatcher::setTimer(OpenRequest &R, Instant At) {
  if (R.Answered_)
    return;
  Timers_.erase({R.TimerAt_, R.Sequence_});
  R.TimerAt_ = At;
  Timers_.emplace(At, R.Sequence_);
}

void Dispatcher::runTimers() {
  while (!Timers_.empty() && Timers_.begin()->first <= Now_) {
    const Sequence S = Timers_.begin()->second;
    Timers_.erase(Timers_.begin());
    OpenRequest &R = OpenRequests_.at(S);
    if (!R.Answered_)
      onTimer(R);
  }
}

void Dispatcher::onTimer(OpenRequest &R) {
  const bool DeadlinePassed = Now_ >= R.Spec_.Deadline_;
  switch (R.Stage_) {
  case Stage::Queued:
    if (DeadlinePassed || tooLate(R))
      return finishUnserved(R, Reason::WindowTooShort);
    return setTimer(
        R, std::max(Now_ + MinTimerDelay, R.Spec_.Deadline_ - R.Work_));
  case Stage::Parked:
    return retryOrPark(R);
  case Stage::Trying:
    return finish(R,
                  {R.Spec_.Request_, Outcome::Unknown, Reason::WindowPassed});
  case Stage::Claiming:
    return stepClaim(R, [](Claim &C, ClaimStep &Step) { C.onWake(Step); });
  case Stage::Joined:
    return finish(R,
                  {R.Spec_.Request_, Outcome::Unknown, Reason::ClaimPending});
  }
}

void Dispatcher::handle(const Tick &) { serveAllQueues(); }

// Fleet changes.

void Dispatcher::handle(const Reported &E) {
  Registry_.report(E.Report_, Now_);
  const WorkerState *W = Registry_.find(E.Report_.Worker_);
  if (!W)
    return;
  const auto P = Pools_.find(W->Pool_);
  if (P != Pools_.end() && P->second.Pool_.Spare_)
    return serveAllQueues();
  serveQueue(W->Pool_);
}

void Dispatcher::handle(const FleetChanged &E) {
  HasFleet_ = true;
  Registry_.apply(E.Fleet_);
  for (auto &[Name, P] : Pools_)
    P.Pool_.Removed_ = true;
  for (const auto &[Name, P] : E.Fleet_.Pools_)
    Pools_[Name].Pool_ = P;
  Weights_.clear();
  for (const auto &[Team, Q] : E.Fleet_.Quotas_)
    Weights_.emplace(Team, Q.Weight_);
  SparePools_.clear();
  for (auto &[Name, P] : Pools_) {
    P.Queue_.setWeights(Weights_);
    if (P.Pool_.Removed_)
      drainRemovedPool(P);
    else if (P.Pool_.Spare_)
      SparePools_.push_back(Name);
  }
  serveAllQueues();
}

void Dispatcher::drainRemovedPool(PoolState &P) {
  while (const auto W = P.Queue_.front())
    finishUnserved(OpenRequests_.at(W->Sequence_), Reason::NoSuchPool);
}

void Dispatcher::handle(const StopBegan &) { Stopping_ = true; }

} // namespace heathercross::request
