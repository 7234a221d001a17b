// The waiting requests of one pool: start-time fair queueing over teams, with
// deadlines in between.
#include "request/fair-queue.h"

#include <algorithm>
#include <limits>

namespace heathercross::request {

namespace {
/// How far (in weighted work, microseconds) teams may run apart before shares
/// go before deadlines.
constexpr double DeadlineSlack = 100'000;
/// Teams remembered beyond those that wait.
constexpr std::size_t MostTags = 1024;

std::size_t classOf(Urgency U) { return static_cast<std::size_t>(U); }
} // namespace

double FairQueue::weight(const TeamId &Team) const {
  const auto I = Weights_.find(Team);
  return I == Weights_.end() ? 1.0 : std::max(1U, I->second);
}

double FairQueue::startTag(const TeamId &Team) const {
  const auto I = FinishTags_.find(Team);
  return I == FinishTags_.end() ? VirtualTime_
                                : std::max(VirtualTime_, I->second);
}

void FairQueue::push(const Waiting &W) {
  if (!Items_.emplace(W.Sequence_, W).second)
    return;
  Classes_[classOf(W.Urgency_)][W.Team_].emplace(W.Deadline_, W.Sequence_);
  ++Queued_[W.Team_];
}

void FairQueue::erase(Sequence S) {
  const auto I = Items_.find(S);
  if (I == Items_.end())
    return;
  const Waiting &W = I->second;
  TeamQueues &Teams = Classes_[classOf(W.Urgency_)];
  const auto Queue = Teams.find(W.Team_);
  Queue->second.erase({W.Deadline_, S});
  if (Queue->second.empty())
    Teams.erase(Queue);
  const auto Count = Queued_.find(W.Team_);
  if (--Count->second == 0)
    Queued_.erase(Count);
  Items_.erase(I);
}

std::optional<Waiting> FairQueue::front() const {
  const auto Class = std::ranges::find_if(
      Classes_, [](const TeamQueues &Teams) { return !Teams.empty(); });
  if (Class == Classes_.end())
    return std::nullopt;
  double Least = std::numeric_limits<double>::infinity();
  for (const auto &[Team, Queue] : *Class)
    Least = std::min(Least, startTag(Team));
  std::optional<Place> Best;
  for (const auto &[Team, Queue] : *Class) {
    const bool WithinShare =
        startTag(Team) <= Least + DeadlineSlack / weight(Team);
    if (WithinShare && (!Best || *Queue.begin() < *Best))
      Best = *Queue.begin();
  }
  return Items_.at(Best->second);
}

void FairQueue::serve(Sequence S) {
  const auto I = Items_.find(S);
  if (I == Items_.end())
    return;
  const Waiting W = I->second;
  const double Start = startTag(W.Team_);
  VirtualTime_ = std::max(VirtualTime_, Start - DeadlineSlack);
  const auto Work =
      static_cast<double>(std::max<std::int64_t>(1, W.Work_.count()));
  FinishTags_[W.Team_] = Start + Work / weight(W.Team_);
  erase(S);
  if (FinishTags_.size() > MostTags)
    std::erase_if(FinishTags_, [this](const auto &Tag) {
      return Tag.second <= VirtualTime_;
    });
}

std::size_t FairQueue::aheadInClass(const Waiting &W, std::size_t Class,
                                    std::size_t Most) const {
  std::size_t Count = 0;
  for (const auto &[Team, Queue] : Classes_[Class]) {
    if (Class < classOf(W.Urgency_)) {
      Count += Queue.size();
      continue;
    }
    for (const Place &P : Queue) {
      if (P.first > W.Deadline_ || Count >= Most)
        break;
      ++Count;
    }
  }
  return Count;
}

std::size_t FairQueue::ahead(const Waiting &W, std::size_t Most) const {
  std::size_t ByDeadline = 0;
  for (std::size_t Class = 0; Class <= classOf(W.Urgency_); ++Class)
    ByDeadline += aheadInClass(W, Class, Most);
  double AllWeights = Queued_.contains(W.Team_) ? 0 : weight(W.Team_);
  for (const auto &[Team, Count] : Queued_)
    AllWeights += weight(Team);
  const auto Own = Queued_.find(W.Team_);
  const double OwnAhead =
      Own == Queued_.end() ? 0 : static_cast<double>(Own->second);
  const auto ByShare =
      static_cast<std::size_t>(OwnAhead * AllWeights / weight(W.Team_));
  return std::min({ByDeadline, ByShare, Most});
}

std::optional<Waiting> FairQueue::victimFor(const Waiting &W) const {
  std::size_t Class = Classes_.size();
  while (Class != 0 && Classes_[Class - 1].empty())
    --Class;
  if (Class == 0 || Class - 1 < classOf(W.Urgency_))
    return std::nullopt;
  const TeamQueues &Teams = Classes_[Class - 1];
  const auto Load = [this](const TeamId &Team, std::size_t Extra) {
    const auto I = Queued_.find(Team);
    const std::size_t Count = I == Queued_.end() ? 0 : I->second;
    return static_cast<double>(Count + Extra) / weight(Team);
  };
  const auto Worst =
      std::ranges::max_element(Teams, {}, [&](const auto &TeamQueue) {
        return Load(TeamQueue.first, 0);
      });
  const bool SameClass = Class - 1 == classOf(W.Urgency_);
  if (SameClass && Load(W.Team_, 1) >= Load(Worst->first, 0))
    return std::nullopt;
  return Items_.at(Worst->second.rbegin()->second);
}

bool FairQueue::overShare(const TeamId &Team) const {
  const auto Own = Queued_.find(Team);
  if (Own == Queued_.end() || Queued_.size() < 2)
    return false;
  double AllWeights = 0;
  for (const auto &[Other, Count] : Queued_)
    AllWeights += weight(Other);
  const double Fair =
      static_cast<double>(Items_.size()) * weight(Team) / AllWeights;
  return static_cast<double>(Own->second) > Fair;
}

} // namespace heathercross::request
