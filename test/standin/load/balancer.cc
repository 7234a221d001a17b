// Simulates the load balancer of the platform in front of the entry instances.
#include "balancer.h"

#include <algorithm>

namespace heathercross::standin {
namespace {

constexpr int PollMs = 100;
constexpr int PollTimeoutMs = 400;
/// Consecutive polls without a response after which a target isn't ready.
constexpr int MaxPollFailures = 2;

} // namespace

Balancer::Balancer(const LoadOptions &Options)
    : ChannelsPerTarget_(std::max<std::size_t>(
          1, Options.Connections_ / Options.Targets_.size())) {
  for (const Endpoint &Address : Options.Targets_)
    Targets_.emplace_back().Address_ = Address;
  for (TargetState &T : Targets_)
    for (std::size_t I = 0; I < ChannelsPerTarget_; ++I)
      T.Channels_.push_back(std::make_unique<Channel>(T.Address_));
  connect(&Timer_, &QTimer::timeout, this, [this] {
    for (TargetState &T : Targets_)
      poll(T);
  });
}

void Balancer::startPolling() { Timer_.start(PollMs); }

void Balancer::poll(TargetState &T) {
  if (std::exchange(T.PollPending_, true))
    return;
  call(T.Address_, "GET", "/readyz", {}, {}, PollTimeoutMs,
       [this, &T](const HttpResponse &Response) {
         T.PollPending_ = false;
         updateReadiness(T, Response.Status_);
       });
}

void Balancer::updateReadiness(TargetState &T, int Status) {
  T.Failures_ = Status == 0 ? T.Failures_ + 1 : 0;
  if (Status == 200)
    T.Ready_ = true;
  else if (Status != 0 || T.Failures_ >= MaxPollFailures)
    T.Ready_ = false;
  if (T.Ready_)
    return;
  for (const auto &C : T.Channels_)
    if (C->idle())
      C->close();
}

Channel *Balancer::idleChannel(TargetState &T) const {
  for (std::size_t I = 0; I < T.Channels_.size(); ++I) {
    Channel *C = T.Channels_[(T.NextChannel_ + I) % T.Channels_.size()].get();
    if (!C->idle())
      continue;
    T.NextChannel_ = (T.NextChannel_ + I + 1) % T.Channels_.size();
    return C;
  }
  return nullptr;
}

Channel *Balancer::selectChannel(std::size_t &Target, std::size_t Avoid) {
  for (std::size_t I = 0; I < Targets_.size(); ++I) {
    const std::size_t Index = (NextTarget_ + I) % Targets_.size();
    const bool IsAvoided = Index == Avoid && Targets_.size() > 1;
    if (IsAvoided || !Targets_[Index].Ready_)
      continue;
    if (Channel *C = idleChannel(Targets_[Index])) {
      NextTarget_ = Index + 1;
      Target = Index;
      return C;
    }
  }
  return nullptr;
}

} // namespace heathercross::standin
