// Simulates the load balancer of the platform in front of the entry instances.
#pragma once

#include "channel.h"
#include "options.h"

#include <QObject>
#include <QTimer>

#include <memory>
#include <vector>

namespace heathercross::standin {

/// Selects idle channels to ready targets in round-robin order.
class Balancer : public QObject {
public:
  explicit Balancer(const LoadOptions &Options);

  /// Returns an idle channel to a ready target and sets Target to its index, or
  /// returns null. The target Avoid is used only if there is no other target.
  Channel *selectChannel(std::size_t &Target, std::size_t Avoid = SIZE_MAX);
  /// Stops sending to a target that refused a connection, until it reports that
  /// it is ready.
  void markNotReady(std::size_t Target) { Targets_[Target].Ready_ = false; }
  /// Starts polling the readiness of each target. Without polling all targets
  /// count as ready until they refuse a connection.
  void startPolling();
  std::size_t targets() const { return Targets_.size(); }

private:
  struct TargetState {
    Endpoint Address_;
    bool Ready_ = true;
    bool PollPending_ = false;
    int Failures_ = 0;
    std::vector<std::unique_ptr<Channel>> Channels_;
    std::size_t NextChannel_ = 0;
  };

  void poll(TargetState &T);
  void updateReadiness(TargetState &T, int Status);
  Channel *idleChannel(TargetState &T) const;

  std::vector<TargetState> Targets_;
  std::size_t ChannelsPerTarget_;
  std::size_t NextTarget_ = 0;
  QTimer Timer_;
};

} // namespace heathercross::standin
