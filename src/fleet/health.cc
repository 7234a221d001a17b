// Ejects instances on which work keeps failing and readmits them later.
#include "fleet/health.h"

#include <algorithm>

namespace heathercross::fleet {

namespace {

InstanceOutcomes evidenceOf(const Snapshot &S, const InstanceId &Name) {
  const auto Found = S.Evidence_.find(Name);
  return Found == S.Evidence_.end() ? InstanceOutcomes() : Found->second;
}

/// Whether a counter decreased, which happens when an entry restarts.
bool countersReset(const InstanceOutcomes &Now,
                   const InstanceOutcomes &Earlier) {
  return Now.Succeeded_ < Earlier.Succeeded_ || Now.Failed_ < Earlier.Failed_ ||
         Now.DistinctFailed_ < Earlier.DistinctFailed_;
}

InstanceOutcomes difference(const InstanceOutcomes &Now,
                            const InstanceOutcomes &Earlier) {
  return {Now.Succeeded_ - Earlier.Succeeded_, Now.Failed_ - Earlier.Failed_,
          Now.DistinctFailed_ - Earlier.DistinctFailed_};
}

std::uint32_t countEjected(const PoolSnapshot &Pool) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Pool.Members_, [](const Member &M) {
        return M.row().State_ == InstanceState::Ejected;
      }));
}

} // namespace

InstanceOutcomes HealthMonitor::recentEvidence(History &H,
                                               const InstanceOutcomes &Total,
                                               Instant Now) const {
  const bool Reset =
      !H.OlderSample_ || countersReset(Total, H.NewerSample_.Evidence_);
  if (Reset) {
    H.OlderSample_ = Sample{Total, Now};
    H.NewerSample_ = *H.OlderSample_;
  }
  if (Now - H.NewerSample_.TakenAt_ >= Limits_.Window_ / 2) {
    H.OlderSample_ = H.NewerSample_;
    H.NewerSample_ = {Total, Now};
  }
  return difference(Total, H.OlderSample_->Evidence_);
}

bool HealthMonitor::isFailing(const History &H,
                              const InstanceOutcomes &Recent) const {
  if (H.OnProbation_)
    return Recent.DistinctFailed_ >= Limits_.ProbationFailures_ &&
           Recent.Failed_ > Recent.Succeeded_;
  const auto All = Recent.Failed_ + Recent.Succeeded_;
  return Recent.DistinctFailed_ >= Limits_.DistinctFailures_ &&
         Recent.Failed_ >= Limits_.FailureShare_ * All;
}

Millis HealthMonitor::backoff(const History &H) const {
  constexpr std::uint32_t MaxDoublings = 16;
  const auto Repeats =
      H.ConsecutiveEjections_ > 0 ? H.ConsecutiveEjections_ - 1 : 0;
  const auto Factor = 1U << std::min(Repeats, MaxDoublings);
  return std::min(Limits_.FirstBackoff_ * Factor, Limits_.MaxBackoff_);
}

void HealthMonitor::readmitIfDue(const Snapshot &S, const Member &M, History &H,
                                 PoolPlan &Plan) {
  // The backoff starts with the first step that finds the member ejected.
  if (!H.EjectedAt_) {
    H.EjectedAt_ = S.Now_;
    ++H.ConsecutiveEjections_;
  }
  if (S.Now_ - *H.EjectedAt_ < backoff(H) || !M.responds())
    return;
  H.OnProbation_ = true;
  H.OlderSample_.reset();
  Plan.updateAndRelease(M, withState(M, InstanceState::Active));
}

std::vector<const Member *>
HealthMonitor::failingMembers(const Snapshot &S, const PoolSnapshot &Pool) {
  std::vector<std::pair<std::uint32_t, const Member *>> Failing;
  for (const Member &M : Pool.Members_) {
    auto &H = Histories_[M.id()];
    const auto Recent = recentEvidence(H, evidenceOf(S, M.id()), S.Now_);
    if (H.OnProbation_ && Recent.Succeeded_ >= Limits_.ProbationSuccesses_ &&
        !isFailing(H, Recent)) {
      H.OnProbation_ = false;
      H.ConsecutiveEjections_ = 0;
    }
    if (M.row().State_ == InstanceState::Active && isFailing(H, Recent))
      Failing.emplace_back(Recent.DistinctFailed_, &M);
  }
  std::ranges::stable_sort(Failing, std::ranges::greater(),
                           &std::pair<std::uint32_t, const Member *>::first);
  std::vector<const Member *> Result;
  Result.reserve(Failing.size());
  for (const auto &[Count, M] : Failing)
    Result.push_back(M);
  return Result;
}

void HealthMonitor::advance(const Snapshot &S, const PoolSnapshot &Pool,
                            PoolPlan &Plan) {
  for (const Member &M : Pool.Members_) {
    auto &H = Histories_[M.id()];
    if (M.row().State_ != InstanceState::Ejected)
      H.EjectedAt_.reset();
    else if (!Plan.hasChange(M.id()))
      readmitIfDue(S, M, H, Plan);
  }
  const auto Members = static_cast<double>(Pool.Members_.size());
  const auto MaxEjected =
      static_cast<std::uint32_t>(Limits_.MaxEjectedShare_ * Members);
  auto Ejected = countEjected(Pool);
  for (const Member *M : failingMembers(S, Pool)) {
    if (Ejected >= MaxEjected || Plan.hasChange(M->id()))
      continue;
    if (!Plan.disrupt(*M, withState(*M, InstanceState::Ejected)))
      return;
    ++Ejected;
  }
}

void HealthMonitor::keepOnly(
    const std::map<InstanceId, InstanceRecord> &Instances) {
  std::erase_if(Histories_, [&](const auto &Entry) {
    return !Instances.contains(Entry.first);
  });
}

} // namespace heathercross::fleet
