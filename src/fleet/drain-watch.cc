// Remembers how long instances have been draining and whether they are idle.
#include "fleet/drain-watch.h"

namespace heathercross::fleet {

void DrainWatch::observe(const PoolPicture &Picture, Instant Now) {
  for (const Member &M : Picture.Members_)
    if (M.row().State_ == InstanceState::Draining)
      observe(M, Now);
}

void DrainWatch::observe(const Member &M, Instant Now) {
  auto &W = Watches_.try_emplace(M.id(), Watch{Now, {}, Now}).first->second;
  const bool Settled = M.answers() && M.Status_->Draining_ && idle(*M.Status_);
  if (!Settled) {
    W.FirstIdle_.reset();
    return;
  }
  W.LastSeen_ = M.Status_->SeenAt_;
  if (!W.FirstIdle_)
    W.FirstIdle_ = W.LastSeen_;
}

bool DrainWatch::idleTwice(const InstanceId &Name) const {
  const auto Found = Watches_.find(Name);
  if (Found == Watches_.end() || !Found->second.FirstIdle_)
    return false;
  return *Found->second.FirstIdle_ < Found->second.LastSeen_;
}

Micros DrainWatch::drainingFor(const InstanceId &Name, Instant Now) const {
  const auto Found = Watches_.find(Name);
  return Found == Watches_.end() ? Micros(0) : Now - Found->second.Since_;
}

void DrainWatch::keepDraining(
    const std::map<InstanceId, InstanceRecord> &Instances) {
  std::erase_if(Watches_, [&](const auto &Entry) {
    const auto Found = Instances.find(Entry.first);
    return Found == Instances.end() ||
           Found->second.Row_.State_ != InstanceState::Draining;
  });
}

} // namespace heathercross::fleet
