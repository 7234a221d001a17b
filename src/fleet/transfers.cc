// Executes a pool's transfers: drains instances and then assigns them to
// another pool.
#include "fleet/transfers.h"

#include <algorithm>
#include <ranges>
#include <tuple>

namespace heathercross::fleet {

namespace {

/// Counts the members of a pool in the given member's rack.
std::ptrdiff_t countInSameRack(const Snapshot &S, const Member &M,
                               const PoolId &Pool) {
  return std::ranges::count_if(S.Instances_, [&](const auto &Entry) {
    const auto &Row = Entry.second.Row_;
    return Row.Pool_ == Pool && Row.Zone_ == M.row().Zone_ &&
           Row.Rack_ == M.row().Rack_;
  });
}

/// Orders members by the cost of transferring them: already draining ones
/// first, then idle ones, then by load and by the receiver's members in the
/// same rack.
std::tuple<int, std::uint32_t, std::ptrdiff_t, InstanceId>
transferCost(const Snapshot &S, const Member &M, const PoolId &To) {
  const bool IsDraining = M.row().State_ == InstanceState::Draining;
  const int Class = IsDraining ? 0 : (idle(*M.Status_) ? 1 : 2);
  return {Class, M.Status_->Busy_, countInSameRack(S, M, To), M.id()};
}

bool isTransferable(const Member &M) {
  return M.available() ||
         (M.responds() && M.row().State_ == InstanceState::Draining &&
          M.Availability_ == Availability::Draining);
}

} // namespace

std::set<InstanceId> TransferExecutor::reserved() const {
  std::set<InstanceId> Names;
  for (const auto &[Name, Destination] : Destinations_)
    Names.insert(Name);
  return Names;
}

void TransferExecutor::advance(const Snapshot &S, const PoolSnapshot &Pool,
                               const std::vector<Transfer> &Transfers,
                               const DrainTracker &Drains, PoolPlan &Plan) {
  forgetEndedDrains(Pool);
  std::map<PoolId, std::uint32_t> Wanted;
  for (const auto &[Name, To] : Destinations_)
    if (Pool.find(Name))
      Wanted[To] = 0;
  for (const auto &T : Transfers)
    if (T.From_ == Pool.Name_)
      Wanted[T.To_] += T.Count_;
  for (const auto &[To, Count] : Wanted)
    adjustDrains(S, Pool, To, Count, Plan);
  transferDrained(Pool, Drains, Plan);
}

void TransferExecutor::forgetEndedDrains(const PoolSnapshot &Pool) {
  for (const Member &M : Pool.Members_)
    if (M.row().State_ != InstanceState::Draining)
      Destinations_.erase(M.id());
}

void TransferExecutor::adjustDrains(const Snapshot &S, const PoolSnapshot &Pool,
                                    const PoolId &To, std::uint32_t Wanted,
                                    PoolPlan &Plan) {
  auto Have = static_cast<std::uint32_t>(
      std::ranges::count_if(Destinations_, [&](const auto &Entry) {
        return Entry.second == To && Pool.find(Entry.first);
      }));
  if (Have > Wanted)
    cancelDrains(Pool, To, Have - Wanted);
  while (Have < Wanted && startDrain(S, Pool, To, Plan))
    ++Have;
}

void TransferExecutor::cancelDrains(const PoolSnapshot &Pool, const PoolId &To,
                                    std::uint32_t Count) {
  for (const Member &M : Pool.Members_) {
    const auto Found = Destinations_.find(M.id());
    if (Count == 0 || Found == Destinations_.end() || Found->second != To)
      continue;
    Destinations_.erase(Found);
    --Count;
  }
}

bool TransferExecutor::startDrain(const Snapshot &S, const PoolSnapshot &Pool,
                                  const PoolId &To, PoolPlan &Plan) {
  std::vector<const Member *> Candidates;
  for (const Member &M : Pool.Members_)
    if (isTransferable(M) && !Plan.hasChange(M.id()) &&
        !Destinations_.contains(M.id()))
      Candidates.push_back(&M);
  if (Candidates.empty())
    return false;
  const auto *Best = *std::ranges::min_element(
      Candidates, {}, [&](const Member *M) { return transferCost(S, *M, To); });
  const bool IsDraining = Best->row().State_ == InstanceState::Draining;
  if (!IsDraining &&
      !Plan.disrupt(*Best, withState(*Best, InstanceState::Draining)))
    return false;
  Destinations_[Best->id()] = To;
  return true;
}

void TransferExecutor::transferDrained(const PoolSnapshot &Pool,
                                       const DrainTracker &Drains,
                                       PoolPlan &Plan) {
  for (const Member &M : Pool.Members_) {
    const auto Found = Destinations_.find(M.id());
    if (Found == Destinations_.end() || Plan.hasChange(M.id()) ||
        !M.responds() || !Drains.confirmedIdle(M.id()))
      continue;
    auto Row = withState(M, InstanceState::Active);
    Row.Pool_ = Found->second;
    Plan.updateAndRelease(M, std::move(Row));
  }
}

} // namespace heathercross::fleet
