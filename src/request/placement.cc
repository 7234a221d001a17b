// Chooses a worker for a request: own zone, spare pool, other zones.
#include "request/placement.h"

#include <algorithm>

namespace heathercross::request {

namespace {
bool takesWork(const WorkerState &W) { return W.TakesWork_ && !W.Leaving_; }

bool contains(std::span<const InstanceId> Names, const InstanceId &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

bool healthy(const WorkerState &W, Instant Now) {
  const HealthGate Gate = HealthTracker::gate(W, Now);
  return Gate == HealthGate::Open ||
         (Gate == HealthGate::Probe && W.InFlight_ == 0);
}
} // namespace

Placement::Placement(const Config &C, const WorkerRegistry &Registry)
    : Config_(C), Registry_(Registry) {}

std::optional<std::uint32_t>
Placement::search(std::span<const std::uint32_t> Indices,
                  const SearchTerms &Terms,
                  std::span<const InstanceId> Exclude) {
  const auto MayUse = [&](const WorkerState &W) {
    return takesWork(W) && healthy(W, Terms.Now_) &&
           !contains(Exclude, W.Name_);
  };
  const auto Pick = [&](const auto &Policy) {
    const std::uint64_t Start = mix(Config_.Seed_, ++Searches_);
    return pickWorker(Policy, Registry_.all(), Indices, Start, Terms, MayUse);
  };
  switch (Config_.Policy_) {
  case PickerPolicy::Random:
    return Pick(RandomPicker());
  case PickerPolicy::LeastLoaded:
    return Pick(LeastLoadedPicker());
  case PickerPolicy::SharedSlots:
    return Pick(SharedSlotsPicker());
  }
  return std::nullopt;
}

bool Placement::ownZoneHasNoWorker(const PoolId &Pool) const {
  return std::ranges::none_of(
      Registry_.workersOf(Pool).Local_,
      [this](std::uint32_t I) { return takesWork(Registry_.at(I)); });
}

std::optional<WorkerChoice> Placement::find(const PlacementRules &Rules,
                                            Instant Now) {
  SearchTerms Terms{Now, Config_.ReportMaxAge_};
  Terms.BorrowMargin_ = Rules.BorrowMargin_;
  const PoolWorkers &Workers = Registry_.workersOf(Rules.Pool_);
  if (const auto I = search(Workers.Local_, Terms, Rules.Exclude_))
    return WorkerChoice{Registry_.at(*I).Name_, PlacementKind::OwnZone};
  Terms.ReservedShare_ = Config_.SpareReserve_;
  for (const PoolId &Spare : Rules.Overflow_)
    if (const auto I =
            search(Registry_.workersOf(Spare).Local_, Terms, Rules.Exclude_))
      return WorkerChoice{Registry_.at(*I).Name_, PlacementKind::Overflow};
  const bool NoLocalWorker = ownZoneHasNoWorker(Rules.Pool_);
  if (Rules.Retry_ && !NoLocalWorker)
    return std::nullopt;
  Terms.ReservedShare_ = 0;
  Terms.MaxShare_ =
      NoLocalWorker ? Config_.LostZoneShare_ : Config_.FullZoneShare_;
  if (const auto I = search(Workers.Remote_, Terms, Rules.Exclude_))
    return WorkerChoice{Registry_.at(*I).Name_, PlacementKind::OtherZone};
  return std::nullopt;
}

std::vector<InstanceId> Placement::alternatives(const PlacementRules &Rules,
                                                const WorkerChoice &First,
                                                std::size_t Count,
                                                Instant Now) {
  std::vector<InstanceId> Excluded(Rules.Exclude_.begin(),
                                   Rules.Exclude_.end());
  Excluded.push_back(First.Worker_);
  std::vector<InstanceId> Found;
  PlacementRules NextRules = Rules;
  while (Found.size() != Count) {
    NextRules.Exclude_ = Excluded;
    const auto Next = find(NextRules, Now);
    if (!Next)
      break;
    Found.push_back(Next->Worker_);
    Excluded.push_back(Next->Worker_);
  }
  return Found;
}

bool Placement::anyTakesWork(const PoolId &Pool) const {
  const auto Takes = [this](std::uint32_t I) {
    return takesWork(Registry_.at(I));
  };
  const PoolWorkers &Lists = Registry_.workersOf(Pool);
  return std::ranges::any_of(Lists.Local_, Takes) ||
         std::ranges::any_of(Lists.Remote_, Takes);
}

std::optional<InstanceId> Placement::preemptible(const PoolId &Pool) const {
  const PoolWorkers &Lists = Registry_.workersOf(Pool);
  const auto BatchTasks = [this](std::uint32_t I) {
    const WorkerState &W = Registry_.at(I);
    return takesWork(W) ? W.BatchTasks_ : 0;
  };
  const auto Best = std::ranges::max_element(Lists.Local_, {}, BatchTasks);
  if (Best == Lists.Local_.end() || BatchTasks(*Best) == 0)
    return std::nullopt;
  return Registry_.at(*Best).Name_;
}

} // namespace heathercross::request
