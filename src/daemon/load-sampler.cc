// Samples the demand for each pool and passes it to the peers and the duties.
#include "daemon/load-sampler.h"

#include <algorithm>
#include <iterator>
#include <ranges>

namespace heathercross::daemon {

namespace {
constexpr int SampleIntervalMs = 500;
} // namespace

LoadSampler::LoadSampler(const RequestService &Requests, const FleetFeed &Feed,
                         PeerService &Peers, ControlService &Control)
    : Requests_(Requests), Feed_(Feed), Peers_(Peers), Control_(Control) {
  connect(&Timer_, &QTimer::timeout, this, [this] { sample(); });
}

void LoadSampler::start() { Timer_.start(SampleIntervalMs); }

void LoadSampler::sample() {
  const auto Queued = Requests_.dispatcher().queued();
  Peers_.setLoad(static_cast<std::uint32_t>(Queued), longestQueues());
  Control_.setDemand(demand());
}

std::vector<peer::PoolQueue> LoadSampler::longestQueues() const {
  std::vector<peer::PoolQueue> All;
  for (const auto &[Name, P] : Feed_.view().Pools_)
    if (const auto Count = Requests_.dispatcher().queued(Name); Count > 0)
      All.push_back({Name, static_cast<std::uint32_t>(Count)});
  std::ranges::sort(All, std::ranges::greater(), &peer::PoolQueue::Queued_);
  All.resize(std::min(All.size(), peer::MaxPoolQueues));
  return All;
}

std::map<PoolId, fleet::PoolDemand> LoadSampler::demand() const {
  std::map<PoolId, fleet::PoolDemand> All;
  const auto Elsewhere = Peers_.queuesElsewhere();
  for (const auto &[Name, P] : Feed_.view().Pools_) {
    fleet::PoolDemand &D = All[Name];
    const auto Own = Requests_.dispatcher().queued(Name);
    D.Queued_ = static_cast<std::uint32_t>(Own);
    if (const auto It = Elsewhere.find(Name); It != Elsewhere.end())
      D.Queued_ += It->second;
  }
  for (const auto &[Name, Record] : Feed_.instances()) {
    const auto Demand = All.find(Record.Row_.Pool_);
    const auto Status = Feed_.statuses().find(Name);
    if (Demand != All.end() && Status != Feed_.statuses().end())
      Demand->second.Busy_ += Status->second.Busy_;
  }
  return All;
}

} // namespace heathercross::daemon
