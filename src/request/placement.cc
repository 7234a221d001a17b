// Where a request goes: the order of the searches.
#include "request/placement.h"

#include <algorithm>

namespace heathercross::request {

namespace {
bool takesWork(const WorkerState &W) { return W.TakesWork_ && !W.Leaving_; }

bool contains(std::span<const InstanceId> Names, const InstanceId &Name) {
  return std::ranges::find(Names, Name) != Names.end();
}

bool healthy(const WorkerState &W, Instant Now) {
  const HealthGate Gate = HealthWatch::gate(W, Now);
  return Gate == HealthGate::Open ||
         (Gate == HealthGate::Probe && W.InFlight_ == 0);
}
} // namespace

Placement::Placement(const Config &C, const WorkerBoard &Board)
    : Config_(C), Board_(Board) {}

std::optional<std::uint32_t>
Placement::search(std::span<const std::uint32_t> Listed, const Ask &Terms,
                  std::span<const InstanceId> Exclude) {
  const auto MayUse = [&](const WorkerState &W) {
    return takesWork(W) && healthy(W, Terms.Now_) &&
           !contains(Exclude, W.Name_);
  };
  const auto With = [&](const auto &Policy) {
    const std::uint64_t Start = mix(Config_.Seed_, ++Searches_);
    return pickWorker(Policy, Board_.all(), Listed, Start, Terms, MayUse);
  };
  switch (Config_.Policy_) {
  case PickerPolicy::Random:
    return With(RandomPicker());
  case PickerPolicy::LeastLoaded:
    return With(LeastLoadedPicker());
  case PickerPolicy::SharedSlots:
    return With(SharedSlotsPicker());
  }
  return std::nullopt;
}

bool Placement::ownZoneLost(const PoolId &Pool) const {
  return std::ranges::none_of(Board_.of(Pool).Near_, [this](std::uint32_t I) {
    return takesWork(Board_.at(I));
  });
}

std::optional<Place> Placement::find(const PlaceRules &Rules, Instant Now) {
  Ask Terms{Now, Config_.ReportFresh_};
  Terms.BorrowMargin_ = Rules.BorrowMargin_;
  const PoolWorkers &Own = Board_.of(Rules.Pool_);
  if (const auto I = search(Own.Near_, Terms, Rules.Exclude_))
    return Place{Board_.at(*I).Name_, PlaceKind::OwnZone};
  Terms.Reserve_ = Config_.SpareReserve_;
  for (const PoolId &Spare : Rules.Overflow_)
    if (const auto I = search(Board_.of(Spare).Near_, Terms, Rules.Exclude_))
      return Place{Board_.at(*I).Name_, PlaceKind::Overflow};
  const bool Lost = ownZoneLost(Rules.Pool_);
  if (Rules.Retry_ && !Lost)
    return std::nullopt;
  Terms.Reserve_ = 0;
  Terms.Most_ = Lost ? Config_.LostZoneShare_ : Config_.FullZoneShare_;
  if (const auto I = search(Own.Far_, Terms, Rules.Exclude_))
    return Place{Board_.at(*I).Name_, PlaceKind::OtherZone};
  return std::nullopt;
}

std::vector<InstanceId> Placement::alternatives(const PlaceRules &Rules,
                                                const Place &First,
                                                std::size_t Count,
                                                Instant Now) {
  std::vector<InstanceId> Taken(Rules.Exclude_.begin(), Rules.Exclude_.end());
  Taken.push_back(First.Worker_);
  std::vector<InstanceId> Found;
  PlaceRules Rest = Rules;
  while (Found.size() != Count) {
    Rest.Exclude_ = Taken;
    const auto Next = find(Rest, Now);
    if (!Next)
      break;
    Found.push_back(Next->Worker_);
    Taken.push_back(Next->Worker_);
  }
  return Found;
}

bool Placement::anyTakesWork(const PoolId &Pool) const {
  const auto Takes = [this](std::uint32_t I) {
    return takesWork(Board_.at(I));
  };
  const PoolWorkers &Lists = Board_.of(Pool);
  return std::ranges::any_of(Lists.Near_, Takes) ||
         std::ranges::any_of(Lists.Far_, Takes);
}

std::optional<InstanceId> Placement::preemptible(const PoolId &Pool) const {
  const PoolWorkers &Lists = Board_.of(Pool);
  const auto Batch = [this](std::uint32_t I) {
    const WorkerState &W = Board_.at(I);
    return takesWork(W) ? W.BatchTasks_ : 0;
  };
  const auto Best = std::ranges::max_element(Lists.Near_, {}, Batch);
  if (Best == Lists.Near_.end() || Batch(*Best) == 0)
    return std::nullopt;
  return Board_.at(*Best).Name_;
}

} // namespace heathercross::request
