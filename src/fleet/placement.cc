// Assigns instances to pools, spread over racks and zones.
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

/// Distributes the free places of racks over pools. A pool that finds no rack
/// under its limit makes another pool give way (augmenting paths), so that a
/// pool stays over its limit only when no distribution avoids it.
class Spread {
public:
  Spread(const std::vector<PoolNeed> &Needs, RackCounts Free)
      : Needs_(Needs), Free_(std::move(Free)), Given_(Needs.size()) {}

  /// Fills the pools turn by turn, the emptiest (by share) first.
  void run() {
    while (total(Free_) > 0) {
      const auto Next = neediest();
      if (!Next)
        return;
      std::set<RackPlace> Visited;
      if (!placeWithin(*Next, Visited))
        placeAnywhere(*Next);
    }
  }

  const std::vector<RackCounts> &given() const { return Given_; }

private:
  std::uint32_t lacking(std::size_t P) const {
    const auto Deficit = Needs_[P].deficit();
    const auto Given = total(Given_[P]);
    return Deficit > Given ? Deficit - Given : 0;
  }

  std::optional<std::size_t> neediest() const {
    std::optional<std::size_t> Best;
    double BestShare = 0;
    for (std::size_t P = 0; P < Needs_.size(); ++P) {
      const double Share = double(lacking(P)) / std::max(1U, Needs_[P].Size_);
      if (Share <= BestShare)
        continue;
      Best = P;
      BestShare = Share;
    }
    return Best;
  }

  std::uint32_t held(std::size_t P, const RackPlace &R) const {
    const auto Old = Needs_[P].Members_.find(R);
    const auto New = Given_[P].find(R);
    return (Old == Needs_[P].Members_.end() ? 0 : Old->second) +
           (New == Given_[P].end() ? 0 : New->second);
  }

  std::uint32_t heldInZone(std::size_t P, const ZoneId &Zone) const {
    std::uint32_t Sum = 0;
    for (const auto &[R, Count] : Needs_[P].Members_)
      Sum += R.Zone_ == Zone ? Count : 0;
    for (const auto &[R, Count] : Given_[P])
      Sum += R.Zone_ == Zone ? Count : 0;
    return Sum;
  }

  /// The racks in the order in which the pool prefers them: fewest of its own
  /// in the rack, then in the zone, then the rack with most free places.
  std::vector<RackPlace> preferred(std::size_t P) const {
    std::map<ZoneId, std::uint32_t> InZone;
    std::vector<std::tuple<std::uint32_t, std::uint32_t, int, RackPlace>> Keys;
    for (const auto &[R, Count] : Free_) {
      const auto Zone = InZone.find(R.Zone_);
      if (Zone == InZone.end())
        InZone[R.Zone_] = heldInZone(P, R.Zone_);
      Keys.emplace_back(held(P, R), InZone[R.Zone_], -int(Count), R);
    }
    std::ranges::sort(Keys);
    std::vector<RackPlace> Result;
    std::ranges::transform(Keys, std::back_inserter(Result),
                           [](const auto &Key) { return std::get<3>(Key); });
    return Result;
  }

  void take(std::size_t P, const RackPlace &R) {
    --Free_[R];
    ++Given_[P][R];
  }

  bool placeWithin(std::size_t P, std::set<RackPlace> &Visited) {
    const auto Racks = preferred(P);
    const auto Limit = Needs_[P].rackLimit();
    for (const auto &R : Racks)
      if (Free_[R] > 0 && held(P, R) < Limit) {
        take(P, R);
        return true;
      }
    for (const auto &R : Racks)
      if (held(P, R) < Limit && Visited.insert(R).second &&
          makeRoom(P, R, Visited)) {
        take(P, R);
        return true;
      }
    return false;
  }

  /// Moves one place of another pool out of the rack.
  bool makeRoom(std::size_t For, const RackPlace &R,
                std::set<RackPlace> &Visited) {
    for (std::size_t Q = 0; Q < Needs_.size(); ++Q) {
      if (Q == For || Given_[Q][R] == 0)
        continue;
      if (!placeWithin(Q, Visited))
        continue;
      --Given_[Q][R];
      ++Free_[R];
      return true;
    }
    return false;
  }

  void placeAnywhere(std::size_t P) {
    for (const auto &R : preferred(P))
      if (Free_[R] > 0) {
        take(P, R);
        return;
      }
  }

  const std::vector<PoolNeed> &Needs_;
  RackCounts Free_;
  std::vector<RackCounts> Given_;
};

RackCounts racksOf(const std::vector<ListedInstance> &Instances) {
  RackCounts Counts;
  for (const auto &I : Instances)
    ++Counts[{I.Zone_, I.Rack_}];
  return Counts;
}

/// Names instances for the places, in order of their names.
std::vector<Assignment> nameInstances(const std::vector<PoolNeed> &Needs,
                                      std::vector<RackCounts> Given,
                                      std::vector<ListedInstance> Free) {
  std::ranges::sort(Free, {}, &ListedInstance::Name_);
  std::vector<Assignment> Result;
  for (const auto &I : Free) {
    const RackPlace R{I.Zone_, I.Rack_};
    for (std::size_t P = 0; P < Needs.size(); ++P) {
      if (Given[P][R] == 0)
        continue;
      --Given[P][R];
      Result.push_back({I.Name_, Needs[P].Pool_});
      break;
    }
  }
  return Result;
}

std::vector<RackRisk> risksOf(const PoolNeed &Need, const RackCounts &Members) {
  std::vector<RackRisk> Result;
  const auto All = total(Members);
  for (const auto &[R, Count] : Members)
    if (Count > 0 && All - Count < Need.MinAvailable_)
      Result.push_back({Need.Pool_, R, All - Count, Need.MinAvailable_, false});
  return Result;
}

/// What the same racks would give if everything could be placed anew.
std::vector<RackCounts> placedAnew(std::vector<PoolNeed> Needs) {
  RackCounts All;
  for (auto &Need : Needs) {
    for (const auto &[R, Count] : Need.Members_)
      All[R] += Count;
    Need.Size_ = total(Need.Members_);
    Need.Members_.clear();
  }
  Spread S(Needs, All);
  S.run();
  return S.given();
}

} // namespace

std::uint32_t PoolNeed::memberCount() const { return total(Members_); }

std::uint32_t PoolNeed::deficit() const {
  const auto Have = memberCount();
  return Size_ > Have ? Size_ - Have : 0;
}

std::uint32_t PoolNeed::rackLimit() const {
  return Size_ > MinAvailable_ ? Size_ - MinAvailable_ : 1;
}

std::vector<Assignment> place(const std::vector<PoolNeed> &Needs,
                              const std::vector<ListedInstance> &Free) {
  Spread S(Needs, racksOf(Free));
  S.run();
  return nameInstances(Needs, S.given(), Free);
}

std::vector<RackRisk> rackRisks(const std::vector<PoolNeed> &Needs) {
  std::vector<RackRisk> Result;
  const auto Anew = placedAnew(Needs);
  for (std::size_t P = 0; P < Needs.size(); ++P) {
    const bool Avoidable = risksOf(Needs[P], Anew[P]).empty();
    for (auto Risk : risksOf(Needs[P], Needs[P].Members_)) {
      Risk.Avoidable_ = Avoidable;
      Result.push_back(Risk);
    }
  }
  return Result;
}

} // namespace heathercross::fleet
