// The waiting requests of one pool, in the order in which they are served.
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

/// The number under which the decisions hold an open request.
using Sequence = std::uint64_t;

/// A request that waits for a slot.
struct Waiting {
  Sequence Sequence_ = 0;
  TeamId Team_;
  Urgency Urgency_ = Urgency::Normal;
  Instant Deadline_;
  /// The expected run time.
  Micros Work_{0};
};

/// Serves the more urgent first, shares the slots among teams by weight, and
/// takes the earliest deadline among the teams that are within their share.
/// A team that wasn't waiting has no claim on what it left to others before.
class FairQueue {
public:
  using Weights = std::map<TeamId, std::uint32_t>;

  /// Replaces the teams' weights; a team that isn't listed weighs one.
  void setWeights(Weights Teams) { Weights_ = std::move(Teams); }

  void push(const Waiting &W);
  /// Takes a request out without serving it; does nothing when it isn't there.
  void erase(Sequence S);
  /// The request to serve next.
  std::optional<Waiting> front() const;
  /// Takes the request out and charges its team for the work.
  void serve(Sequence S);

  /// How many requests will probably be served before the given one, were it
  /// to wait now; counts no further than Most.
  std::size_t ahead(const Waiting &W, std::size_t Most) const;
  /// The request that has to make room for the given one when the queue is
  /// full; nothing when the given one comes last itself.
  std::optional<Waiting> victimFor(const Waiting &W) const;
  /// Whether the team waits with more than its weighted share of the queue.
  bool overShare(const TeamId &Team) const;

  std::size_t size() const { return Items_.size(); }
  bool empty() const { return Items_.empty(); }
  std::size_t teams() const { return Queued_.size(); }

private:
  using Place = std::pair<Instant, Sequence>;
  using TeamQueues = std::map<TeamId, std::set<Place>>;

  double weight(const TeamId &Team) const;
  double startTag(const TeamId &Team) const;
  std::size_t aheadInClass(const Waiting &W, std::size_t Class,
                           std::size_t Most) const;

  Weights Weights_;
  std::array<TeamQueues, 3> Classes_;
  std::unordered_map<Sequence, Waiting> Items_;
  /// The requests waiting for each team that has any.
  std::map<TeamId, std::size_t> Queued_;
  /// The virtual time at which each team's last work ends.
  std::map<TeamId, double> FinishTags_;
  double VirtualTime_ = 0;
};

} // namespace heathercross::request
