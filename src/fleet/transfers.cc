// Carries out a pool's transfers: drain, see idle, hand the instance over.
#include "fleet/transfers.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace heathercross::fleet {

namespace {

/// How many members of a pool stand in the member's rack.
std::ptrdiff_t neighbours(const Snapshot &S, const Member &M,
                          const PoolId &Pool) {
  return std::ranges::count_if(S.Instances_, [&](const auto &Entry) {
    const auto &Row = Entry.second.Row_;
    return Row.Pool_ == Pool && Row.Zone_ == M.row().Zone_ &&
           Row.Rack_ == M.row().Rack_;
  });
}

/// What it costs to give the member away: those that drain already first,
/// then idle ones, then by the receiver's members in the same rack.
std::tuple<int, std::uint32_t, std::ptrdiff_t, InstanceId>
cost(const Snapshot &S, const Member &M, const PoolId &To) {
  const bool Drains = M.row().State_ == InstanceState::Draining;
  const int Class = Drains ? 0 : (idle(*M.Status_) ? 1 : 2);
  return {Class, M.Status_->Busy_, neighbours(S, M, To), M.id()};
}

bool canBeGiven(const Member &M) {
  return M.available() ||
         (M.answers() && M.row().State_ == InstanceState::Draining &&
          M.Standing_ == Standing::Draining);
}

} // namespace

std::set<InstanceId> TransferDesk::reserved() const {
  std::set<InstanceId> Names;
  for (const auto &[Name, Destination] : Destinations_)
    Names.insert(Name);
  return Names;
}

void TransferDesk::advance(const Snapshot &S, const PoolPicture &Picture,
                           const std::vector<Transfer> &Transfers,
                           const DrainWatch &Drains, PoolPlan &Plan) {
  forgetEnded(Picture);
  std::map<PoolId, std::uint32_t> Wanted;
  for (const auto &[Name, To] : Destinations_)
    if (Picture.find(Name))
      Wanted[To] = 0;
  for (const auto &T : Transfers)
    if (T.From_ == Picture.Name_)
      Wanted[T.To_] += T.Count_;
  for (const auto &[To, Count] : Wanted)
    matchCount(S, Picture, To, Count, Plan);
  handOver(Picture, Drains, Plan);
}

void TransferDesk::forgetEnded(const PoolPicture &Picture) {
  for (const Member &M : Picture.Members_)
    if (M.row().State_ != InstanceState::Draining)
      Destinations_.erase(M.id());
}

void TransferDesk::matchCount(const Snapshot &S, const PoolPicture &Picture,
                              const PoolId &To, std::uint32_t Wanted,
                              PoolPlan &Plan) {
  auto Have = static_cast<std::uint32_t>(
      std::ranges::count_if(Destinations_, [&](const auto &Entry) {
        return Entry.second == To && Picture.find(Entry.first);
      }));
  if (Have > Wanted)
    cancel(Picture, To, Have - Wanted);
  while (Have < Wanted && startOne(S, Picture, To, Plan))
    ++Have;
}

void TransferDesk::cancel(const PoolPicture &Picture, const PoolId &To,
                          std::uint32_t Count) {
  for (const Member &M : Picture.Members_) {
    const auto Found = Destinations_.find(M.id());
    if (Count == 0 || Found == Destinations_.end() || Found->second != To)
      continue;
    Destinations_.erase(Found);
    --Count;
  }
}

bool TransferDesk::startOne(const Snapshot &S, const PoolPicture &Picture,
                            const PoolId &To, PoolPlan &Plan) {
  std::vector<const Member *> Candidates;
  for (const Member &M : Picture.Members_)
    if (canBeGiven(M) && !Plan.touches(M.id()) &&
        !Destinations_.contains(M.id()))
      Candidates.push_back(&M);
  if (Candidates.empty())
    return false;
  const auto *Best = *std::ranges::min_element(
      Candidates, {}, [&](const Member *M) { return cost(S, *M, To); });
  const bool Drains = Best->row().State_ == InstanceState::Draining;
  if (!Drains &&
      !Plan.disrupt(*Best, withState(*Best, InstanceState::Draining)))
    return false;
  Destinations_[Best->id()] = To;
  return true;
}

void TransferDesk::handOver(const PoolPicture &Picture,
                            const DrainWatch &Drains, PoolPlan &Plan) {
  for (const Member &M : Picture.Members_) {
    const auto Found = Destinations_.find(M.id());
    if (Found == Destinations_.end() || Plan.touches(M.id()) || !M.answers() ||
        !Drains.idleTwice(M.id()))
      continue;
    auto Row = withState(M, InstanceState::Active);
    Row.Pool_ = Found->second;
    Plan.settle(M, std::move(Row));
  }
}

} // namespace heathercross::fleet
