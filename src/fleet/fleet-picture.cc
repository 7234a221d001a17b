// The fleet as a whole: what each pool lacks and which instances go where.
#include "fleet/fleet-picture.h"

#include <algorithm>
#include <numeric>

namespace heathercross::fleet {

namespace {

/// Slots of an instance that hasn't said how many it has.
constexpr std::uint32_t DefaultSlots = 8;

std::uint32_t slotsOf(const PoolPicture &Picture) {
  const auto Heard = std::ranges::find_if(
      Picture.Members_, [](const Member &M) { return M.answers(); });
  return Heard == Picture.Members_.end() ? DefaultSlots
                                         : Heard->Status_->Slots_;
}

PoolLoad loadOf(const Snapshot &S, const PoolPicture &Picture) {
  PoolLoad Load{Picture.Name_,         Picture.Size_,    0,
                Picture.MinAvailable_, slotsOf(Picture), {}};
  Load.Members_ = static_cast<std::uint32_t>(Picture.Members_.size());
  const auto Demand = S.Demand_.find(Picture.Name_);
  if (Demand != S.Demand_.end())
    Load.Demand_ = Demand->second.Busy_ + Demand->second.Queued_;
  return Load;
}

std::uint32_t targetOf(const Snapshot &S, const PoolPicture &Picture,
                       const SizeChanges &Changes) {
  const auto Change = Changes.find(Picture.Name_);
  auto Target = static_cast<std::int32_t>(Picture.Size_);
  Target += Change == Changes.end() ? 0 : Change->second;
  Target += needsExtraInstance(S.View_, Picture) ? 1 : 0;
  return static_cast<std::uint32_t>(std::max(Target, 0));
}

PoolNeed needOf(const Snapshot &S, const PoolPicture &Picture,
                const SizeChanges &Changes, const SilenceWatch &Silence) {
  PoolNeed Need{
      Picture.Name_, targetOf(S, Picture, Changes), Picture.MinAvailable_, {}};
  for (const Member &M : Picture.Members_)
    if (stays(M, Silence, S.Now_))
      ++Need.Members_[{M.row().Zone_, M.row().Rack_}];
  return Need;
}

/// The listed instances that have no row and aren't leaving.
std::vector<ListedInstance> unassigned(const Snapshot &S) {
  std::vector<ListedInstance> Free;
  for (const auto &[Name, I] : *S.Listed_)
    if (!S.Instances_.contains(Name) && !saidLeaving(S, Name))
      Free.push_back(I);
  return Free;
}

PoolBalance balanceOf(const PoolNeed &Need, const Pool &P,
                      const std::vector<Assignment> &Placement) {
  const auto Placed =
      std::ranges::count(Placement, Need.Pool_, &Assignment::Pool_);
  return {Need.Pool_,
          P.Spare_ && !P.Removed_,
          Need.memberCount() + static_cast<std::uint32_t>(Placed),
          Need.Size_,
          Need.MinAvailable_,
          P.Removed_};
}

/// Lets the first spare pool grow by what the removed pools still have.
void takeOverRemoved(const View &V, std::vector<PoolBalance> &Balances) {
  const auto Spare = std::ranges::find_if(Balances, &PoolBalance::Spare_);
  if (Spare == Balances.end())
    return;
  std::uint32_t Stranded = 0;
  for (const auto &B : Balances)
    Stranded += V.Pools_.at(B.Pool_).Removed_ ? B.Members_ : 0;
  if (Stranded > 0)
    Spare->Target_ = std::max(Spare->Target_, Spare->Members_ + Stranded);
}

} // namespace

std::vector<PoolLoad> loadsOf(const Snapshot &S) {
  std::vector<PoolLoad> Loads;
  for (const auto &[Name, P] : S.View_.Pools_)
    if (!P.Removed_)
      Loads.push_back(loadOf(S, pictureOf(S, Name)));
  return Loads;
}

FleetPicture fleetPictureOf(const Snapshot &S, const SizeChanges &Changes,
                            const SilenceWatch &Silence,
                            SurplusWatch &Surpluses) {
  FleetPicture Result;
  for (const auto &[Name, P] : S.View_.Pools_)
    Result.Needs_.push_back(needOf(S, pictureOf(S, Name), Changes, Silence));
  if (const auto Free = unassigned(S); !Free.empty())
    Result.Placement_ = place(Result.Needs_, Free);
  std::vector<PoolBalance> Balances;
  for (const auto &Need : Result.Needs_) {
    const auto &P = S.View_.Pools_.at(Need.Pool_);
    Balances.push_back(balanceOf(Need, P, Result.Placement_));
    Surpluses.observe(Balances.back(), S.Now_);
  }
  takeOverRemoved(S.View_, Balances);
  Result.Transfers_ = matchTransfers(std::move(Balances));
  return Result;
}

} // namespace heathercross::fleet
