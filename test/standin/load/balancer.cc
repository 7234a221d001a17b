// The platform's balancer in front of the entry instances.
#include "balancer.h"

#include <algorithm>

namespace heathercross::standin {
namespace {

constexpr int PollMs = 100;
constexpr int PollTimeoutMs = 400;
/// A target that doesn't answer at all is out after so many polls.
constexpr int FailuresMax = 2;

} // namespace

Balancer::Balancer(const LoadOptions &Options)
    : ChannelsEach_(std::max<std::size_t>(1, Options.Connections_ /
                                                 Options.Targets_.size())) {
  for (const Endpoint &Address : Options.Targets_)
    Targets_.emplace_back().Address_ = Address;
  for (Member &T : Targets_)
    for (std::size_t I = 0; I < ChannelsEach_; ++I)
      T.Channels_.push_back(std::make_unique<Channel>(T.Address_));
  connect(&Timer_, &QTimer::timeout, this, [this] {
    for (Member &T : Targets_)
      ask(T);
  });
}

void Balancer::watchReadiness() { Timer_.start(PollMs); }

void Balancer::ask(Member &T) {
  if (std::exchange(T.Asking_, true))
    return;
  call(T.Address_, "GET", "/readyz", {}, {}, PollTimeoutMs,
       [this, &T](const HttpResponse &Response) {
         T.Asking_ = false;
         judge(T, Response.Status_);
       });
}

void Balancer::judge(Member &T, int Status) {
  T.Failures_ = Status == 0 ? T.Failures_ + 1 : 0;
  if (Status == 200)
    T.Ready_ = true;
  else if (Status != 0 || T.Failures_ >= FailuresMax)
    T.Ready_ = false;
  if (T.Ready_)
    return;
  for (const auto &C : T.Channels_)
    if (C->idle())
      C->close();
}

Channel *Balancer::idleChannel(Member &T) const {
  for (std::size_t I = 0; I < T.Channels_.size(); ++I) {
    Channel *C = T.Channels_[(T.Next_ + I) % T.Channels_.size()].get();
    if (!C->idle())
      continue;
    T.Next_ = (T.Next_ + I + 1) % T.Channels_.size();
    return C;
  }
  return nullptr;
}

Channel *Balancer::take(std::size_t &Target, std::size_t Avoid) {
  for (std::size_t I = 0; I < Targets_.size(); ++I) {
    const std::size_t Index = (Turn_ + I) % Targets_.size();
    const bool Avoided = Index == Avoid && Targets_.size() > 1;
    if (Avoided || !Targets_[Index].Ready_)
      continue;
    if (Channel *C = idleChannel(Targets_[Index])) {
      Turn_ = Index + 1;
      Target = Index;
      return C;
    }
  }
  return nullptr;
}

} // namespace heathercross::standin
