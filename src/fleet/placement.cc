// Assigns instances to pools and spreads each pool over racks and zones.
#include "fleet/placement.h"

#include <algorithm>
#include <numeric>
#include <optional>
#include <set>
#include <tuple>

namespace heathercross::fleet {

namespace {

std::uint32_t total(const RackCounts &Counts) {
  return std::accumulate(
      Counts.begin(), Counts.end(), std::uint32_t{0},
      [](std::uint32_t Sum, const auto &Entry) { return Sum + Entry.second; });
}

/// Distributes the free instances of racks over pools. If a pool finds no rack
/// below its limit, assignments of other pools move to other racks (augmenting
/// paths), so that a pool exceeds its limit only if no distribution avoids it.
class SpreadPlanner {
public:
  SpreadPlanner(const std::vector<PoolNeed> &Needs, RackCounts Free)
      : Needs_(Needs), Free_(std::move(Free)), Assigned_(Needs.size()) {}

  /// Assigns one instance at a time to the pool with the largest deficit
  /// relative to its size.
  void assignAll() {
    while (total(Free_) > 0) {
      const auto Next = poolWithLargestDeficit();
      if (!Next)
        return;
      std::set<RackLocation> Visited;
      if (!assignWithinLimit(*Next, Visited))
        assignIgnoringLimit(*Next);
    }
  }

  const std::vector<RackCounts> &assigned() const { return Assigned_; }

private:
  std::uint32_t remainingDeficit(std::size_t P) const {
    const auto Deficit = Needs_[P].deficit();
    const auto Assigned = total(Assigned_[P]);
    return Deficit > Assigned ? Deficit - Assigned : 0;
  }

  std::optional<std::size_t> poolWithLargestDeficit() const {
    std::optional<std::size_t> Best;
    double BestShare = 0;
    for (std::size_t P = 0; P < Needs_.size(); ++P) {
      const double Share =
          double(remainingDeficit(P)) / std::max(1U, Needs_[P].Size_);
      if (Share <= BestShare)
        continue;
      Best = P;
      BestShare = Share;
    }
    return Best;
  }

  std::uint32_t membersIn(std::size_t P, const RackLocation &R) const {
    const auto Existing = Needs_[P].Members_.find(R);
    const auto Added = Assigned_[P].find(R);
    return (Existing == Needs_[P].Members_.end() ? 0 : Existing->second) +
           (Added == Assigned_[P].end() ? 0 : Added->second);
  }

  std::uint32_t membersInZone(std::size_t P, const ZoneId &Zone) const {
    std::uint32_t Sum = 0;
    for (const auto &[R, Count] : Needs_[P].Members_)
      Sum += R.Zone_ == Zone ? Count : 0;
    for (const auto &[R, Count] : Assigned_[P])
      Sum += R.Zone_ == Zone ? Count : 0;
    return Sum;
  }

  /// Returns the racks in the pool's order of preference: fewest of its members
  /// in the rack, then fewest in the zone, then most free instances.
  std::vector<RackLocation> preferredRacks(std::size_t P) const {
    std::map<ZoneId, std::uint32_t> InZone;
    std::vector<std::tuple<std::uint32_t, std::uint32_t, int, RackLocation>>
        Keys;
    for (const auto &[R, Count] : Free_) {
      const auto Zone = InZone.find(R.Zone_);
      if (Zone == InZone.end())
        InZone[R.Zone_] = membersInZone(P, R.Zone_);
      Keys.emplace_back(membersIn(P, R), InZone[R.Zone_], -int(Count), R);
    }
    std::ranges::sort(Keys);
    std::vector<RackLocation> Result;
    std::ranges::transform(Keys, std::back_inserter(Result),
                           [](const auto &Key) { return std::get<3>(Key); });
    return Result;
  }

  void assign(std::size_t P, const RackLocation &R) {
    --Free_[R];
    ++Assigned_[P][R];
  }

  bool assignWithinLimit(std::size_t P, std::set<RackLocation> &Visited) {
    const auto Racks = preferredRacks(P);
    const auto Limit = Needs_[P].rackLimit();
    for (const auto &R : Racks)
      if (Free_[R] > 0 && membersIn(P, R) < Limit) {
        assign(P, R);
        return true;
      }
    for (const auto &R : Racks)
      if (membersIn(P, R) < Limit && Visited.insert(R).second &&
          freeRackSlot(P, R, Visited)) {
        assign(P, R);
        return true;
      }
    return false;
  }

