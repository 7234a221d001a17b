// Which pools accept jobs under a host and path prefix.
//
// A configuration may send a route to another pool while jobs of it are open.
// Clients address a job by its path and not by its pool, so a pool that takes a
// route over must find the jobs of the pools before it, and an id must never be
// accepted by two pools, also while entries have different configurations.
//
// One row for each ingress lists the pools that have claimed it, each with the
// version of the configuration for which it did. A claim is refused if another
// pool claimed for a later version. Before a pool with former pools accepts an
// id or says that it is unknown, each of them is asked. One that doesn't know
// the id first stores that it is sealed: it accepts no new ids under the
// ingress until it claims it for a later version, and then asks in turn.
#pragma once

#include "heathercross/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace heathercross::schedule {

/// A host and a path prefix, under which clients address jobs.
using IngressId = Id<struct IngressTag>;

/// Returns the id of an ingress: 40 hexadecimal digits, as both texts may be
/// longer than a key of the store.
IngressId ingressOf(const std::string &Host, const std::string &Prefix);

/// The pools that have claimed an ingress, and for which version of the
/// configuration.
using IngressOwners = std::map<PoolId, std::uint64_t>;

/// What a pool stores of an ingress that it has claimed.
struct IngressState {
  /// The version of the configuration for which the pool claimed it; 0 if it
  /// didn't.
  std::uint64_t Claimed_ = 0;
  /// The latest version for which another pool asked about an unknown id.
  std::uint64_t Sealed_ = 0;
  /// The pools that had claimed it before.
  std::set<PoolId> Former_;

  bool isOpen() const { return Claimed_ > Sealed_; }
  bool operator==(const IngressState &) const = default;
};

using IngressStates = std::map<IngressId, IngressState>;

/// The ingresses of one pool.
class PoolIngresses {
public:
  explicit PoolIngresses(PoolId Self) : Self_(std::move(Self)) {}

  /// Takes in which ingresses a configuration sends to this pool.
  void configure(std::uint64_t Version, std::set<IngressId> Routed);
  /// Takes in what earlier holders stored.
  void restore(IngressStates Stored) { States_ = std::move(Stored); }
  const IngressStates &states() const { return States_; }

  /// An ingress to claim.
  std::optional<IngressId> nextClaim() const;
  /// Returns the owners with the claim of this pool, or nothing if another pool
  /// claimed the ingress for this or a later version.
  std::optional<IngressOwners> claim(const IngressOwners &Stored) const;
  /// Takes in that a claim is stored. The state has to be stored before the
  /// first job.
  void claimed(const IngressId &Id, const IngressOwners &Stored);

  /// Whether new ids are accepted, once the former pools were asked.
  bool isOpen(const IngressId &Id) const;
  /// What is known of an ingress, or null.
  const IngressState *find(const IngressId &Id) const;
  /// Whether all former pools are among these, which were asked for a claim for
  /// this version. What they said for an earlier claim is void: they may have
  /// claimed the ingress in between.
  bool allAsked(const IngressId &Id, const std::set<PoolId> &Asked,
                std::uint64_t AskedFor) const;

  /// Seals the ingress for a pool that claimed it for this version. Returns
  /// whether the state changed; it has to be stored before the other pool is
  /// told that an id is unknown. A pool that has claimed the ingress for a
  /// later version stays open, as it asks the other one in turn.
  bool seal(const IngressId &Id, std::uint64_t Version);

private:
  PoolId Self_;
  std::uint64_t Version_ = 0;
  std::set<IngressId> Routed_;
  IngressStates States_;
};

} // namespace heathercross::schedule
