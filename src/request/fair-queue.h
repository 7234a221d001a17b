// Fair queue of the requests that wait for a slot in one pool.
#pragma once

#include "heathercross/ids.h"
#include "heathercross/outcome.h"
#include "heathercross/units.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace heathercross::request {

/// Local number of an open request, in order of arrival.
using Sequence = std::uint64_t;

/// A queue entry.
struct WaitingRequest {
  Sequence Sequence_ = 0;
  TeamId Team_;
  Urgency Urgency_ = Urgency::Normal;
  Instant Deadline_;
  /// Expected run time.
  Micros Work_{0};
};

/// Serves urgency classes in strict order. Within a class, shares the slots
/// among teams by weight and takes the earliest deadline among the teams that
/// are within their share. A team earns no credit while it has nothing waiting.
class FairQueue {
public:
  using Weights = std::map<TeamId, std::uint32_t>;

  /// Replaces the teams' weights; a team that isn't listed has weight 1.
  void setWeights(Weights Teams) { Weights_ = std::move(Teams); }

  void push(const WaitingRequest &W);
  /// Removes a request without serving it; does nothing when it isn't queued.
  void erase(Sequence S);
  /// Returns the request to serve next.
  std::optional<WaitingRequest> front() const;
  /// Removes the request and charges its team for the run time.
  void serve(Sequence S);

  /// Estimates how many requests would be served before the given one if it
  /// were queued now; returns at most Limit.
  std::size_t countAhead(const WaitingRequest &W, std::size_t Limit) const;
  /// Returns the request to evict for the given one when the queue is full, or
  /// nothing when the given one ranks last.
  std::optional<WaitingRequest> victimFor(const WaitingRequest &W) const;
  /// Whether the team holds more than its weighted share of the queue.
  bool exceedsShare(const TeamId &Team) const;

  std::size_t size() const { return Items_.size(); }
  bool empty() const { return Items_.empty(); }
  std::size_t teams() const { return WaitingCount_.size(); }

private:
  using QueueKey = std::pair<Instant, Sequence>;
  using TeamQueues = std::map<TeamId, std::set<QueueKey>>;

  double weight(const TeamId &Team) const;
  double startTag(const TeamId &Team) const;
  std::size_t countAheadInClass(const WaitingRequest &W, std::size_t Class,
                                std::size_t Limit) const;

  Weights Weights_;
  /// One per urgency, the most urgent first.
  std::array<TeamQueues, 3> Classes_;
  std::unordered_map<Sequence, WaitingRequest> Items_;
  /// Number of waiting requests of each team that has any.
  std::map<TeamId, std::size_t> WaitingCount_;
  /// Virtual time at which each team's last served work ends.
  std::map<TeamId, double> FinishTags_;
  double VirtualTime_ = 0;
};

} // namespace heathercross::request