  /// Moves one assignment of another pool from this rack to a different one.
  bool freeRackSlot(std::size_t For, const RackLocation &R,
                    std::set<RackLocation> &Visited) {
    for (std::size_t Q = 0; Q < Needs_.size(); ++Q) {
      if (Q == For || Assigned_[Q][R] == 0)
        continue;
      if (!assignWithinLimit(Q, Visited))
        continue;
      --Assigned_[Q][R];
      ++Free_[R];
      return true;
    }
    return false;
  }

  void assignIgnoringLimit(std::size_t P) {
    for (const auto &R : preferredRacks(P))
      if (Free_[R] > 0) {
        assign(P, R);
        return;
      }
  }

  const std::vector<PoolNeed> &Needs_;
  RackCounts Free_;
  std::vector<RackCounts> Assigned_;
};

RackCounts countByRack(const std::vector<ListedInstance> &Instances) {
  RackCounts Counts;
  for (const auto &I : Instances)
    ++Counts[{I.Zone_, I.Rack_}];
  return Counts;
}

/// Chooses the instances for the counts by rack, in order of their names.
std::vector<Assignment> selectInstances(const std::vector<PoolNeed> &Needs,
                                        std::vector<RackCounts> Assigned,
                                        std::vector<ListedInstance> Free) {
  std::ranges::sort(Free, {}, &ListedInstance::Name_);
  std::vector<Assignment> Result;
  for (const auto &I : Free) {
    const RackLocation R{I.Zone_, I.Rack_};
    for (std::size_t P = 0; P < Needs.size(); ++P) {
      if (Assigned[P][R] == 0)
        continue;
      --Assigned[P][R];
      Result.push_back({I.Name_, Needs[P].Pool_});
      break;
    }
  }
  return Result;
}

std::vector<RackRisk> risksOf(const PoolNeed &Need, const RackCounts &Members) {
  std::vector<RackRisk> Result;
  const auto Total = total(Members);
  for (const auto &[R, Count] : Members)
    if (Count > 0 && Total - Count < Need.MinAvailable_)
      Result.push_back(
          {Need.Pool_, R, Total - Count, Need.MinAvailable_, false});
  return Result;
}

/// Distributes all members again from scratch, at the pools' current sizes.
std::vector<RackCounts> redistribute(std::vector<PoolNeed> Needs) {
  RackCounts Total;
  for (auto &Need : Needs) {
    for (const auto &[R, Count] : Need.Members_)
      Total[R] += Count;
    Need.Size_ = total(Need.Members_);
    Need.Members_.clear();
  }
  SpreadPlanner Planner(Needs, Total);
  Planner.assignAll();
  return Planner.assigned();
}

} // namespace

std::uint32_t PoolNeed::memberCount() const { return total(Members_); }

std::uint32_t PoolNeed::deficit() const {
  const auto Count = memberCount();
  return Size_ > Count ? Size_ - Count : 0;
}

std::uint32_t PoolNeed::rackLimit() const {
  return Size_ > MinAvailable_ ? Size_ - MinAvailable_ : 1;
}

std::vector<Assignment> place(const std::vector<PoolNeed> &Needs,
                              const std::vector<ListedInstance> &Free) {
  SpreadPlanner Planner(Needs, countByRack(Free));
  Planner.assignAll();
  return selectInstances(Needs, Planner.assigned(), Free);
}

std::vector<RackRisk> rackRisks(const std::vector<PoolNeed> &Needs) {
  std::vector<RackRisk> Result;
  const auto Redistributed = redistribute(Needs);
  for (std::size_t P = 0; P < Needs.size(); ++P) {
    const bool Avoidable = risksOf(Needs[P], Redistributed[P]).empty();
    for (auto Risk : risksOf(Needs[P], Needs[P].Members_)) {
      Risk.Avoidable_ = Avoidable;
      Result.push_back(Risk);
    }
  }
  return Result;
}

} // namespace heathercross::fleet
