// The operators' configuration: queues, pools and limits.
#include "schedule/configuration.h"

namespace heathercross::schedule {

const Route *Configuration::route(std::string_view Host,
                                  std::string_view Path) const {
  const Route *Best = nullptr;
  for (const Route &R : Routes_)
    if (R.Host_ == Host && Path.starts_with(R.Prefix_) &&
        (!Best || R.Prefix_.size() > Best->Prefix_.size()))
      Best = &R;
  return Best;
}

std::map<QueueId, QueueSettings>
Configuration::queuesOf(const PoolId &Pool) const {
  std::map<QueueId, QueueSettings> Found;
  for (const Route &R : Routes_)
    if (R.Settings_.Pool_ == Pool)
      Found[R.Queue_] = R.Settings_;
  return Found;
}

std::set<IngressId> Configuration::ingressesOf(const PoolId &Pool) const {
  std::set<IngressId> Seen;
  std::set<IngressId> Found;
  for (const Route &R : Routes_)
    if (Seen.insert(R.Settings_.Ingress_).second && R.Settings_.Pool_ == Pool)
      Found.insert(R.Settings_.Ingress_);
  return Found;
}

} // namespace heathercross::schedule
