// Chooses workers for jobs.
#include "job/placement.h"

#include <algorithm>

namespace heathercross::job {

namespace {

bool hasFreeSlots(const JobWorker &W) {
  return W.TakesWork_ && !W.Ejected_ && W.Free_.Count_ > 0;
}

bool canRun(const JobRow &Job, const JobWorker &W) {
  const bool FailedThere =
      std::ranges::find(Job.FailedOn_, W.Worker_) != Job.FailedOn_.end();
  return hasFreeSlots(W) && !FailedThere && fits(Job.Size_, W.Capacity_);
}

} // namespace

void Placement::exclude(const InstanceId &Worker) {
  const auto I = std::ranges::find(Workers_, Worker, &JobWorker::Worker_);
  if (I != Workers_.end())
    I->TakesWork_ = false;
}

void Placement::reserveSlot(const InstanceId &Worker) {
  const auto I = std::ranges::find(Workers_, Worker, &JobWorker::Worker_);
  if (I != Workers_.end() && I->Free_.Count_ > 0)
    --I->Free_.Count_;
}

bool Placement::hasFreeSlot() const {
  return std::ranges::any_of(Workers_, hasFreeSlots);
}

double Placement::weightedLoad(const TeamId &Team) const {
  const auto R = Running_.find(Team);
  const auto Q = Quotas_.find(Team);
  const std::uint32_t Running = R == Running_.end() ? 0 : R->second;
  const std::uint32_t Weight = Q == Quotas_.end() ? 1 : Q->second.Weight_;
  return static_cast<double>(Running) / std::max<std::uint32_t>(1, Weight);
}

std::optional<InstanceId> Placement::chooseWorker(const JobRow &Job) {
  JobWorker *Best = nullptr;
  for (JobWorker &W : Workers_)
    if (canRun(Job, W) && (!Best || W.Free_ > Best->Free_))
      Best = &W;
  if (!Best)
    return std::nullopt;
  --Best->Free_.Count_;
  ++Running_[Job.Team_];
  return Best->Worker_;
}

} // namespace heathercross::job
