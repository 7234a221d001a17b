// Which machines of a wave go into their upkeep, and when.
#include "schedule/wave-plan.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A machine counts as away this much longer than its upkeep takes: the list
/// of machines and the worker's registration lag.
constexpr Millis AwayMargin{300};
/// How long it takes to empty a machine and to have its upkeep.
constexpr Millis RoundTime{4500};
/// From this share of the wave's time on, runs that don't last are ended by
/// the upkeep rather than waited for.
constexpr double PatientShare = 0.7;

} // namespace

void WavePlan::began(const MachineId &Id, Instant Now) {
  Ordered_.erase(Id);
  Begun_.try_emplace(Id, Now);
}

void WavePlan::restore(const std::set<MachineId> &Begun, Instant Now) {
  for (const MachineId &Id : Begun)
    Begun_.try_emplace(Id, Now);
}

std::uint32_t WavePlan::pace(std::size_t Left, Instant Now) const {
  const double Within = std::chrono::duration<double>(Wave_.Within_).count();
  const double Gone = std::chrono::duration<double>(Now - Seen_).count();
  const double Time = Within * PatientShare - Gone;
  const double Round = std::chrono::duration<double>(RoundTime).count();
  if (Time <= Round)
    return Wave_.MaxAtOnce_;
  const double Wanted = std::ceil(static_cast<double>(Left) * Round / Time);
  return std::clamp(static_cast<std::uint32_t>(Wanted), 1U, Wave_.MaxAtOnce_);
}

WaveStep WavePlan::step(const std::map<MachineId, Machine> &Machines,
                        const std::map<MachineId, MachineLoad> &Loads,
                        Millis Upkeep, Instant Now) const {
  WaveStep Out;
  std::uint32_t Away = static_cast<std::uint32_t>(Ordered_.size());
  std::vector<MachineId> Left;
  for (const MachineId &Id : Wave_.Machines_) {
    const auto M = Machines.find(Id);
    if (M == Machines.end())
      continue;
    const auto B = Begun_.find(Id);
    if (B == Begun_.end()) {
      if (!Ordered_.contains(Id))
        Left.push_back(Id);
      continue;
    }
    if (Now < B->second + Upkeep + AwayMargin ||
        M->second.State_ == MachineState::Upkeep)
      ++Away;
  }
  Out.Complete_ = Left.empty() && Ordered_.empty() && !Machines.empty() &&
                  !Wave_.Machines_.empty();
  const auto Load = [&](const MachineId &Id) {
    const auto It = Loads.find(Id);
    return It == Loads.end() ? MachineLoad() : It->second;
  };
  // Empty machines first, then those with the least to wait for.
  std::ranges::stable_sort(Left, {}, [&](const MachineId &Id) {
    const MachineLoad L = Load(Id);
    return std::tuple(!L.Known_, L.Lasting_, L.Runs_);
  });
  const bool Impatient =
      Now - Seen_ >
      Micros(static_cast<std::int64_t>(
          static_cast<double>(Micros(Wave_.Within_).count()) * PatientShare));
  std::uint32_t Room = Wave_.MaxAtOnce_ > Away ? Wave_.MaxAtOnce_ - Away : 0;
  std::uint32_t Ahead = pace(Left.size(), Now);
  Room = std::min(Room, Ahead > Away ? Ahead - Away : 0);
  for (const MachineId &Id : Left) {
    const MachineLoad L = Load(Id);
    const bool Up = Machines.at(Id).State_ == MachineState::Up;
    const bool Free = L.Known_ && L.Vacating_ &&
                      (L.Runs_ == 0 || (Impatient && L.Lasting_ == 0));
    if (Up && Free && Room > 0) {
      --Room;
      Out.Order_.push_back(Id);
      Out.Vacate_.push_back(Id);
    } else if (Ahead > 0) {
      --Ahead;
      Out.Vacate_.push_back(Id);
    }
  }
  return Out;
}

} // namespace heathercross::schedule
