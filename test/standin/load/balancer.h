// The platform's balancer in front of the entry instances.
#pragma once

#include "channel.h"
#include "options.h"

#include <QObject>
#include <QTimer>

#include <memory>
#include <vector>

namespace heathercross::standin {

/// Hands out idle channels to targets that say they are ready, in turn.
class Balancer : public QObject {
public:
  explicit Balancer(const LoadOptions &Options);

  /// An idle channel to a ready target other than Avoid, or nothing. Target
  /// gets its index.
  Channel *take(std::size_t &Target, std::size_t Avoid = SIZE_MAX);
  /// A connection was refused: no more requests until the target is ready.
  void refused(std::size_t Target) { Targets_[Target].Ready_ = false; }
  /// Polls each target's readiness; without it all targets count as ready.
  void watchReadiness();
  std::size_t targets() const { return Targets_.size(); }

private:
  struct Member {
    Endpoint Address_;
    bool Ready_ = true;
    bool Asking_ = false;
    int Failures_ = 0;
    std::vector<std::unique_ptr<Channel>> Channels_;
    std::size_t Next_ = 0;
  };

  void ask(Member &T);
  void judge(Member &T, int Status);
  Channel *idleChannel(Member &T) const;

  std::vector<Member> Targets_;
  std::size_t ChannelsEach_;
  std::size_t Turn_ = 0;
  QTimer Timer_;
};

} // namespace heathercross::standin
