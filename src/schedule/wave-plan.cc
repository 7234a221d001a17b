// Decides which machines of a maintenance wave start their upkeep, and when.
#include "schedule/wave-plan.h"

#include <algorithm>
#include <cmath>
#include <ranges>

namespace heathercross::schedule {

namespace {

/// A machine counts as unavailable for this long after its upkeep, because the
/// list of machines and the worker's registration lag behind.
constexpr Millis UnavailableMargin{300};
/// Time to evacuate a machine and complete its upkeep.
constexpr Millis RoundTime{4500};
/// After this share of the wave's time, the upkeep ends runs that are not
/// long-running instead of waiting for them.
constexpr double WaitingShare = 0.7;

} // namespace

void WavePlan::began(const MachineId &Id, Instant Now) {
  Ordered_.erase(Id);
  Begun_.try_emplace(Id, Now);
}

void WavePlan::restore(const std::set<MachineId> &Begun, Instant Now) {
  for (const MachineId &Id : Begun)
    Begun_.try_emplace(Id, Now);
}

std::uint32_t WavePlan::requiredConcurrency(std::size_t Pending,
                                            Instant Now) const {
  const double TimeLimit =
      std::chrono::duration<double>(Wave_.TimeLimit_).count();
  const double Elapsed =
      std::chrono::duration<double>(Now - FirstSeen_).count();
  const double TimeLeft = TimeLimit * WaitingShare - Elapsed;
  const double Round = std::chrono::duration<double>(RoundTime).count();
  if (TimeLeft <= Round)
    return Wave_.MaxAtOnce_;
  const double Wanted =
      std::ceil(static_cast<double>(Pending) * Round / TimeLeft);
  return std::clamp(static_cast<std::uint32_t>(Wanted), 1U, Wave_.MaxAtOnce_);
}

WaveStep WavePlan::step(const std::map<MachineId, Machine> &Machines,
                        const std::map<MachineId, MachineLoad> &Loads,
                        Millis Upkeep, Instant Now,
                        const std::set<MachineId> &Unsettled) const {
  WaveStep Out;
  std::uint32_t Unavailable = static_cast<std::uint32_t>(Ordered_.size());
  std::vector<MachineId> Pending;
  bool AllSettled = Ordered_.empty();
  for (const MachineId &Id : Wave_.Machines_) {
    const auto M = Machines.find(Id);
    if (M == Machines.end())
      continue;
    const bool InUpkeep = M->second.State_ == MachineState::Upkeep;
    const auto BeginTime = Begun_.find(Id);
    if (BeginTime != Begun_.end()) {
      if (InUpkeep || Now < BeginTime->second + Upkeep + UnavailableMargin)
        ++Unavailable;
      continue;
    }
    if (Ordered_.contains(Id)) {
      Out.Evacuate_.push_back(Id);
      continue;
    }
    if (Unsettled.contains(Id)) {
      ++Unavailable;
      AllSettled = false;
      Out.Evacuate_.push_back(Id);
      continue;
    }
    if (InUpkeep)
      ++Unavailable;
    Pending.push_back(Id);
  }
  Out.Complete_ = Pending.empty() && AllSettled && !Machines.empty() &&
                  !Wave_.Machines_.empty();
  const auto Load = [&](const MachineId &Id) {
    const auto It = Loads.find(Id);
    return It == Loads.end() ? MachineLoad() : It->second;
  };
  // Machines with few runs first, as they become empty soonest; those with
  // long-running tasks or without a report last.
  std::ranges::stable_sort(Pending, {}, [&](const MachineId &Id) {
    const MachineLoad L = Load(Id);
    return std::tuple(!L.Reported_, L.LongRunning_, L.Runs_);
  });
  const bool EndRuns =
      Now - FirstSeen_ >
      Micros(static_cast<std::int64_t>(
          static_cast<double>(Micros(Wave_.TimeLimit_).count()) *
          WaitingShare));
  std::uint32_t OrderLimit =
      Wave_.MaxAtOnce_ > Unavailable ? Wave_.MaxAtOnce_ - Unavailable : 0;
  std::uint32_t EvacuationLimit = requiredConcurrency(Pending.size(), Now);
  OrderLimit = std::min(OrderLimit, EvacuationLimit > Unavailable
                                        ? EvacuationLimit - Unavailable
                                        : 0);
  for (const MachineId &Id : Pending) {
    const MachineLoad L = Load(Id);
    const bool Up = Machines.at(Id).State_ == MachineState::Up;
    const bool CanBegin = L.Reported_ && L.Evacuating_ &&
                          (L.Runs_ == 0 || (EndRuns && L.LongRunning_ == 0));
    if (Up && CanBegin && OrderLimit > 0) {
      --OrderLimit;
      Out.Order_.push_back(Id);
      Out.Evacuate_.push_back(Id);
    } else if (EvacuationLimit > 0) {
      --EvacuationLimit;
      Out.Evacuate_.push_back(Id);
    }
  }
  return Out;
}

} // namespace heathercross::schedule
