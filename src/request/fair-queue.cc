// Start-time fair queueing over teams, combined with earliest deadline first.
#include "request/fair-queue.h"

#include <algorithm>
#include <limits>

namespace heathercross::request {

namespace {
/// How far teams' virtual times may differ, in microseconds of work divided by
/// weight, before shares take precedence over deadlines.
constexpr double DeadlineSlack = 100'000;
/// Number of finish tags above which those in the past are removed.
constexpr std::size_t MaxFinishTags = 1024;

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

void FairQueue::push(const WaitingRequest &W) {
  if (!Items_.emplace(W.Sequence_, W).second)
    return;
  Classes_[classOf(W.Urgency_)][W.Team_].emplace(W.Deadline_, W.Sequence_);
  ++WaitingCount_[W.Team_];
}

void FairQueue::erase(Sequence S) {
  const auto I = Items_.find(S);
  if (I == Items_.end())
    return;
  const WaitingRequest &W = I->second;
  TeamQueues &Teams = Classes_[classOf(W.Urgency_)];
  const auto Queue = Teams.find(W.Team_);
  Queue->second.erase({W.Deadline_, S});
  if (Queue->second.empty())
    Teams.erase(Queue);
  const auto Count = WaitingCount_.find(W.Team_);
  if (--Count->second == 0)
    WaitingCount_.erase(Count);
  Items_.erase(I);
}

std::optional<WaitingRequest> FairQueue::front() const {
  const auto Class = std::ranges::find_if(
      Classes_, [](const TeamQueues &Teams) { return !Teams.empty(); });
  if (Class == Classes_.end())
    return std::nullopt;
  double MinStartTag = std::numeric_limits<double>::infinity();
  for (const auto &[Team, Queue] : *Class)
    MinStartTag = std::min(MinStartTag, startTag(Team));
  std::optional<QueueKey> Best;
  for (const auto &[Team, Queue] : *Class) {
    const bool WithinShare =
        startTag(Team) <= MinStartTag + DeadlineSlack / weight(Team);
    if (WithinShare && (!Best || *Queue.begin() < *Best))
      Best = *Queue.begin();
  }
  return Items_.at(Best->second);
}

void FairQueue::serve(Sequence S) {
  const auto I = Items_.find(S);
  if (I == Items_.end())
    return;
  const WaitingRequest W = I->second;
  const double Start = startTag(W.Team_);
  VirtualTime_ = std::max(VirtualTime_, Start - DeadlineSlack);
  const auto Work =
      static_cast<double>(std::max<std::int64_t>(1, W.Work_.count()));
  FinishTags_[W.Team_] = Start + Work / weight(W.Team_);
  erase(S);
  if (FinishTags_.size() > MaxFinishTags)
    std::erase_if(FinishTags_, [this](const auto &Tag) {
      return Tag.second <= VirtualTime_;
    });
}

std::size_t FairQueue::countAheadInClass(const WaitingRequest &W,
                                         std::size_t Class,
                                         std::size_t Limit) const {
  std::size_t Count = 0;
  for (const auto &[Team, Queue] : Classes_[Class]) {
    if (Class < classOf(W.Urgency_)) {
      Count += Queue.size();
      continue;
    }
    for (const QueueKey &Key : Queue) {
      if (Key.first > W.Deadline_ || Count >= Limit)
        break;
      ++Count;
    }
  }
  return Count;
}

std::size_t FairQueue::countAhead(const WaitingRequest &W,
                                  std::size_t Limit) const {
  std::size_t ByDeadline = 0;
  for (std::size_t Class = 0; Class <= classOf(W.Urgency_); ++Class)
    ByDeadline += countAheadInClass(W, Class, Limit);
  double TotalWeight = WaitingCount_.contains(W.Team_) ? 0 : weight(W.Team_);
  for (const auto &[Team, Count] : WaitingCount_)
    TotalWeight += weight(Team);
  const auto Own = WaitingCount_.find(W.Team_);
  const double OwnAhead =
      Own == WaitingCount_.end() ? 0 : static_cast<double>(Own->second);
  const auto ByShare =
      static_cast<std::size_t>(OwnAhead * TotalWeight / weight(W.Team_));
  return std::min({ByDeadline, ByShare, Limit});
}

std::optional<WaitingRequest>
FairQueue::victimFor(const WaitingRequest &W) const {
  std::size_t Class = Classes_.size();
  while (Class != 0 && Classes_[Class - 1].empty())
    --Class;
  if (Class == 0 || Class - 1 < classOf(W.Urgency_))
    return std::nullopt;
  const TeamQueues &Teams = Classes_[Class - 1];
  const auto Load = [this](const TeamId &Team, std::size_t Extra) {
    const auto I = WaitingCount_.find(Team);
    const std::size_t Count = I == WaitingCount_.end() ? 0 : I->second;
    return static_cast<double>(Count + Extra) / weight(Team);
  };
  const auto MostLoaded =
      std::ranges::max_element(Teams, {}, [&](const auto &TeamQueue) {
        return Load(TeamQueue.first, 0);
      });
  const bool SameClass = Class - 1 == classOf(W.Urgency_);
  if (SameClass && Load(W.Team_, 1) >= Load(MostLoaded->first, 0))
    return std::nullopt;
  return Items_.at(MostLoaded->second.rbegin()->second);
}

bool FairQueue::exceedsShare(const TeamId &Team) const {
  const auto Own = WaitingCount_.find(Team);
  if (Own == WaitingCount_.end() || WaitingCount_.size() < 2)
    return false;
  double TotalWeight = 0;
  for (const auto &[Other, Count] : WaitingCount_)
    TotalWeight += weight(Other);
  const double FairShare =
      static_cast<double>(Items_.size()) * weight(Team) / TotalWeight;
  return static_cast<double>(Own->second) > FairShare;
}

} // namespace heathercross::request
