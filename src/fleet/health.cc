// Takes instances on which work keeps failing out of rotation, and back.
#include "fleet/health.h"

#include <algorithm>

namespace heathercross::fleet {

namespace {

InstanceEvidence evidenceOf(const Snapshot &S, const InstanceId &Name) {
  const auto Found = S.Evidence_.find(Name);
  return Found == S.Evidence_.end() ? InstanceEvidence() : Found->second;
}

/// Whether counts went down, as when an entry restarted.
bool restarted(const InstanceEvidence &Now, const InstanceEvidence &Then) {
  return Now.Succeeded_ < Then.Succeeded_ || Now.Failed_ < Then.Failed_ ||
         Now.DistinctFailed_ < Then.DistinctFailed_;
}

InstanceEvidence since(const InstanceEvidence &Now,
                       const InstanceEvidence &Then) {
  return {Now.Succeeded_ - Then.Succeeded_, Now.Failed_ - Then.Failed_,
          Now.DistinctFailed_ - Then.DistinctFailed_};
}

std::uint32_t ejectedIn(const PoolPicture &Picture) {
  return static_cast<std::uint32_t>(
      std::ranges::count_if(Picture.Members_, [](const Member &M) {
        return M.row().State_ == InstanceState::Ejected;
      }));
}

} // namespace

InstanceEvidence Health::recent(History &H, const InstanceEvidence &Total,
                                Instant Now) const {
  const bool Reset = !H.Older_ || restarted(Total, H.Newer_.Evidence_);
  if (Reset) {
    H.Older_ = Mark{Total, Now};
    H.Newer_ = *H.Older_;
  }
  if (Now - H.Newer_.At_ >= Limits_.Window_ / 2) {
    H.Older_ = H.Newer_;
    H.Newer_ = {Total, Now};
  }
  return since(Total, H.Older_->Evidence_);
}

bool Health::failing(const History &H, const InstanceEvidence &Recent) const {
  if (H.OnProbation_)
    return Recent.DistinctFailed_ >= Limits_.ProbationFailures_ &&
           Recent.Failed_ > Recent.Succeeded_;
  const auto All = Recent.Failed_ + Recent.Succeeded_;
  return Recent.DistinctFailed_ >= Limits_.DistinctFailures_ &&
         Recent.Failed_ >= Limits_.FailureShare_ * All;
}

Millis Health::backoff(const History &H) const {
  constexpr std::uint32_t MaxDoublings = 16;
  const auto Repeats = H.Ejections_ > 0 ? H.Ejections_ - 1 : 0;
  const auto Factor = 1U << std::min(Repeats, MaxDoublings);
  return std::min(Limits_.FirstBackoff_ * Factor, Limits_.MaxBackoff_);
}

void Health::readmit(const Snapshot &S, const Member &M, History &H,
                     PoolPlan &Plan) {
  if (!H.EjectedAt_) {
    H.EjectedAt_ = S.Now_;
    ++H.Ejections_;
  }
  if (S.Now_ - *H.EjectedAt_ < backoff(H) || !M.answers())
    return;
  H.OnProbation_ = true;
  H.Older_.reset();
  Plan.settle(M, withState(M, InstanceState::Active));
}

std::vector<const Member *> Health::failingMembers(const Snapshot &S,
                                                   const PoolPicture &Picture) {
  std::vector<std::pair<std::uint32_t, const Member *>> Failing;
  for (const Member &M : Picture.Members_) {
    auto &H = Histories_[M.id()];
    const auto Recent = recent(H, evidenceOf(S, M.id()), S.Now_);
    if (H.OnProbation_ && Recent.Succeeded_ >= Limits_.ProbationSuccesses_ &&
        !failing(H, Recent)) {
      H.OnProbation_ = false;
      H.Ejections_ = 0;
    }
    if (M.row().State_ == InstanceState::Active && failing(H, Recent))
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

void Health::advance(const Snapshot &S, const PoolPicture &Picture,
                     PoolPlan &Plan) {
  for (const Member &M : Picture.Members_) {
    auto &H = Histories_[M.id()];
    if (M.row().State_ != InstanceState::Ejected)
      H.EjectedAt_.reset();
    else if (!Plan.touches(M.id()))
      readmit(S, M, H, Plan);
  }
  const auto Members = static_cast<double>(Picture.Members_.size());
  const auto Most =
      static_cast<std::uint32_t>(Limits_.MaxEjectedShare_ * Members);
  auto Ejected = ejectedIn(Picture);
  for (const Member *M : failingMembers(S, Picture)) {
    if (Ejected >= Most || Plan.touches(M->id()))
      continue;
    if (!Plan.disrupt(*M, withState(*M, InstanceState::Ejected)))
      return;
    ++Ejected;
  }
}

void Health::keepOnly(const std::map<InstanceId, InstanceRecord> &Instances) {
  std::erase_if(Histories_, [&](const auto &Entry) {
    return !Instances.contains(Entry.first);
  });
}

} // namespace heathercross::fleet
