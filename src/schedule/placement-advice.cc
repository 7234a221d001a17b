// What the placement service has said about the steps of a pool's jobs.
#include "schedule/placement-advice.h"

#include <algorithm>
#include <utility>

namespace heathercross::schedule {

namespace {

/// The first query names as many workers as the objective of a job allows time
/// for.
constexpr std::size_t FirstNamed = 30;
/// A query takes at most this long, so that others get their turn, and at most
/// half of the time for which its tickets are valid.
constexpr Millis MaxQuery{1000};
/// A query that takes this much longer than the settings say names too many
/// workers.
constexpr Millis QuerySlack{500};
/// The shortest time to wait for an answer: an entry that is short of processor
/// time reads it late.
constexpr Millis MinTimeout{3000};

Millis longestQuery(const AdviceTimes &T) {
  return T.Valid_ > Millis(0) ? std::min(MaxQuery, T.Valid_ / 2) : MaxQuery;
}

Millis expected(const AdviceTimes &T, std::size_t Workers) {
  return T.Decide_ + T.Each_ * static_cast<std::int64_t>(Workers);
}

} // namespace

const char *adviceStateName(AdviceState S) {
  switch (S) {
  case AdviceState::Unknown:
    return "not-asked";
  case AdviceState::NoneAllowedSoFar:
    return "none-allowed-so-far";
  case AdviceState::NoneAllowed:
    return "none-allowed";
  case AdviceState::NoRoom:
    return "allowed-no-room";
  case AdviceState::Placeable:
    return "allowed";
  }
  return "unknown";
}

std::size_t AdviceBatch::limit(const AdviceTimes &T,
                               std::uint32_t Answered) const {
  std::size_t Limit = std::min(Answered == 0 ? FirstNamed : MaxNamed, Cap_);
  if (T.Each_ > Millis(0)) {
    const auto Rest = std::max(longestQuery(T) - T.Decide_, Millis(0));
    Limit = std::min(Limit, static_cast<std::size_t>(Rest / T.Each_));
  }
  return std::max<std::size_t>(Limit, 1);
}

Millis AdviceBatch::timeout(const AdviceTimes &T, std::size_t Workers) {
  return std::max(MinTimeout, 2 * expected(T, Workers));
}

void AdviceBatch::took(const AdviceTimes &T, std::size_t Workers,
                       Micros Duration, bool Answered) {
  const Millis Slow =
      std::max(longestQuery(T), expected(T, Workers)) + QuerySlack;
  if (Duration > Slow)
    Cap_ = std::max<std::size_t>(Workers / 2, 1);
  else if (Answered && Workers >= Cap_)
    Cap_ = std::min(2 * Cap_, MaxNamed);
}

WorkerNumber PlacementAdvice::addWorker() {
  const auto Free = std::ranges::find(Numbers_, false);
  const auto N = static_cast<WorkerNumber>(Free - Numbers_.begin());
  if (Free == Numbers_.end())
    Numbers_.push_back(true);
  else
    *Free = true;
  return N;
}

void PlacementAdvice::removeWorker(WorkerNumber N) {
  workerRestarted(N);
  Numbers_[N] = false;
}

void PlacementAdvice::workerRestarted(WorkerNumber N) {
  for (auto &[Key, S] : Steps_)
    forgetWorker(S, N);
}

void PlacementAdvice::forgetWorker(Step &S, WorkerNumber N) {
  S.Tickets_.erase(N);
  if (N < S.Refused_.size())
    S.Refused_[N] = false;
}

const PlacementAdvice::Step *PlacementAdvice::find(const StepKey &Key) const {
  const auto It = Steps_.find(Key);
  return It == Steps_.end() ? nullptr : &It->second;
}

void PlacementAdvice::record(const StepKey &Key, WorkerNumber N,
                             std::optional<std::string> Ticket,
                             Instant ValidUntil) {
  Step &S = Steps_[Key];
  forgetWorker(S, N);
  if (Ticket) {
    S.Tickets_[N] = {std::move(*Ticket), ValidUntil};
    return;
  }
  if (N >= S.Refused_.size())
    S.Refused_.resize(N + 1);
  S.Refused_[N] = true;
}

void PlacementAdvice::asked(const StepKey &Key, Instant At) {
  Steps_[Key].LastAsked_ = At;
}

void PlacementAdvice::answered(const StepKey &Key) { ++Steps_[Key].Queries_; }

PlacementAdvice::Answer
PlacementAdvice::answer(const StepKey &Key, WorkerNumber N, Instant Now) const {
  const Step *S = find(Key);
  if (!S)
    return Answer::None;
  if (const auto T = S->Tickets_.find(N); T != S->Tickets_.end())
    return Now < T->second.ValidUntil_ ? Answer::Valid : Answer::Expired;
  return N < S->Refused_.size() && S->Refused_[N] ? Answer::Refused
                                                  : Answer::None;
}

std::string PlacementAdvice::ticket(const StepKey &Key, WorkerNumber N) const {
  const Step *S = find(Key);
  if (!S)
    return {};
  const auto It = S->Tickets_.find(N);
  return It == S->Tickets_.end() ? std::string() : It->second.Text_;
}

void PlacementAdvice::ticketRejected(const StepKey &Key, WorkerNumber N) {
  if (const auto It = Steps_.find(Key); It != Steps_.end())
    forgetWorker(It->second, N);
}

bool PlacementAdvice::anyAllowed(const StepKey &Key) const {
  const Step *S = find(Key);
  return S && !S->Tickets_.empty();
}

std::uint32_t PlacementAdvice::queries(const StepKey &Key) const {
  const Step *S = find(Key);
  return S ? S->Queries_ : 0;
}

std::optional<Instant> PlacementAdvice::lastAsked(const StepKey &Key) const {
  const Step *S = find(Key);
  return S ? S->LastAsked_ : std::nullopt;
}

bool PlacementAdvice::setState(const StepKey &Key, AdviceState New) {
  const auto It = Steps_.find(Key);
  return It != Steps_.end() && std::exchange(It->second.State_, New) != New;
}

void PlacementAdvice::forget(const JobId &Id) {
  Steps_.erase(Steps_.lower_bound({Id, 0, 0}),
               Steps_.upper_bound({Id, ~0U, ~0U}));
}

} // namespace heathercross::schedule
